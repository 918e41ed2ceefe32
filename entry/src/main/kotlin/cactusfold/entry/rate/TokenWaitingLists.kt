package cactusfold.entry.rate

import cactusfold.decisions.Step
import cactusfold.decisions.queue.OfferedWork
import cactusfold.decisions.queue.QueueEffect
import cactusfold.decisions.queue.QueueOrder
import cactusfold.decisions.queue.QueueState
import cactusfold.decisions.queue.RequestRank
import cactusfold.decisions.queue.Room
import cactusfold.decisions.queue.ServingCapacity
import cactusfold.decisions.queue.WaitForecast
import cactusfold.decisions.queue.WaitOutlook
import cactusfold.decisions.queue.WaitingList
import cactusfold.decisions.queue.WaitingRequest
import cactusfold.node.time.MonotonicClock
import cactusfold.protocol.TokenGrant
import cactusfold.protocol.TokenRequest
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull

/**
 * The requests that wait at the coordinator for tokens, one list for each limited workspace.
 *
 * A call is held until it is granted, but not longer than [HOLD_MILLIS]. It is then answered with
 * the expected wait, and the member calls again for the same request, which keeps its place. The
 * lists are used only while tokens are short. They exist in memory only: after a change of
 * coordinator the members call the next one, and the age that they state restores the order.
 *
 * @param mayGrant whether this process is the coordinator, checked before each grant.
 */
public class TokenWaitingLists(
    private val buckets: FleetTokenBuckets,
    private val clock: MonotonicClock,
    private val mayGrant: () -> Boolean
) {
    /** A request in a list. Between two calls for it, [call] is null. */
    private class Place(
        val request: WaitingRequest,
        val member: GrantMember,
        var call: CompletableDeferred<TokenGrant>?,
        var leftAtMillis: Long = 0
    ) {
        /** Receives when the request has become the first, which looks after the list. */
        val isFirst = Channel<Unit>(Channel.CONFLATED)
    }

    private class Line(val subject: RateSubject.Workspace) {
        var state = QueueState()
        var offered = OfferedWork()
        val places = HashMap<String, Place>()

        /** The request that tokens are kept for, and when they may be there. */
        var first: WaitingRequest? = null
        var lastFirst: String? = null
        var firstDueAtMillis = 0L
    }

    private val list = WaitingList(MAX_WAITING, order = QueueOrder.ByRank)
    private val lines = HashMap<String, Line>()

    private var clearedAtMillis = Long.MIN_VALUE / 2

    /**
     * Whether this process has not been the coordinator for long. Until the members have reported,
     * their reserves are set aside, and nothing is refused for what is left.
     */
    private val isSettling: Boolean get() = clock.nowMillis() - clearedAtMillis < SETTLE_MILLIS

    /** Number of waiting requests. */
    public val count: Int get() = lines.values.sumOf { it.state.size }

    /** Forgets all that wait, because another process may be the coordinator now. */
    public fun clear() {
        val calls = lines.values.flatMap { it.places.values }.mapNotNull { it.call }
        lines.clear()
        clearedAtMillis = clock.nowMillis()
        calls.forEach { it.complete(NOT_HOLDER) }
    }

    /** Returns the grant for [request], the refusal, or the time that it still has to wait. */
    public suspend fun take(request: TokenRequest): TokenGrant {
        if (!mayGrant()) return NOT_HOLDER
        if (request.requestId.isEmpty()) return buckets.ask(request)
        val line = lines.getOrPut(request.workspace) {
            Line(RateSubject.Workspace(request.workspace))
        }
        val isNew = idOf(request) !in line.places
        if (isNew) {
            line.offered = line.offered
                .arrived(request.priority, request.neededTokens, clock.nowMillis())
        }
        if (line.state.size == 0) {
            val answer = buckets.ask(request)
            if (answer.outcome != TokenGrant.Outcome.WAIT) return answer
            val canHold =
                buckets.canHold(RateSubject.Workspace(request.workspace), request.neededTokens)
            if (!canHold && !isSettling) {
                return refusal(answer.retryAfterMillis)
            }
        }
        return join(line, request)
    }

    private suspend fun join(line: Line, request: TokenRequest): TokenGrant {
        val nowMillis = clock.nowMillis()
        val waiting = waitingRequest(request, nowMillis)
        line.places[waiting.id]?.call?.complete(NOT_HOLDER)
        remove(line, waiting.id)
        if (line.lastFirst == waiting.id) line.lastFirst = null
        val call = CompletableDeferred<TokenGrant>()
        val member = GrantMember(request.router, request.routerIncarnation)
        val place = Place(waiting, member, call).also { line.places[waiting.id] = it }
        apply(line, list.add(line.state, waiting, nowMillis))
        serve(line, waiting)
        val waitMillis = if (call.isCompleted) 0 else refuseHopeless(line, waiting, call)
        try {
            return hold(line, place, nowMillis + waitMillis, call)
        } catch (e: CancellationException) {
            // The caller has left, so the tokens that were kept for it go to the next one.
            if (line.places[waiting.id] === place) remove(line, waiting.id)
            serve(line, null)
            throw e
        } finally {
            left(line, waiting.id, call)
        }
    }

    private suspend fun hold(
        line: Line,
        place: Place,
        dueAtMillis: Long,
        call: CompletableDeferred<TokenGrant>
    ): TokenGrant {
        val heldUntilMillis = clock.nowMillis() + HOLD_MILLIS
        while (true) {
            val nowMillis = clock.nowMillis()
            if (!call.isCompleted && nowMillis >= heldUntilMillis) {
                return TokenGrant.newBuilder().setOutcome(TokenGrant.Outcome.WAIT)
                    .setRetryAfterMillis((dueAtMillis - nowMillis).coerceAtLeast(1)).build()
            }
            val isFirst = line.first?.id == place.request.id
            val wakeAtMillis =
                if (isFirst) minOf(line.firstDueAtMillis, heldUntilMillis) else heldUntilMillis
            withTimeoutOrNull((wakeAtMillis - nowMillis).coerceAtLeast(MIN_PAUSE_MILLIS)) {
                select {
                    call.onAwait { it }
                    place.isFirst.onReceive { null }
                }
            }?.let { return it }
            serve(line, null)
        }
    }

    /**
     * Grants what the bucket has to those who are first in the list. Passes over the list only if
     * the first one may have its tokens by now, or [arrived] ranks before it.
     */
    private fun serve(line: Line, arrived: WaitingRequest?) {
        if (!mayGrant()) return clear()
        val nowMillis = clock.nowMillis()
        val first = line.first
        if (first != null && nowMillis < line.firstDueAtMillis) {
            val isBefore = arrived != null &&
                RequestRank.of(arrived, nowMillis) < RequestRank.of(first, nowMillis)
            if (!isBefore) return
        }
        line.first = null
        line.places.values
            .filter { it.call == null && nowMillis - it.leftAtMillis > RETURN_MILLIS }
            .forEach { remove(line, it.request.id) }
        apply(line, list.expire(line.state, nowMillis))
        // Whoever is resumed may begin another pass at once, so this one has to be complete before.
        val resumptions = mutableListOf<() -> Unit>()
        line.state = list.dispatch(line.state, nowMillis) {
            roomFor(line, it, nowMillis, resumptions)
        }.state
        resumptions.forEach { it() }
    }

    private fun roomFor(
        line: Line,
        waiting: WaitingRequest,
        nowMillis: Long,
        resumptions: MutableList<() -> Unit>
    ): Room {
        val place = line.places.getValue(waiting.id)
        val call =
            place.call ?: return keep(line, waiting, nowMillis + RETURN_MILLIS, resumptions)
        val answer = buckets.grant(line.subject, place.member, waiting.costTokens)
        return when (answer.outcome) {
            TokenGrant.Outcome.WAIT ->
                // The reserves of members without contact may leave less than the request needs.
                if (buckets.canHold(line.subject, waiting.costTokens)) {
                    keep(line, waiting, nowMillis + answer.retryAfterMillis, resumptions)
                } else {
                    Room.SEPARATE
                }
            else -> {
                resumptions += { call.complete(answer) }
                line.places.remove(waiting.id)
                Room.FREE
            }
        }
    }

    private fun keep(
        line: Line,
        waiting: WaitingRequest,
        dueAtMillis: Long,
        resumptions: MutableList<() -> Unit>
    ): Room {
        line.first = waiting
        if (line.lastFirst != waiting.id) {
            line.places[waiting.id]?.let { resumptions += { it.isFirst.trySend(Unit) } }
        }
        line.lastFirst = waiting.id
        // Ranks change with age, so the order is checked again meanwhile.
        line.firstDueAtMillis = minOf(dueAtMillis, clock.nowMillis() + REORDER_MILLIS)
        return Room.KEPT
    }

    /** Refuses [waiting] if it cannot be granted in time; returns the expected wait. */
    private fun refuseHopeless(
        line: Line,
        waiting: WaitingRequest,
        call: CompletableDeferred<TokenGrant>
    ): Long {
        val capacity = capacity(line)?.takeUnless { isSettling } ?: return 0
        val outlook =
            WaitForecast.of(line.state.requests, waiting, capacity, clock.nowMillis())
        if (outlook is WaitOutlook.Hopeless) {
            remove(line, waiting.id)
            buckets.promised(line.subject, outlook.promisedWork)
            call.complete(refusal(outlook.retryAfterMillis))
        }
        return outlook.waitMillis
    }

    /** Answers those that the list refuses: they are full, or their time limit has passed. */
    private fun apply(line: Line, step: Step<QueueState, QueueEffect>) {
        line.state = step.state
        for (effect in step.effects) {
            val request = (effect as QueueEffect.Refuse).request
            val waitMillis = capacity(line)?.let {
                WaitForecast.of(line.state.requests, request, it, clock.nowMillis()).waitMillis
            }
            line.places.remove(request.id)?.call?.complete(refusal(waitMillis ?: 0))
        }
    }

    private fun left(line: Line, id: String, call: CompletableDeferred<TokenGrant>) {
        val place = line.places[id]?.takeIf { it.call === call } ?: return
        place.call = null
        place.leftAtMillis = clock.nowMillis()
    }

    private fun remove(line: Line, id: String) {
        val place = line.places.remove(id) ?: return
        line.state = list.cancel(line.state, place.request.workspace, id).state
        if (line.first?.id == id) line.first = null
    }

    private fun capacity(line: Line): ServingCapacity? =
        buckets.capacity(line.subject)?.copy(offered = line.offered)

    private fun idOf(request: TokenRequest): String =
        "${request.router} ${request.routerIncarnation} ${request.requestId}"

    private fun waitingRequest(request: TokenRequest, nowMillis: Long) = WaitingRequest(
        id = idOf(request),
        workspace = request.workspace,
        share = 1.0,
        deadlineMillis = nowMillis + request.limitInMillis,
        costTokens = request.neededTokens,
        workTokens = request.work,
        priority = request.priority,
        arrivedAtMillis = nowMillis - request.ageMillis,
        targetAtMillis = nowMillis + request.targetInMillis
    )

    private fun refusal(retryAfterMillis: Long): TokenGrant = TokenGrant.newBuilder()
        .setOutcome(TokenGrant.Outcome.REFUSED)
        .setRetryAfterMillis(retryAfterMillis.coerceAtLeast(1))
        .build()

    internal companion object {
        /**
         * How long a call is held: well below the time after which members give up a call, which a
         * lost coordinator would otherwise cost them.
         */
        const val HOLD_MILLIS = 400L

        /**
         * How long a place is kept between two calls. One that is lost costs nothing but this time,
         * since a request that calls again states its age.
         */
        const val RETURN_MILLIS = 150L

        /** Members connect to a new coordinator and report within this time. */
        const val SETTLE_MILLIS = 1_500L

        /** Longest time between two passes over a list while requests wait in it. */
        const val REORDER_MILLIS = 100L
        const val MIN_PAUSE_MILLIS = 2L

        /** Requests are refused as soon as they cannot be served, so lists are shorter. */
        const val MAX_WAITING = 1_000

        val NOT_HOLDER: TokenGrant =
            TokenGrant.newBuilder().setOutcome(TokenGrant.Outcome.NOT_HOLDER).build()
    }
}
