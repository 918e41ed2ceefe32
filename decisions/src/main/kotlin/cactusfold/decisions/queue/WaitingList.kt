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
 * @property workTokens tokens that the request needs, by which it is ranked.
 * @property priority 0 is the most urgent.
 * @property arrivedAtMillis when the caller's request arrived, from which its age counts.
 * @property targetAtMillis time by which it has to be dispatched to meet its latency target.
 */
public data class WaitingRequest(
    public val id: String,
    public val workspace: String,
    public val share: Double,
    public val deadlineMillis: Long,
    public val costTokens: Long,
    public val workTokens: Long = costTokens,
    public val priority: Int = 0,
    public val arrivedAtMillis: Long = 0,
    public val targetAtMillis: Long = deadlineMillis
)

/** The order in which the requests of a [WaitingList] are served. */
public sealed interface QueueOrder {
    /**
     * Workspaces are served in proportion to their shares, measured in tokens (virtual token
     * counter). Within a workspace the earliest deadline goes first.
     */
    public data object FairShares : QueueOrder

    /** The lowest [RequestRank] goes first, whatever its workspace. */
    public data object ByRank : QueueOrder
}

/** Whether there is room for a request that waits. */
public enum class Room {
    /** The request can be dispatched now. */
    FREE,

    /** There is none yet; what is there is kept for the request, and nobody may pass it. */
    KEPT,

    /** There is none, and those behind the request take nothing that it could use. */
    SEPARATE
}

/** Reason why a request was not dispatched. */
public enum class QueueRefusal {
    /** The queue, or the workspace's part of it, is full. */
    FULL,

    /** The request can't be served before its deadline. */
    LATE,

    /** The caller canceled the request. */
    CANCELLED
}

/** An action that [WaitingList] asks its caller to perform. */
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
 * @property agedCredit zero if a request may be raised by its age; else, negated, the work that the
 *   last ones took and that has not been made up for by their share of other work.
 */
public data class QueueState(
    public val waiting: PersistentMap<String, PersistentList<WaitingRequest>> = persistentMapOf(),
    public val servedTokens: PersistentMap<String, Double> = persistentMapOf(),
    public val floorTokens: Double = 0.0,
    public val size: Int = 0,
    public val agedCredit: Double = 0.0
) {
    /** The earliest deadline among the waiting requests, or null if there are none. */
    public val earliestDeadlineMillis: Long?
        get() = waiting.values.minOfOrNull { it.first().deadlineMillis }

    /** All waiting requests, in no particular order. */
    public val requests: List<WaitingRequest> get() = waiting.values.flatten()
}

/**
 * Bounded list of requests that wait for the same capacity.
 *
 * @param maxTotal maximum number of waiting requests.
 * @param maxPerWorkspace maximum per workspace, so that none can fill the list for the others.
 * @param order who goes first.
 */
public class WaitingList(
    private val maxTotal: Int,
    private val maxPerWorkspace: Int = maxTotal,
    private val order: QueueOrder = QueueOrder.FairShares
) {

    /**
     * Adds [request], or refuses it if the deadline has passed. If the list is full, the new
     * request is refused or, if the order is by rank, the one that ranks last.
     */
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
        if (refusal == QueueRefusal.FULL && order == QueueOrder.ByRank) {
            val last = (state.requests + request).maxBy { RequestRank.of(it, nowMillis) }
            if (last != request) {
                val added = add(remove(state, last), request, nowMillis)
                return Step(added.state, listOf(QueueEffect.Refuse(last, refusal)) + added.effects)
            }
        }
        if (refusal != null) return state.with(QueueEffect.Refuse(request, refusal))
        val position = insertionPoint(queued, request.deadlineMillis)
        val served = maxOf(state.servedTokens[request.workspace] ?: 0.0, state.floorTokens)
        return state.copy(
            waiting = state.waiting.put(request.workspace, queued.add(position, request)),
            servedTokens = if (queued.isEmpty() && order == QueueOrder.FairShares) {
                state.servedTokens.put(request.workspace, served)
            } else {
                state.servedTokens
            },
            size = state.size + 1
        ).unchanged()
    }

    /** Dispatches up to [slots] requests. Work-conserving: no slot stays free while one waits. */
    public fun dispatch(
        state: QueueState,
        slots: Int,
        nowMillis: Long = 0
    ): Step<QueueState, QueueEffect> {
        var current = state
        val effects = mutableListOf<QueueEffect>()
        while (effects.size < slots && current.size > 0) {
            val request = first(current, nowMillis)
            current = serve(current, request)
            effects += QueueEffect.Dispatch(request)
        }
        invariant(current.size >= 0) { "the size of a queue must not be negative" }
        return Step(current, effects)
    }

    /**
     * Dispatches, in the order of rank, the requests that there is room for. [roomFor] is called
     * at most once for each request and takes the room of those that it says is free.
     */
    public fun dispatch(
        state: QueueState,
        nowMillis: Long,
        roomFor: (WaitingRequest) -> Room
    ): Step<QueueState, QueueEffect> {
        var current = state
        val effects = mutableListOf<QueueEffect>()
        val separate = HashSet<String>()
        while (true) {
            val mayRaise = current.agedCredit >= 0
            for (request in ordered(current, nowMillis)) {
                if (request.id in separate) continue
                when (roomFor(request)) {
                    Room.FREE -> {
                        val rank = RequestRank.of(request, nowMillis, mayRaise)
                        current = charge(serve(current, request), request, rank)
                        effects += QueueEffect.Dispatch(request)
                        // The order is another one once requests may no longer be raised.
                        if (mayRaise != current.agedCredit >= 0) break
                    }
                    Room.KEPT -> return Step(current, effects)
                    Room.SEPARATE -> separate += request.id
                }
            }
            if (mayRaise == current.agedCredit >= 0) return Step(current, effects)
        }
    }

    /** Charges [served] to the credit if its age has raised it, else adds to the credit. */
    private fun charge(state: QueueState, served: WaitingRequest, rank: RequestRank): QueueState {
        val change = if (rank.level < served.priority) {
            -served.costTokens.toDouble()
        } else {
            served.costTokens * AGED_WORK_SHARE / (1 - AGED_WORK_SHARE)
        }
        return state.copy(agedCredit = minOf(0.0, state.agedCredit + change))
    }

    /** Returns the waiting requests in the order of rank. */
    public fun ordered(state: QueueState, nowMillis: Long): List<WaitingRequest> {
        if (state.size < 2) return state.requests
        val mayRaise = state.agedCredit >= 0
        return state.requests.map { RequestRank.of(it, nowMillis, mayRaise) to it }
            .sortedBy { it.first }
            .map { it.second }
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

    private fun first(state: QueueState, nowMillis: Long): WaitingRequest = when (order) {
        QueueOrder.FairShares -> {
            val workspace = state.waiting.keys.minBy { state.servedTokens[it] ?: 0.0 }
            state.waiting.getValue(workspace).first()
        }
        QueueOrder.ByRank -> state.requests.minBy { RequestRank.of(it, nowMillis) }
    }

    private fun insertionPoint(queued: List<WaitingRequest>, deadlineMillis: Long): Int {
        val found = queued.binarySearch { if (it.deadlineMillis <= deadlineMillis) -1 else 1 }
        return -found - 1
    }

    private fun serve(state: QueueState, request: WaitingRequest): QueueState {
        if (order == QueueOrder.ByRank) return remove(state, request)
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

    public companion object {
        /**
         * Share of the work that goes to requests raised by their age while others wait. Without a
         * bound, those that can no longer meet their targets would delay those that can, until
         * under a long overload all are late.
         */
        public const val AGED_WORK_SHARE: Double = 0.1
    }
}
