package cactusfold.entry.streams

import cactusfold.entry.process.EventLog
import cactusfold.protocol.entry.ServiceVersions
import kotlinx.coroutines.delay

/** The recorded software versions as this process knows them. Streams begin only at these. */
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

    /** Reads the recorded versions from the store, unless the coordinator announces them first. */
    public suspend fun readFrom(tables: StreamTables) {
        while (services.isEmpty()) {
            tables.readRecords()?.forEach { (service, stored) ->
                val versions = ServiceVersions.newBuilder().setService(service)
                    .addAllSoftwareVersions(stored.record.goneSinceMillis.keys)
                    .setNeedsReports(true).build()
                if (service !in services) heard(versions)
            }
            delay(RETRY_MILLIS)
        }
    }

    private companion object {
        const val RETRY_MILLIS = 1_000L
    }
}
