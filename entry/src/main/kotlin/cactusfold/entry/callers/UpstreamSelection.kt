package cactusfold.entry.callers

import cactusfold.entry.rate.SendDecision
import cactusfold.entry.rate.SendPermit
import cactusfold.entry.upstream.Upstream
import kotlinx.coroutines.delay

/** Which upstream a request is sent to next. */
internal sealed interface Selection {
    /** The request is sent to [upstream]; [permit] is null if it does not limit its requests. */
    data class Selected(val upstream: Upstream, val permit: SendPermit?) : Selection

    /** The request has waited, or an upstream was ruled out; the candidates may have changed. */
    data object Again : Selection

    /** No upstream accepts the request in time. */
    data class Refused(val code: String, val retryAfterMillis: Long?) : Selection
}

/**
 * Selects upstreams for one request: the choice among those that are available, the limits on their
 * requests, and the wait if none accepts it. A request waits for up to half of its latency target,
 * and not for a token that comes after its deadline.
 */
internal class UpstreamSelection(
    private val dependencies: RequestFlowDependencies,
    private val request: CallerRequest,
    targetMillis: Long,
    private val deadlineAtMillis: Long
) {
    private val maxWaitMillis = targetMillis / TARGET_SHARE_DIVISOR
    private var waitingSinceMillis: Long? = null
    private var hasAsked = false

    /** Selects one of [candidates], which all can serve the request. */
    suspend fun select(candidates: List<Upstream>): Selection {
        val chosen = dependencies.directory.choose(candidates, request.facts)
        if (chosen != null && !isLimited(chosen)) return Selection.Selected(chosen, null)
        val limited = limitedCandidates(candidates, chosen)
        return if (limited.isEmpty()) {
            awaitFree(candidates)
        } else {
            acquire(limited, canMoveOn(candidates))
        }
    }

    private fun isLimited(upstream: Upstream): Boolean =
        dependencies.sendLimiter.limitOf(upstream) != null

    /**
     * Returns the limited upstreams to ask a token of: all that are available but for their limit
     * if there is no other upstream, so that the coordinator can say when one of them accepts a
     * request.
     */
    private fun limitedCandidates(candidates: List<Upstream>, chosen: Upstream?): List<Upstream> {
        if (canMoveOn(candidates)) return listOfNotNull(chosen)
        val nowMillis = dependencies.clock.nowMillis()
        val available = candidates
            .filter { isLimited(it) && it.isAvailable(nowMillis, ignoresLimit = true) }
            .sortedBy { it.inFlight }
        return (listOfNotNull(chosen) + available).distinct()
    }

    /** Whether there is an upstream that does not limit its requests, though it may be full. */
    private fun canMoveOn(candidates: List<Upstream>): Boolean {
        val nowMillis = dependencies.clock.nowMillis()
        return candidates.any { !isLimited(it) && !it.isPaused(nowMillis) }
    }

    private suspend fun acquire(limited: List<Upstream>, canMoveOn: Boolean): Selection {
        val joinsQueue = !canMoveOn && !hasAsked
        return when (val decision = dependencies.sendLimiter.acquire(limited, joinsQueue)) {
            is SendDecision.Permitted -> {
                dependencies.meters.recordPermitted(decision.upstream.entry.id)
                Selection.Selected(decision.upstream, decision.permit)
            }
            is SendDecision.Limited -> withoutToken(limited, canMoveOn, decision.retryAfterMillis)
            SendDecision.Undecided -> withoutToken(limited, canMoveOn, UNDECIDED_MILLIS)
        }
    }

    /** Moves on to another upstream, or waits for a token of [limited] if that is in time. */
    private suspend fun withoutToken(
        limited: List<Upstream>,
        canMoveOn: Boolean,
        waitMillis: Long
    ): Selection {
        val nowMillis = dependencies.clock.nowMillis()
        val end = when {
            canMoveOn -> Ending.MOVES_ON
            mayWait(waitMillis, nowMillis) -> Ending.WAITS
            else -> Ending.REFUSED
        }
        limited.forEach {
            it.recordLimited(waitMillis, nowMillis)
            recordLimited(it, end, waitMillis)
        }
        return when (end) {
            Ending.MOVES_ON -> Selection.Again
            Ending.WAITS -> {
                hasAsked = true
                delay(waitMillis)
                Selection.Again
            }
            Ending.REFUSED -> Selection.Refused("upstreams-limited", waitMillis)
        }
    }

    private fun mayWait(waitMillis: Long, nowMillis: Long): Boolean =
        waitedMillis(nowMillis) + waitMillis <= maxWaitMillis &&
            nowMillis + waitMillis < deadlineAtMillis

    private suspend fun awaitFree(candidates: List<Upstream>): Selection {
        val waitedMillis = waitedMillis(dependencies.clock.nowMillis())
        val pauseMillis = dependencies.directory.pauseMillis(candidates) ?: 0
        if (waitedMillis + pauseMillis > maxWaitMillis && pauseMillis > 0) {
            return Selection.Refused("upstreams-paused", pauseMillis)
        }
        if (waitedMillis > maxWaitMillis) return Selection.Refused("all-full", null)
        delay(FULL_RECHECK_MILLIS)
        return Selection.Again
    }

    private fun waitedMillis(nowMillis: Long): Long =
        nowMillis - (waitingSinceMillis ?: nowMillis.also { waitingSinceMillis = it })

    private fun recordLimited(upstream: Upstream, end: Ending, waitMillis: Long) {
        dependencies.meters.recordLimited(upstream.entry.id, end.label)
        dependencies.events.write(
            "send-limited",
            "request" to request.facts.id,
            "upstream" to upstream.entry.id,
            "per_s" to dependencies.sendLimiter.limitOf(upstream)?.rateTokensPerSecond,
            "end" to end.label,
            "retry_after_ms" to waitMillis
        )
    }

    /** What a request without a token does; the label is for logs and metrics. */
    private enum class Ending(val label: String) {
        MOVES_ON("moved"),
        WAITS("waits"),
        REFUSED("refused")
    }

    private companion object {
        const val TARGET_SHARE_DIVISOR = 2

        /** Interval at which a request that waits for a free upstream checks for one. */
        const val FULL_RECHECK_MILLIS = 10L

        /**
         * Time after which a request may ask again if the coordinator did not answer; another one
         * takes over within some seconds.
         */
        const val UNDECIDED_MILLIS = 1_000L
    }
}
