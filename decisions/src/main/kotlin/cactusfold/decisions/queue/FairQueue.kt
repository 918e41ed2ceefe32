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
 * A request waiting for an upstream.
 *
 * @property share weight of the workspace in the fair division of tokens.
 * @property deadlineMillis time on the monotonic clock by which it must be dispatched or refused.
 * @property costTokens tokens charged to the workspace when the request is dispatched.
 */
public data class WaitingRequest(
    public val id: String,
    public val workspace: String,
    public val share: Double,
    public val deadlineMillis: Long,
    public val costTokens: Long
)

/** Reason why a request was not dispatched. */
public enum class QueueRefusal {
    /** The queue, or the workspace's part of it, is full. */
    FULL,

    /** The request can't be served before its deadline. */
    LATE,

    /** The caller canceled the request. */
    CANCELLED
}

/** An action that [FairQueue] asks its caller to perform. */
public sealed interface QueueEffect {
    /** Sends the request to an upstream. */
    public data class Dispatch(public val request: WaitingRequest) : QueueEffect

    /** Answers the request with a refusal; it was not executed. */
    public data class Refuse(public val request: WaitingRequest, public val reason: QueueRefusal) :
        QueueEffect
}

/**
 * Requests waiting for one model or service at one router.
 *
 * @property waiting requests by workspace, earliest deadline first.
 * @property servedTokens virtual time by workspace: tokens served divided by its share.
 * @property floorTokens minimum virtual time of a workspace that starts to queue, so that it earns
 *   no credit while it is idle.
 * @property size total of waiting requests.
 */
public data class QueueState(
    public val waiting: PersistentMap<String, PersistentList<WaitingRequest>> = persistentMapOf(),
    public val servedTokens: PersistentMap<String, Double> = persistentMapOf(),
    public val floorTokens: Double = 0.0,
    public val size: Int = 0
) {
    /** The earliest deadline among the waiting requests, or null if there are none. */
    public val earliestDeadlineMillis: Long?
        get() = waiting.values.minOfOrNull { it.first().deadlineMillis }
}

/**
 * Bounded fair queue over workspaces.
 *
 * Workspaces are served in proportion to their shares, measured in tokens (virtual token counter).
 * Within a workspace the earliest deadline goes first.
 *
 * @param maxTotal maximum number of waiting requests.
 * @param maxPerWorkspace maximum per workspace, so that none can fill the queue for the others.
 */
public class FairQueue(private val maxTotal: Int, private val maxPerWorkspace: Int) {

    /** Adds [request], or refuses it if the queue is full or the deadline has passed. */
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

    /** Dispatches up to [slots] requests. Work-conserving: no slot stays free while one waits. */
    public fun dispatch(state: QueueState, slots: Int): Step<QueueState, QueueEffect> {
        var current = state
        val effects = mutableListOf<QueueEffect>()
        while (effects.size < slots && current.size > 0) {
            val workspace = current.waiting.keys.minBy { current.servedTokens[it] ?: 0.0 }
            val request = current.waiting.getValue(workspace).first()
            current = serve(current, request)
            effects += QueueEffect.Dispatch(request)
        }
        invariant(current.size >= 0) { "the size of a queue must not be negative" }
        return Step(current, effects)
    }

    /** Refuses all requests whose deadlines have passed. */
    public fun expire(state: QueueState, nowMillis: Long): Step<QueueState, QueueEffect> {
        val late = state.waiting.values
            .flatMap { queued -> queued.takeWhile { it.deadlineMillis <= nowMillis } }
        val next = late.fold(state) { current, request -> remove(current, request) }
        return Step(next, late.map { QueueEffect.Refuse(it, QueueRefusal.LATE) })
    }

    /** Refuses all waiting requests, for instance if none can be served before its deadline. */
    public fun refuseAll(state: QueueState, reason: QueueRefusal): Step<QueueState, QueueEffect> {
        val all = state.waiting.values.flatten()
        val next = all.fold(state) { current, request -> remove(current, request) }
        return Step(next, all.map { QueueEffect.Refuse(it, reason) })
    }

    /** Removes the request [id] of [workspace] because its caller canceled it. */
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
