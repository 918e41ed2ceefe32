package cactusfold.entry.callers

import cactusfold.decisions.suspect.SuspectVerdict
import cactusfold.entry.upstream.Upstream
import cactusfold.ports.serving.ServingWorkspace

/** Whether one request may crash the upstreams that run it, and what its sends show about that. */
internal class RequestSuspicion(
    private val dependencies: RequestFlowDependencies,
    request: CallerRequest,
    workspace: ServingWorkspace?
) {
    private val fingerprint = dependencies.suspects.fingerprint(request, workspace)
    private val blocks = request.facts.sharedBlocks
    private var crashes = 0

    /** Whether the request must not be sent, or not again. */
    val isRefused: Boolean
        get() = crashes >= MAX_CRASHES ||
            dependencies.promptBlocks.isRefused(blocks) ||
            dependencies.suspects.verdict(fingerprint) == SuspectVerdict.REFUSE

    /** Records that [upstream] broke off the request; waits until it is known if it is down. */
    suspend fun recordBroken(upstream: Upstream, end: SendEnd.Broken) {
        dependencies.suspects.recordBroken(fingerprint, upstream)
        val closed = end.closed ?: return
        // An answer that had been written for a while shows that its prompt did no harm.
        if (blocks.isEmpty() || closed.writtenForMillis > MAX_WRITTEN_MILLIS) return
        if (dependencies.crashes.recordBroken(upstream, blocks)) crashes++
    }

    /** Records the complete successful answer to the request. */
    fun recordCompleted() {
        if (blocks.isNotEmpty()) dependencies.promptBlocks.completed(blocks)
    }

    private companion object {
        /** A request that was in flight at two crashes is not sent a third time. */
        const val MAX_CRASHES = 2

        /** A poison prompt crashes the upstream when the answer begins; the rest is slack. */
        const val MAX_WRITTEN_MILLIS = 500L
    }
}
