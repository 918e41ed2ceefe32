package cactusfold.router.forward

import cactusfold.decisions.suspect.SuspectState
import cactusfold.decisions.suspect.SuspectTracker
import cactusfold.decisions.suspect.SuspectVerdict
import cactusfold.node.launch.NodeCore
import cactusfold.node.session.Role
import cactusfold.node.state.GuardedState
import cactusfold.protocol.SuspectReport
import kotlinx.coroutines.launch

/** Requests suspected of crashing upstreams, shared with the other routers. */
public class Suspects(private val core: NodeCore) {
    private val tracker = SuspectTracker(KEEP_MILLIS, MAX_SUSPECTS)
    private val state = GuardedState(SuspectState())

    /** Returns what may be done with requests of [fingerprint]. */
    public fun judge(fingerprint: String): SuspectVerdict =
        tracker.judge(state.value, fingerprint, core.clock.nowMillis())

    /** Whether nothing is suspected at all, so that no fingerprint is needed. */
    public val isEmpty: Boolean get() = state.value.suspects.isEmpty()

    /** Books that [fingerprint] ran to its end. */
    public fun finished(fingerprint: String) {
        if (!isEmpty) state.update { tracker.finished(it, fingerprint) }
    }

    /** Books a crash seen here, and tells the other routers. */
    public fun crashed(fingerprint: String, upstream: String, inFlight: Int) {
        book(fingerprint, inFlight)
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

    /** Books a crash that another router saw. */
    public fun reported(report: SuspectReport) {
        book(report.fingerprint, report.inFlight)
    }

    private fun book(fingerprint: String, inFlight: Int) {
        state.update { tracker.crashed(it, fingerprint, inFlight, core.clock.nowMillis()) }
    }

    private companion object {
        const val KEEP_MILLIS = 600_000L
        const val MAX_SUSPECTS = 4_096
        const val REPORT_TIMEOUT_MILLIS = 1_000L
    }
}
