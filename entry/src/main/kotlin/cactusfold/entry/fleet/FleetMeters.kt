package cactusfold.entry.fleet

import cactusfold.protocol.entry.FleetNotice
import cactusfold.protocol.entry.MemberReport
import io.micrometer.core.instrument.MeterRegistry

/** Counters of the messages between the coordinator and its members, and of their bytes. */
public class FleetMeters(private val registry: MeterRegistry) {
    private val urgentNotices = registry.counter(NOTICES, "cause", "urgent")
    private val heartbeats = registry.counter(NOTICES, "cause", "heartbeat")
    private val noticeBytes = registry.counter("cactusfold.fleet.notices.bytes")
    private val urgentReports = registry.counter(REPORTS, "cause", "urgent")
    private val regularReports = registry.counter(REPORTS, "cause", "regular")
    private val reportBytes = registry.counter("cactusfold.fleet.reports.bytes")

    /** Counts a [notice] to a member, sent for urgent news if [isUrgent]. */
    public fun noticeSent(notice: FleetNotice, isUrgent: Boolean) {
        (if (isUrgent) urgentNotices else heartbeats).increment()
        noticeBytes.increment(notice.serializedSize.toDouble())
    }

    /** Counts a [report] to the coordinator, sent before its time if [isUrgent]. */
    public fun reportSent(report: MemberReport, isUrgent: Boolean) {
        (if (isUrgent) urgentReports else regularReports).increment()
        reportBytes.increment(report.serializedSize.toDouble())
    }

    private companion object {
        const val NOTICES = "cactusfold.fleet.notices"
        const val REPORTS = "cactusfold.fleet.reports"
    }
}
