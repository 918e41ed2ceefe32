package cactusfold.entry.callers

import cactusfold.decisions.suspect.SuspectVerdict
import cactusfold.entry.upstream.Upstream
import cactusfold.ports.serving.ServingWorkspace

/**
 * A send as it began.
 *
 * @property silentMillis how long the upstream had been silent before.
 */
internal class ObservedSend(val send: SuspectSend, val silentMillis: Long) {
    /** When the first event of the answer was passed on; null before that. */
    var begunAtMillis: Long? = null
}

/** Whether one request may crash the upstreams that run it, and what its sends show about that. */
internal class RequestSuspicion(
    private val dependencies: RequestFlowDependencies,
    request: CallerRequest,
    workspace: ServingWorkspace?
) {
    private val fingerprint = dependencies.suspects.fingerprint(request, workspace)
    private val blocks = request.facts.sharedBlocks
    private var crashes = 0
    private val suspects get() = dependencies.suspects

    /** Whether the request must not be sent, or not again. */
    val isRefused: Boolean
        get() = crashes >= MAX_CRASHES ||
            dependencies.promptBlocks.isRefused(blocks) ||
            suspects.verdict(fingerprint) == SuspectVerdict.REFUSE

    /** Observes a send to [upstream] that begins now. */
    fun started(upstream: Upstream): ObservedSend {
        val nowMillis = dependencies.clock.nowMillis()
        val send = SuspectSend(fingerprint, upstream.start, nowMillis, upstream.inFlight + 1)
        return ObservedSend(send, upstream.silence.silentMillis(nowMillis))
    }

    /**
     * Records that [upstream] broke off [observed]. Waits until it is known whether the upstream is
     * down if another such end would have the request refused.
     */
    suspend fun recordBroken(upstream: Upstream, observed: ObservedSend, end: SendEnd.Broken) {
        val closed = end.closed
            ?: return recordUnanswered(upstream, observed)
        // An answer that had been written for a while shows that its request did no harm, and an
        // upstream that leaves ends as planned.
        if (closed.writtenForMillis > MAX_WRITTEN_MILLIS || upstream.isGoing) return
        suspects.recordBroken(observed.send)
        if (blocks.isNotEmpty() || suspects.isSuspect(fingerprint)) {
            if (dependencies.crashes.recordBroken(upstream, blocks)) crashes++
        } else {
            dependencies.crashes.check(upstream)
        }
    }

    /**
     * Records that [observed] ended without an answer and without the connection being closed, which
     * means something if [upstream] has been silent on all connections since.
     */
    fun recordUnanswered(upstream: Upstream, observed: ObservedSend) {
        val nowMillis = dependencies.clock.nowMillis()
        val sentAtMillis = observed.send.sentAtMillis
        val wasSilentBefore = observed.silentMillis > MAX_SILENT_BEFORE_MILLIS
        val begunAtMillis = observed.begunAtMillis
        val wasWritten = begunAtMillis != null &&
            upstream.silence.receivedAtMillis - begunAtMillis > MAX_WRITTEN_MILLIS
        if (wasSilentBefore || wasWritten || upstream.isGoing) return
        if (!upstream.isSilentSince(sentAtMillis, nowMillis)) return
        // An answer may only be slow: another start in its place shows that the upstream has ended.
        suspects.recordBroken(observed.send)
    }

    /** Records the complete successful answer to the request. */
    fun recordCompleted() {
        suspects.recordCompleted(fingerprint)
        if (blocks.isNotEmpty()) dependencies.promptBlocks.completed(blocks)
    }

    private companion object {
        /** A request that was in flight at two crashes is not sent a third time. */
        const val MAX_CRASHES = 2

        /** A poison prompt crashes the upstream when the answer begins; the rest is slack. */
        const val MAX_WRITTEN_MILLIS = 500L

        /** What is sent to an upstream that has been silent for longer did not end it. */
        const val MAX_SILENT_BEFORE_MILLIS = 300L
    }
}
