package cactusfold.entry.queueing

import cactusfold.decisions.queue.OfferedWork
import cactusfold.decisions.queue.QueueEffect
import cactusfold.decisions.queue.QueueOrder
import cactusfold.decisions.queue.QueueRefusal
import cactusfold.decisions.queue.QueueState
import cactusfold.decisions.queue.Room
import cactusfold.decisions.queue.ServingCapacity
import cactusfold.decisions.queue.WaitForecast
import cactusfold.decisions.queue.WaitOutlook
import cactusfold.decisions.queue.WaitingList
import cactusfold.decisions.queue.WaitingRequest
import cactusfold.entry.upstream.Upstream
import cactusfold.entry.upstream.UpstreamDirectory
import cactusfold.node.time.MonotonicClock
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/**
 * What a request needs a place for.
 *
 * @property group requests of one group have the same candidates.
 * @property serviceMillis how long the request is expected to occupy the place; zero if unknown.
 * @property needsModel whether the request waits for its model elsewhere if no upstream has it.
 * @property pauseUntilMillis the request is refused if all candidates have asked for a pause that
 *   ends later.
 * @property candidates returns the upstreams that can serve the request now.
 * @property choose returns the best of some candidates, or null if none can be sent the request.
 */
public class PlaceNeed(
    public val group: Any,
    public val serviceMillis: Long,
    public val needsModel: Boolean,
    public val pauseUntilMillis: Long = Long.MAX_VALUE,
    public val candidates: () -> List<Upstream>,
    public val choose: (candidates: List<Upstream>, hasPlace: (Upstream) -> Boolean) -> Upstream?
)

/** How the wait for a place has ended. */
public sealed interface PlaceResult {
    /** [upstream] has a place, to be taken before the coroutine is suspended again. */
    public data class Free(public val upstream: Upstream) : PlaceResult

    /** [upstream] has a place, but limits the requests of all VMs together. */
    public data class Limited(public val upstream: Upstream) : PlaceResult

    /** There are no candidates any more. */
    public data object Changed : PlaceResult

    /** No candidate has a place in time; [retryAfterMillis] is zero if unknown. */
    public data class Refused(public val code: String, public val retryAfterMillis: Long) :
        PlaceResult
}

/**
 * This process's requests that wait for a place at an upstream of one service, in the order of
 * their ranks. They are checked when something has changed, and at the time when the next upstream
 * is no longer excluded or the next request has to be refused.
 */
public class PlaceQueue(
    private val directory: UpstreamDirectory,
    private val clock: MonotonicClock,
    private val scope: CoroutineScope,
    private val isLimited: (Upstream) -> Boolean
) {
    private class Waiter(val request: WaitingRequest, val need: PlaceNeed) {
        val result = CompletableDeferred<PlaceResult>()

        /** What the pass that is under way has decided. */
        var decided: PlaceResult? = null
    }

    /** What is asked for by group, since requests last began to wait. */
    private val offered = HashMap<Any, OfferedWork>()
    private val list = WaitingList(MAX_WAITING, order = QueueOrder.ByRank)
    private var state = QueueState()
    private val waiters = HashMap<String, Waiter>()

    /** Places that were given to requests that have not resumed yet. */
    private val given = HashMap<Upstream, Int>()
    private var timer: Job? = null
    private var timerAtMillis = Long.MAX_VALUE

    /** Number of waiting requests. */
    public val count: Int get() = state.size

    /** Returns when [request] gets a place, is refused, or has other candidates than before. */
    public suspend fun await(request: WaitingRequest, need: PlaceNeed): PlaceResult {
        offered[need.group] = (offered[need.group] ?: OfferedWork())
            .arrived(request.priority, 1, clock.nowMillis())
        val waiter = Waiter(request, need)
        waiters[request.id] = waiter
        refuse(list.add(state, request, clock.nowMillis()).also { state = it.state }.effects)
        check()
        if (!waiter.result.isCompleted) {
            refusal(waiter)?.let(waiter.result::complete)
        }
        var isReceived = false
        try {
            return waiter.result.await().also { isReceived = true }
        } finally {
            leave(waiter)
            // Another request can have the place of one that was cancelled.
            if (!isReceived) scope.launch { check() }
        }
    }

    /** Gives places to waiting requests, as far as there are any. */
    public fun check() {
        if (state.size == 0) return
        val nowMillis = clock.nowMillis()
        refuse(list.expire(state, nowMillis).also { state = it.state }.effects)
        val full = HashSet<Any>()
        val decided = mutableListOf<Waiter>()
        val dispatched = list.dispatch(state, nowMillis) { request ->
            val waiter = waiters.getValue(request.id)
            when {
                waiter.need.group in full -> Room.SEPARATE
                place(waiter) -> Room.FREE.also { decided += waiter }
                else -> Room.SEPARATE.also { full += waiter.need.group }
            }
        }
        state = dispatched.state
        arm(nowMillis)
        // A request may resume at once and ask for a place again, which begins another pass.
        decided.forEach { waiter -> waiter.decided?.let(waiter.result::complete) }
    }

    /** Whether [upstream] has a place that was not given to a request that has yet to resume. */
    public fun hasPlace(upstream: Upstream): Boolean =
        upstream.inFlight + (given[upstream] ?: 0) < upstream.entry.slots

    /** Decides whether [waiter] gets a place, or has other candidates; returns false if not yet. */
    private fun place(waiter: Waiter): Boolean {
        if (waiter.result.isCompleted) return false
        val candidates = waiter.need.candidates()
        if (candidates.isEmpty()) {
            if (waiter.need.needsModel) waiter.decided = PlaceResult.Changed
            return waiter.need.needsModel
        }
        val chosen = waiter.need.choose(candidates, ::hasPlace) ?: return false
        if (isLimited(chosen)) {
            waiter.decided = PlaceResult.Limited(chosen)
        } else {
            given.merge(chosen, 1, Int::plus)
            waiter.decided = PlaceResult.Free(chosen)
        }
        return true
    }

    /** Returns why [waiter] cannot be served in time; null if it may wait. */
    private fun refusal(waiter: Waiter): PlaceResult.Refused? {
        val request = waiter.request
        val nowMillis = clock.nowMillis()
        val candidates = waiter.need.candidates()
        val pauseMillis = directory.pauseMillis(candidates) ?: 0
        val pauseUntilMillis = minOf(request.deadlineMillis, waiter.need.pauseUntilMillis)
        if (pauseMillis > 0 && nowMillis + pauseMillis > pauseUntilMillis) {
            return PlaceResult.Refused(PAUSED, pauseMillis)
        }
        val group = state.requests.filter { waiters[it.id]?.need?.group == waiter.need.group }
        val isAlone = group.all { it.id == request.id }
        val taken = candidates.sumOf { it.view(nowMillis).expectedLoad }
        if (isAlone && taken * 2 < candidates.sumOf { it.entry.slots }) return null
        val capacity =
            ServingCapacity.ofPlaces(
                candidates.sumOf { busyPlaces(it, nowMillis) },
                waiter.need.serviceMillis,
                offered[waiter.need.group] ?: OfferedWork()
            )
        return when (val outlook = WaitForecast.of(group, request, capacity, nowMillis)) {
            is WaitOutlook.Servable -> null
            is WaitOutlook.Hopeless -> PlaceResult.Refused(FULL, outlook.retryAfterMillis)
        }
    }

    /** Other VMs use most places of an upstream, so its stated load counts as well. */
    private fun busyPlaces(upstream: Upstream, nowMillis: Long): Int =
        maxOf(upstream.inFlight, upstream.view(nowMillis).expectedLoad)
            .coerceAtMost(upstream.entry.slots)

    private fun refuse(effects: List<QueueEffect>) {
        for (effect in effects) {
            val refused = effect as QueueEffect.Refuse
            val waiter = waiters[refused.request.id] ?: continue
            val candidates = waiter.need.candidates()
            val pauseMillis = directory.pauseMillis(candidates)
            val millis = pauseMillis ?: waiter.need.serviceMillis
            val code = when {
                pauseMillis != null -> PAUSED
                refused.reason == QueueRefusal.FULL -> "queue-full"
                else -> FULL
            }
            waiter.result.complete(PlaceResult.Refused(code, millis))
        }
    }

    private fun leave(waiter: Waiter) {
        val request = waiter.request
        waiters.remove(request.id)
        state = list.cancel(state, request.workspace, request.id).state
        if (waiters.isEmpty()) offered.clear()
        if (!waiter.result.isCompleted) return
        val place = waiter.result.getCompleted() as? PlaceResult.Free ?: return
        given.computeIfPresent(place.upstream) { _, places -> (places - 1).takeIf { it > 0 } }
    }

    /** Has the requests checked again when that may matter without any other event. */
    private fun arm(nowMillis: Long) {
        val earliestMillis = state.earliestDeadlineMillis
        val nextMillis = earliestMillis
            ?.let { minOf(it, nextReturnMillis(nowMillis), nowMillis + RECHECK_MILLIS) }
        // An earlier check sets the timer anew.
        if (nextMillis != null && timerAtMillis in nowMillis..nextMillis) return
        timer?.cancel()
        timerAtMillis = nextMillis ?: Long.MAX_VALUE
        if (nextMillis == null) return
        timer = scope.launch {
            delay((nextMillis - clock.nowMillis()).coerceAtLeast(1))
            timerAtMillis = Long.MAX_VALUE
            check()
        }
    }

    /** Returns when the next candidate is no longer excluded. */
    private fun nextReturnMillis(nowMillis: Long): Long = waiters.values
        .distinctBy { it.need.group }
        .flatMap { it.need.candidates() }
        .map { it.view(nowMillis).excludedUntilMillis }
        .filter { it > nowMillis }
        .minOrNull() ?: Long.MAX_VALUE

    private companion object {
        /** More would not be served in time: a VM has some hundred places of a service. */
        const val MAX_WAITING = 500

        /**
         * Interval of checks while requests wait, for changes without an event: a connection may
         * be possible again, and a silent upstream may have recovered.
         */
        const val RECHECK_MILLIS = 200L
        const val FULL = "all-full"
        const val PAUSED = "upstreams-paused"
    }
}
