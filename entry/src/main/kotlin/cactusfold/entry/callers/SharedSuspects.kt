package cactusfold.entry.callers

import cactusfold.decisions.suspect.SuspectState
import cactusfold.decisions.suspect.SuspectTracker
import cactusfold.decisions.suspect.SuspectVerdict
import cactusfold.entry.upstream.Upstream
import cactusfold.node.time.MonotonicClock
import cactusfold.ports.serving.ServingWorkspace
import cactusfold.protocol.SuspectReport
import com.google.common.hash.Hashing

/**
 * Tracks suspects: requests that were in flight when an upstream crashed, and so may be poison
 * requests that crash every upstream they run on. Entry processes exchange their observations.
 */
public class SharedSuspects(private val clock: MonotonicClock, private val wake: () -> Unit) {
    private val tracker = SuspectTracker(SUSPECT_RETENTION_MILLIS, MAX_SUSPECTS)
    private var state = SuspectState()
    private val unsent = mutableListOf<SuspectReport>()
    private val brokenSends = mutableListOf<BrokenSend>()

    /** A send that broke off; evidence of a crash if the upstream turns out to be down. */
    private class BrokenSend(
        val fingerprint: String,
        val upstream: String,
        val inFlight: Int,
        val atMillis: Long
    )

    /** Returns a hash that is the same for all repetitions of a request by the same workspace. */
    public fun fingerprint(request: CallerRequest, workspace: ServingWorkspace?): String =
        hash.newHasher()
            .putUnencodedChars(workspace?.name.orEmpty())
            .putChar('\n')
            .putUnencodedChars(request.uri)
            .putChar('\n')
            .putBytes(request.body.bytes)
            .hash().toString()

    /** Returns how requests with [fingerprint] may be processed. */
    public fun verdict(fingerprint: String): SuspectVerdict = if (state.suspects.isEmpty()) {
        SuspectVerdict.CLEAR
    } else {
        tracker.judge(state, fingerprint, clock.nowMillis())
    }

    /**
     * Records that [upstream] broke off a request with [fingerprint]. This alone may be a fault of
     * that one answer; the request becomes a suspect only if the upstream then turns out to be
     * down.
     */
    public fun recordBroken(fingerprint: String, upstream: Upstream) {
        val nowMillis = clock.nowMillis()
        brokenSends.removeAll { nowMillis - it.atMillis > BROKEN_SEND_RETENTION_MILLIS }
        val inFlight = upstream.inFlight.coerceAtLeast(1)
        brokenSends += BrokenSend(fingerprint, upstream.entry.id, inFlight, nowMillis)
    }

    /** Marks requests that [upstream] broke off recently as suspects, as it is now unreachable. */
    public fun recordDown(upstream: Upstream) {
        val nowMillis = clock.nowMillis()
        val crashed = brokenSends.filter {
            it.upstream == upstream.entry.id &&
                nowMillis - it.atMillis <= BROKEN_SEND_RETENTION_MILLIS
        }
        if (crashed.isEmpty()) return
        brokenSends.removeAll(crashed)
        for (send in crashed) {
            record(send.fingerprint, send.inFlight)
            unsent += SuspectReport.newBuilder().setFingerprint(send.fingerprint)
                .setUpstream(send.upstream).setInFlight(send.inFlight).build()
        }
        wake()
    }

    /** Records a crash that another entry process has reported. */
    public fun reported(report: SuspectReport): Unit = record(report.fingerprint, report.inFlight)

    /** Returns and clears the reports that the other entry processes have not received yet. */
    public fun takeUnsent(): List<SuspectReport> = unsent.toList().also { unsent.clear() }

    private fun record(fingerprint: String, inFlight: Int) {
        state = tracker.crashed(state, fingerprint, inFlight, clock.nowMillis())
    }

    private companion object {
        const val SUSPECT_RETENTION_MILLIS = 60_000L

        /** A crashed upstream is found to refuse connections well within this time. */
        const val BROKEN_SEND_RETENTION_MILLIS = 2_000L
        const val MAX_SUSPECTS = 2_000
        val hash = Hashing.murmur3_128()
    }
}
