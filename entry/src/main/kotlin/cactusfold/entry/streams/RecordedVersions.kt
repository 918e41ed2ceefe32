package cactusfold.entry.streams

import cactusfold.entry.process.EventLog
import cactusfold.protocol.entry.ServiceVersions
import kotlinx.coroutines.delay

/** The recorded software versions that serve, as this process knows them. Streams begin only there. */
public class RecordedVersions(private val events: EventLog) {
    private val services = HashMap<String, ServiceVersions>()

    /** Whether streams of [service] may begin at [softwareVersion]. */
    public fun contains(service: String, softwareVersion: String): Boolean =
        services[service]?.softwareVersionsList?.contains(softwareVersion) == true

    /** Whether streams of [service] are reported to the coordinator; so it is until it is known. */
    public fun needsReports(service: String): Boolean = services[service]?.needsReports != false

    /** Records what the coordinator has announced. */
    public fun heard(versions: ServiceVersions) {
        if (services.put(versions.service, versions) == versions) return
        events.write(
            "versions-recorded",
            "service" to versions.service,
            "versions" to versions.softwareVersionsList.joinToString(","),
            "needs_reports" to versions.needsReports
        )
    }

    /**
     * Reads the recorded versions from the store while [isConnected] says that no coordinator
     * announces them, until cancelled.
     */
    public suspend fun follow(tables: StreamTables, isConnected: () -> Boolean) {
        while (true) {
            if (services.isEmpty() || !isConnected()) read(tables)
            delay(READ_INTERVAL_MILLIS)
        }
    }

    private suspend fun read(tables: StreamTables) {
        tables.readRecords()?.forEach { (service, stored) ->
            heard(
                ServiceVersions.newBuilder().setService(service)
                    .addAllSoftwareVersions(stored.record.serving.sorted())
                    .setNeedsReports(true).build()
            )
        }
    }

    private companion object {
        /** Interval between two reads; versions change by releases, which take many seconds. */
        const val READ_INTERVAL_MILLIS = 1_500L
    }
}
