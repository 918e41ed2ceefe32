package cactusfold.entry.callers

import cactusfold.decisions.queue.RequestRank
import cactusfold.decisions.queue.WaitingRequest
import cactusfold.decisions.rate.WarmingChoice
import cactusfold.decisions.rate.WarmingPool
import cactusfold.entry.passing.RequestPassing
import cactusfold.entry.queueing.PlaceNeed
import cactusfold.entry.queueing.PlaceResult
import cactusfold.entry.queueing.RequestTimes
import cactusfold.entry.rate.SendDecision
import cactusfold.entry.rate.SendPermit
import cactusfold.entry.upstream.Upstream
import cactusfold.ports.serving.ServingRoute
import kotlinx.coroutines.delay
import kotlinx.coroutines.yield

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
 * requests, and the wait if none accepts it. A request waits for a place while it can be answered
 * in time, behind those that rank before it. It waits for a token of a limited upstream for up to
 * half of its latency target, and not for one that comes after its deadline.
 */
internal class UpstreamSelection(
    private val dependencies: RequestFlowDependencies,
    private val request: CallerRequest,
    private val route: ServingRoute,
    private val placement: StreamPlacement,
    private val passing: RequestPassing,
    private val times: RequestTimes,
    private val deadlineAtMillis: Long
) {
    private val maxWaitMillis = route.targetMillis / TARGET_SHARE_DIVISOR
    private var waitingSinceMillis: Long? = null
    private var hasAsked = false
    private var isHeldBackLogged = false

    /** Selects one of [candidates], which all can serve the request. */
    suspend fun select(candidates: List<Upstream>): Selection {
        val places = dependencies.queues.places(placement.service)
        val chosen = choose(candidates, places::hasPlace)
        // Places that become free are given to waiting requests first.
        if (chosen != null && !needsPermit(chosen)) return Selection.Selected(chosen, null)
        val limited = limitedCandidates(candidates, chosen)
        return if (limited.isEmpty()) {
            awaitPlace(candidates)
        } else {
            acquire(limited, canMoveOn(candidates))
        }
    }

    private fun choose(candidates: List<Upstream>, hasPlace: (Upstream) -> Boolean): Upstream? =
        dependencies.directory.choose(warmingPool(candidates), request.facts, hasPlace)

    /** Returns the candidates that suit the request best while some of them are cold. */
    private fun warmingPool(candidates: List<Upstream>): List<Upstream> {
        val (cold, warm) = candidates.partition(dependencies.sendLimiter::isWarming)
        if (cold.isEmpty()) return candidates
        val nowMillis = dependencies.clock.nowMillis()
        val pool = WarmingChoice.pool(
            request.arrivedAtMillis + route.targetMillis - nowMillis,
            route.targetMillis,
            hasCold = cold.any { it.isAvailable(nowMillis) },
            hasWarm = warm.any { it.isAvailable(nowMillis) }
        )
        return when (pool) {
            WarmingPool.ALL -> candidates
            WarmingPool.COLD -> cold
            WarmingPool.WARM -> warm
        }
    }

    private fun isLimited(upstream: Upstream): Boolean =
        dependencies.sendLimiter.limitOf(upstream) != null

    private fun needsPermit(upstream: Upstream): Boolean =
        dependencies.sendLimiter.needsPermit(upstream)

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

    /**
     * Whether there is an upstream that does not limit its requests, though it may be full. Requests
     * wait for a place at a brittle upstream as for one at any other.
     */
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
            SendDecision.Undecided -> withoutToken(
                limited,
                canMoveOn,
                if (limited.any(::isLimited)) UNDECIDED_MILLIS else UNDECIDED_PLACE_MILLIS
            )
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
                passing.unlessHandedOver(route) { delay(waitMillis) }
                Selection.Again
            }
            Ending.REFUSED -> Selection.Refused("upstreams-limited", waitMillis)
        }
    }

    private fun mayWait(waitMillis: Long, nowMillis: Long): Boolean =
        waitedMillis(nowMillis) + waitMillis <= maxWaitMillis &&
            nowMillis + waitMillis < deadlineAtMillis

    private suspend fun awaitPlace(candidates: List<Upstream>): Selection {
        val startedAtMillis = dependencies.clock.nowMillis()
        val waiting = waitingRequest(candidates, startedAtMillis)
        val rank = RequestRank.of(waiting, startedAtMillis)
        val result = passing.unlessHandedOver(route) {
            dependencies.queues.places(placement.service).await(waiting, placeNeed())
        } ?: return Selection.Again
        val waitedMillis = dependencies.clock.nowMillis() - startedAtMillis
        dependencies.meters.recordQueued(PLACE, times.priority, waitedMillis)
        return when (result) {
            is PlaceResult.Free -> Selection.Selected(result.upstream, null).also {
                if (waitedMillis > 0) logQueued("queued", rank, waitedMillis)
            }
            is PlaceResult.Limited ->
                acquire(listOf(result.upstream), canMoveOn(placement.candidates()))
            PlaceResult.Changed -> {
                yield()
                Selection.Again
            }
            is PlaceResult.Refused -> {
                val retryAfterMillis = result.retryAfterMillis.takeIf { it > 0 }
                dependencies.meters.recordRefused(PLACE, times.priority, result.code)
                logQueued(
                    "refused",
                    rank,
                    waitedMillis,
                    "reason" to result.code,
                    "retry_after_ms" to retryAfterMillis
                )
                Selection.Refused(result.code, retryAfterMillis)
            }
        }
    }

    private fun placeNeed() = PlaceNeed(
        group = listOf(
            request.facts.model,
            request.facts.adapter,
            placement.softwareVersion,
            placement.homes
        ),
        serviceMillis = dependencies.queues.times.totalMillis(route.name),
        needsModel = request.facts.model != null || placement.isBound,
        pauseUntilMillis = shortWaitEndsAtMillis(dependencies.clock.nowMillis()),
        candidates = placement::candidates,
        choose = ::choose
    )

    private fun waitingRequest(candidates: List<Upstream>, nowMillis: Long): WaitingRequest {
        val waiting = times.waiting(dependencies.queues.nextId(), costTokens = 1)
        val shortWaitEndsAtMillis = shortWaitEndsAtMillis(nowMillis)
        val endsAtMillis = when {
            // There is no place that could become free.
            candidates.isEmpty() -> shortWaitEndsAtMillis
            // A request that was sent before, or whose stream has begun, may be late already.
            else -> maxOf(waiting.deadlineMillis, shortWaitEndsAtMillis)
        }
        return waiting.copy(deadlineMillis = endsAtMillis)
    }

    private fun shortWaitEndsAtMillis(nowMillis: Long): Long =
        minOf(deadlineAtMillis, nowMillis - waitedMillis(nowMillis) + maxWaitMillis)

    private fun logQueued(
        event: String,
        rank: RequestRank,
        waitedMillis: Long,
        vararg more: Pair<String, Any?>
    ) = dependencies.events.write(
        event,
        "request" to request.facts.id,
        "for" to PLACE,
        "service" to placement.service,
        "rank" to rank.toString(),
        "waited_ms" to waitedMillis,
        *more
    )

    private fun waitedMillis(nowMillis: Long): Long =
        nowMillis - (waitingSinceMillis ?: nowMillis.also { waitingSinceMillis = it })

    private fun recordLimited(upstream: Upstream, end: Ending, waitMillis: Long) {
        dependencies.meters.recordLimited(upstream.entry.id, end.label)
        // Requests ask for a place again and again while they wait in the queue.
        if (!isLimited(upstream) && isHeldBackLogged) return
        isHeldBackLogged = !isLimited(upstream)
        dependencies.events.write(
            "send-limited",
            "request" to request.facts.id,
            "upstream" to upstream.entry.id,
            "per_s" to dependencies.sendLimiter.limitOf(upstream)?.rateTokensPerSecond,
            "brittle" to dependencies.sendLimiter.isBrittle(upstream),
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

        /** What the request waits for, in logs and metrics. */
        const val PLACE = "place"

        /**
         * Time after which a request may ask again if the coordinator did not answer; another one
         * takes over within some seconds.
         */
        const val UNDECIDED_MILLIS = 1_000L

        /** A place that this process frees meanwhile can be used again without the coordinator. */
        const val UNDECIDED_PLACE_MILLIS = 200L
    }
}
