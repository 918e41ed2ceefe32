package cactusfold.decisions.queue

import cactusfold.decisions.Step
import cactusfold.decisions.invariant
import cactusfold.decisions.unchanged
import cactusfold.decisions.with
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf

/**
 * A request that waits for an upstream.
 *
 * @property deadlineMillis when it must have been dispatched or refused, on the monotonic clock.
 * @property costTokens what it counts for in its workspace's share.
 */
public data class WaitingRequest(
    public val id: String,
    public val workspace: String,
    public val share: Double,
    public val deadlineMillis: Long,
    public val costTokens: Long
)

/** Why a request leaves the queue without having been dispatched. */
public enum class QueueRefusal {
    /** The queue is at its bound. */
    FULL,

    /** It can't be served before its deadline. */
    LATE,

    /** Its caller left. */
    CANCELLED
}

/** What a queue asks its surroundings to do. */
public sealed interface QueueEffect {
    /** Send the request to an upstream now. */
    public data class Dispatch(public val request: WaitingRequest) : QueueEffect

    /** Give the request its final answer: it was not run. */
    public data class Refuse(public val request: WaitingRequest, public val reason: QueueRefusal) :
        QueueEffect
}

/**
 * The requests that wait for one model or service at one router.
 *
 * @property waiting for each workspace, earliest deadline first.
 * @property servedTokens virtual time of each workspace: tokens served over its share.
 * @property size requests waiting in total.
 */
public data class QueueState(
    public val waiting: PersistentMap<String, PersistentList<WaitingRequest>> = persistentMapOf(),
    public val servedTokens: PersistentMap<String, Double> = persistentMapOf(),
    public val floorTokens: Double = 0.0,
    public val size: Int = 0
) {
    /** The earliest deadline among the waiting requests, or null. */
    public val earliestDeadlineMillis: Long?
        get() = waiting.values.minOfOrNull { it.first().deadlineMillis }
}

/**
 * Fair over workspaces by tokens served and weighted by share (virtual token counter); earliest
 * deadline first within a workspace; bounded for each workspace and as a whole.
 *
 * @property maxPerWorkspace bound for one workspace, so that none can fill the queue for others.
 */
public class FairQueue(private val maxTotal: Int, private val maxPerWorkspace: Int) {

    /** Adds [request], or refuses it at once. */
    public fun add(
        state: QueueState,
        request: WaitingRequest,
        nowMillis: Long
    ): Step<QueueState, QueueEffect> {
        val queued = state.waiting[request.workspace] ?: persistentListOf()
        val refusal = when {
            request.deadlineMillis <= nowMillis -> QueueRefusal.LATE
            state.size >= maxTotal || queued.size >= maxPerWorkspace -> QueueRefusal.FULL
            else -> null
        }
        if (refusal != null) return state.with(QueueEffect.Refuse(request, refusal))
        val position = insertionPoint(queued, request.deadlineMillis)
        val served = maxOf(state.servedTokens[request.workspace] ?: 0.0, state.floorTokens)
        return state.copy(
            waiting = state.waiting.put(request.workspace, queued.add(position, request)),
            servedTokens = if (queued.isEmpty()) {
                state.servedTokens.put(request.workspace, served)
            } else {
                state.servedTokens
            },
            size = state.size + 1
        ).unchanged()
    }

    /** Dispatches up to [slots] requests. Work conserving: no slot stays free while one waits. */
    public fun dispatch(state: QueueState, slots: Int): Step<QueueState, QueueEffect> {
        var current = state
        val effects = mutableListOf<QueueEffect>()
        while (effects.size < slots && current.size > 0) {
            val workspace = current.waiting.keys.minBy { current.servedTokens[it] ?: 0.0 }
            val request = current.waiting.getValue(workspace).first()
            current = serve(current, request)
            effects += QueueEffect.Dispatch(request)
        }
        invariant(current.size >= 0) { "a queue's size is never negative" }
        return Step(current, effects)
    }

    /** Refuses every request whose deadline has come. */
    public fun expire(state: QueueState, nowMillis: Long): Step<QueueState, QueueEffect> {
        val late = state.waiting.values
            .flatMap { queued -> queued.takeWhile { it.deadlineMillis <= nowMillis } }
        val next = late.fold(state) { current, request -> remove(current, request) }
        return Step(next, late.map { QueueEffect.Refuse(it, QueueRefusal.LATE) })
    }

    /** Refuses all that wait, as when nothing can serve them before their deadlines. */
    public fun refuseAll(state: QueueState, reason: QueueRefusal): Step<QueueState, QueueEffect> {
        val all = state.waiting.values.flatten()
        val next = all.fold(state) { current, request -> remove(current, request) }
        return Step(next, all.map { QueueEffect.Refuse(it, reason) })
    }

    /** Takes out the request [id] of [workspace] because its caller left. */
    public fun cancel(
        state: QueueState,
        workspace: String,
        id: String
    ): Step<QueueState, QueueEffect> {
        val request = state.waiting[workspace]?.find { it.id == id } ?: return state.unchanged()
        return remove(state, request).with(QueueEffect.Refuse(request, QueueRefusal.CANCELLED))
    }

    private fun insertionPoint(queued: List<WaitingRequest>, deadlineMillis: Long): Int {
        val found = queued.binarySearch { if (it.deadlineMillis <= deadlineMillis) -1 else 1 }
        return -found - 1
    }

    private fun serve(state: QueueState, request: WaitingRequest): QueueState {
        val before = state.servedTokens[request.workspace] ?: 0.0
        val after = before + request.costTokens / request.share
        return remove(state, request).let {
            val served = it.servedTokens.put(request.workspace, after)
            it.copy(servedTokens = served, floorTokens = maxOf(state.floorTokens, before))
        }
    }

    private fun remove(state: QueueState, request: WaitingRequest): QueueState {
        val queued = state.waiting.getValue(request.workspace).remove(request)
        val waiting = if (queued.isEmpty()) {
            state.waiting.remove(request.workspace)
        } else {
            state.waiting.put(request.workspace, queued)
        }
        return state.copy(waiting = waiting, size = state.size - 1)
    }
}
