package cactusfold.entry.streams

import cactusfold.entry.process.EventLog
import cactusfold.protocol.entry.ServiceVersions
import kotlinx.coroutines.delay

/**
 * The recorded software versions that serve, as this process knows them. Streams begin only there.
 */
public class RecordedVersions(private val events: EventLog) {
    private val services = HashMap<String, ServiceVersions>()
    private var announcements = 0L
    private var isRead = false

    /** Whether streams of [service] may begin at [softwareVersion]. */
    public fun contains(service: String, softwareVersion: String): Boolean =
        services[service]?.softwareVersionsList?.contains(softwareVersion) == true

    /** Whether streams of [service] are reported to the coordinator; so it is until it is known. */
    public fun needsReports(service: String): Boolean = services[service]?.needsReports != false

    /** Records what the coordinator has announced. */
    public fun heard(versions: ServiceVersions) {
        announcements++
        set(versions)
    }

    private fun set(versions: ServiceVersions) {
        if (services.put(versions.service, versions) == versions) return
        events.write(
            "versions-recorded",
            "service" to versions.service,
            "versions" to versions.softwareVersionsList.joinToString(","),
            "needs_reports" to versions.needsReports
        )
    }

    /**
     * Reads the recorded versions from the store with [readRecords] while [isConnected] says that
     * no coordinator announces them, until cancelled. With a coordinator they are read once at most.
     * Nothing is read unless [isNeeded]: unless a service has streams that may be resumed.
     */
    public suspend fun follow(
        readRecords: suspend () -> Map<String, StoredRecord>?,
        isNeeded: () -> Boolean,
        isConnected: () -> Boolean
    ) {
        while (true) {
            val isUnknown = !isRead && services.isEmpty()
            if (isNeeded() && (isUnknown || !isConnected())) read(readRecords)
            delay(READ_INTERVAL_MILLIS)
        }
    }

    internal suspend fun read(readRecords: suspend () -> Map<String, StoredRecord>?) {
        val announcementsBefore = announcements
        val records = readRecords() ?: return
        isRead = true
        // What the coordinator has announced meanwhile may be newer, and is not announced again.
        if (announcements != announcementsBefore) return
        for ((service, stored) in records) {
            set(
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
