package cactusfold.router.forward

import cactusfold.decisions.suspect.CrashId
import cactusfold.decisions.suspect.SuspectState
import cactusfold.decisions.suspect.SuspectTracker
import cactusfold.decisions.suspect.SuspectVerdict
import cactusfold.node.launch.NodeCore
import cactusfold.node.session.Role
import cactusfold.node.state.GuardedState
import cactusfold.protocol.SuspectReport
import kotlinx.coroutines.launch

/**
 * Registry of suspects: fingerprints of possible poison requests, which were in flight on upstreams
 * that crashed. Crashes are reported to the other routers.
 */
public class Suspects(private val core: NodeCore) {
    private val tracker = SuspectTracker(RETENTION_MILLIS, MAX_SUSPECTS)
    private val state = GuardedState(SuspectState())

    /** Returns whether requests with [fingerprint] may run, run in isolation, or are refused. */
    public fun judge(fingerprint: String): SuspectVerdict =
        tracker.judge(state.value, fingerprint, core.clock.nowMillis())

    /** Whether there are no suspects, so that the cost of computing a fingerprint can be saved. */
    public val isEmpty: Boolean get() = state.value.suspects.isEmpty()

    /** Clears [fingerprint], since a request with it completed. */
    public fun clear(fingerprint: String) {
        if (!isEmpty) state.update { tracker.finished(it, fingerprint) }
    }

    /** Records a crash observed by this router and reports it to the other routers. */
    public fun recordCrash(fingerprint: String, upstream: String, inFlight: Int) {
        record(fingerprint, upstream, inFlight)
        val report = SuspectReport.newBuilder()
            .setFingerprint(fingerprint)
            .setUpstream(upstream)
            .setInFlight(inFlight)
            .build()
        core.sessions.members
            .filter { it.role == Role.ROUTER && it.session != core.sessions.session }
            .forEach { member ->
                core.scope.launch {
                    core.peers.peer(member.address, REPORT_TIMEOUT_MILLIS) { reportSuspect(report) }
                }
            }
    }

    /** Records a crash reported by another router. */
    public fun recordReport(report: SuspectReport) {
        record(report.fingerprint, report.upstream, report.inFlight)
    }

    /** A router does not know the starts of upstreams, so each crash counts as one of its own. */
    private fun record(fingerprint: String, upstream: String, inFlight: Int) {
        val nowMillis = core.clock.nowMillis()
        state.update {
            val id = CrashId(upstream, it.suspects[fingerprint]?.ends?.size?.toLong() ?: 0)
            tracker.crashed(it, fingerprint, id, inFlight, nowMillis)
        }
    }

    private companion object {
        const val RETENTION_MILLIS = 600_000L
        const val MAX_SUSPECTS = 4_096
        const val REPORT_TIMEOUT_MILLIS = 1_000L
    }
}
