package cactusfold.entry.callers

import cactusfold.decisions.suspect.SuspectState
import cactusfold.decisions.suspect.SuspectTracker
import cactusfold.decisions.suspect.SuspectVerdict
import cactusfold.entry.upstream.Upstream
import cactusfold.node.time.MonotonicClock
import cactusfold.ports.serving.ServingWorkspace
import cactusfold.protocol.SuspectReport
import com.google.common.hash.Hashing

/** Requests in flight when an upstream broke down, known to all members of the fleet. */
public class SharedSuspects(private val clock: MonotonicClock, private val wake: () -> Unit) {
    private val tracker = SuspectTracker(RETENTION_MILLIS, MAX_SUSPECTS)
    private var state = SuspectState()
    private val unsentReports = mutableListOf<SuspectReport>()
    private val pending = mutableListOf<Pending>()

    private class Pending(
        val fingerprint: String,
        val upstream: String,
        val inFlight: Int,
        val atMillis: Long
    )

    /** Returns what a request and its repetitions by the same caller have in common. */
    public fun fingerprint(request: CallerRequest, workspace: ServingWorkspace?): String =
        hash.newHasher()
            .putUnencodedChars(workspace?.name.orEmpty())
            .putChar('\n')
            .putUnencodedChars(request.uri)
            .putChar('\n')
            .putBytes(request.body.bytes)
            .hash().toString()

    /** Returns what may be done with a request of [fingerprint]. */
    public fun verdict(fingerprint: String): SuspectVerdict = if (state.suspects.isEmpty()) {
        SuspectVerdict.CLEAR
    } else {
        tracker.judge(state, fingerprint, clock.nowMillis())
    }

    /**
     * Takes note that a request of [fingerprint] was in flight when [upstream] broke it off. That alone
     * may be a fault of the answer; the request is suspected once the upstream proves to be down.
     */
    public fun recordBroken(fingerprint: String, upstream: Upstream) {
        val nowMillis = clock.nowMillis()
        pending.removeAll { nowMillis - it.atMillis > PENDING_MILLIS }
        val inFlight = upstream.inFlight.coerceAtLeast(1)
        pending += Pending(fingerprint, upstream.entry.id, inFlight, nowMillis)
    }

    /** Suspects the requests that [upstream] broke off lately: it can't be reached any more. */
    public fun recordDown(upstream: Upstream) {
        val nowMillis = clock.nowMillis()
        val crashed = pending.filter {
            it.upstream == upstream.entry.id && nowMillis - it.atMillis <= PENDING_MILLIS
        }
        if (crashed.isEmpty()) return
        pending.removeAll(crashed)
        for (one in crashed) {
            record(one.fingerprint, one.inFlight)
            unsentReports += SuspectReport.newBuilder().setFingerprint(one.fingerprint)
                .setUpstream(one.upstream).setInFlight(one.inFlight).build()
        }
        wake()
    }

    /** Takes over what another member saw. */
    public fun reported(report: SuspectReport): Unit = record(report.fingerprint, report.inFlight)

    /** Returns what the others have not been told yet. */
    public fun takeUnsent(): List<SuspectReport> = unsentReports.toList().also {
        unsentReports.clear()
    }

    private fun record(fingerprint: String, inFlight: Int) {
        state = tracker.crashed(state, fingerprint, inFlight, clock.nowMillis())
    }

    private companion object {
        const val RETENTION_MILLIS = 60_000L

        /** An upstream that crashed refuses connections well within this time. */
        const val PENDING_MILLIS = 2_000L
        const val MAX_SUSPECTS = 2_000
        val hash = Hashing.murmur3_128()
    }
}
