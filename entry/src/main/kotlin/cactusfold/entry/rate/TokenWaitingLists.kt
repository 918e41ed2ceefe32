package cactusfold.entry.rate

import cactusfold.decisions.Step
import cactusfold.decisions.queue.OfferedWork
import cactusfold.decisions.queue.QueueEffect
import cactusfold.decisions.queue.QueueOrder
import cactusfold.decisions.queue.QueueState
import cactusfold.decisions.queue.Room
import cactusfold.decisions.queue.ServingCapacity
import cactusfold.decisions.queue.WaitForecast
import cactusfold.decisions.queue.WaitOutlook
import cactusfold.decisions.queue.WaitingList
import cactusfold.decisions.queue.WaitingRequest
import cactusfold.node.time.MonotonicClock
import cactusfold.protocol.TokenGrant
import cactusfold.protocol.TokenRequest
import kotlinx.coroutines.CompletableDeferred
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
    )

    private class Line(val subject: RateSubject.Workspace) {
        var state = QueueState()
        var offered = OfferedWork()
        val places = HashMap<String, Place>()
    }

    private val list = WaitingList(MAX_WAITING, order = QueueOrder.ByRank)
    private val lines = HashMap<String, Line>()

    /** Number of waiting requests. */
    public val count: Int get() = lines.values.sumOf { it.state.size }

    /** Forgets all that wait, because another process may be the coordinator now. */
    public fun clear() {
        val calls = lines.values.flatMap { it.places.values }.mapNotNull { it.call }
        lines.clear()
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
            if (!buckets.canHold(RateSubject.Workspace(request.workspace), request.neededTokens)) {
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
        val call = CompletableDeferred<TokenGrant>()
        line.places[waiting.id] =
            Place(waiting, GrantMember(request.router, request.routerIncarnation), call)
        apply(line, list.add(line.state, waiting, nowMillis))
        serve(line)
        if (!call.isCompleted) refuseHopeless(line, waiting, call)
        try {
            return hold(line, waiting, call)
        } finally {
            left(line, waiting.id, call)
        }
    }

    private suspend fun hold(
        line: Line,
        waiting: WaitingRequest,
        call: CompletableDeferred<TokenGrant>
    ): TokenGrant {
        val heldUntilMillis = clock.nowMillis() + HOLD_MILLIS
        while (true) {
            val nowMillis = clock.nowMillis()
            val expectedMillis = expectedMillis(line, waiting, nowMillis)
            if (!call.isCompleted && nowMillis >= heldUntilMillis) {
                return TokenGrant.newBuilder().setOutcome(TokenGrant.Outcome.WAIT)
                    .setRetryAfterMillis(expectedMillis).build()
            }
            val pauseMillis = minOf(expectedMillis, heldUntilMillis - nowMillis).coerceAtLeast(1)
            withTimeoutOrNull(pauseMillis) { call.await() }?.let { return it }
            serve(line)
        }
    }

    /** Grants what the bucket has to those who are first in the list. */
    private fun serve(line: Line) {
        if (!mayGrant()) return clear()
        val nowMillis = clock.nowMillis()
        line.places.values
            .filter { it.call == null && nowMillis - it.leftAtMillis > RETURN_MILLIS }
            .forEach { remove(line, it.request.id) }
        apply(line, list.expire(line.state, nowMillis))
        val step = list.dispatch(line.state, nowMillis) { roomFor(line, it) }
        line.state = step.state
    }

    private fun roomFor(line: Line, waiting: WaitingRequest): Room {
        val place = line.places.getValue(waiting.id)
        val call = place.call ?: return Room.KEPT
        val answer = buckets.grant(line.subject, place.member, waiting.costTokens)
        return when (answer.outcome) {
            TokenGrant.Outcome.WAIT ->
                // The reserves of members without contact may leave less than the request needs.
                if (buckets.canHold(line.subject, waiting.costTokens)) Room.KEPT else Room.SEPARATE
            else -> {
                call.complete(answer)
                line.places.remove(waiting.id)
                Room.FREE
            }
        }
    }

    private fun refuseHopeless(
        line: Line,
        waiting: WaitingRequest,
        call: CompletableDeferred<TokenGrant>
    ) {
        val capacity = capacity(line) ?: return
        val outlook =
            WaitForecast.of(line.state.requests, waiting, capacity, clock.nowMillis())
        if (outlook !is WaitOutlook.Hopeless) return
        remove(line, waiting.id)
        buckets.promised(line.subject, outlook.promisedWork)
        call.complete(refusal(outlook.retryAfterMillis))
    }

    private fun expectedMillis(line: Line, waiting: WaitingRequest, nowMillis: Long): Long {
        val capacity = capacity(line) ?: return 0
        return WaitForecast.of(line.state.requests, waiting, capacity, nowMillis).waitMillis
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

        /** Requests are refused as soon as they cannot be served, so lists are shorter. */
        const val MAX_WAITING = 1_000

        val NOT_HOLDER: TokenGrant =
            TokenGrant.newBuilder().setOutcome(TokenGrant.Outcome.NOT_HOLDER).build()
    }
}
