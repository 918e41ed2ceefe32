package cactusfold.entry.callers

import cactusfold.decisions.suspect.SuspectVerdict
import cactusfold.entry.residency.ModelWait
import cactusfold.entry.upstream.ModelUse
import cactusfold.entry.upstream.Upstream
import cactusfold.ports.serving.UpstreamRequestMetadata
import cactusfold.ports.serving.ServingRoute
import cactusfold.ports.serving.ServingWorkspace
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.selects.select

/** Takes a request from its route to its one end. */
public class RequestFlow(
    private val parts: FlowParts,
    private val request: CallerRequest,
    private val reply: CallerReply
) {
    private val admission = RequestAdmission(parts, request)
    private var runs = 0
    private var sends = 0
    private var mayHaveRun = false
    private var hasPaidForRepeat = false

    /** Whether an upstream may have run the request, so that no refusal may say that none did. */
    public val isUncertain: Boolean get() = mayHaveRun

    /** Serves the request; cancelling it leaves nothing running. */
    public suspend fun serve(): FlowEnd = when (val admitted = admission.admit()) {
        is Admitted.No -> own(admitted.answer)
        is Admitted.Yes -> send(admitted)
    }

    private fun own(answer: OwnAnswer): FlowEnd = FlowEnd.Own(answer)

    private suspend fun send(admitted: Admitted.Yes): FlowEnd {
        val route = admitted.route
        val limitAt = admitted.deadlineAtMillis
        val service = serviceOf(route)
        val model = request.facts.model
        val adapter = request.facts.adapter
        parts.retries.requested(service)
        model?.let(parts.waits::arrived)
        val fingerprint = parts.suspects.fingerprint(request, admitted.workspace)
        var last: SendEnd? = null
        var fullSinceMillis: Long? = null
        while (true) {
            if (parts.suspects.verdict(fingerprint) == SuspectVerdict.REFUSE) {
                return refused("crashes-upstreams", null)
            }
            val candidates = parts.directory.serving(service, model, adapter)
            if (candidates.isEmpty() && model != null) {
                val targetAt = request.arrivedAtMillis + route.targetMillis
                val patientUntil = route.patienceMillis?.let { request.arrivedAtMillis + it }
                val usefulUntil = minOf(limitAt, patientUntil ?: limitAt) - FIRST_PIECE_MILLIS
                val wait = awaitModel(service, model, adapter, targetAt, usefulUntil)
                if (wait is ModelWait.Refused) {
                    return refused("model-not-in-time", wait.retryAfterMillis)
                }
                continue
            }
            val upstream = parts.directory.choose(candidates, request.facts.promptPrefixId)
            if (upstream == null) {
                val now = parts.clock.nowMillis()
                val since = fullSinceMillis ?: now.also { fullSinceMillis = it }
                val patienceMillis = route.targetMillis / PATIENCE_DIVISOR
                if (now - since > patienceMillis) return ended(last, "all-full")
                delay(FULL_MILLIS)
                continue
            }
            if (sends > 0 && !hasPaidForRepeat && !parts.retries.mayRepeat(service)) {
                return ended(last, "retry-budget")
            }
            hasPaidForRepeat = false
            admission.recheck(admitted)?.let { return gaveUp(it) }
            val end = sendTo(upstream, route, admitted.workspace, limitAt) {
                mayLeave(upstream, route, service)
            }
            last = end
            when (end) {
                SendEnd.Streamed -> return FlowEnd.Answered(null)
                is SendEnd.Whole -> if (!isWorthRepeating(end, route)) return FlowEnd.Answered(end)
                is SendEnd.Broken -> {
                    parts.suspects.broke(fingerprint, upstream)
                    if (!mayGoOn(route)) return ended(end, end.reason)
                }
                is SendEnd.NotRun -> if (sends >= MAX_SENDS) return ended(end, end.reason)
            }
        }
    }

    private suspend fun awaitModel(
        service: String,
        model: String,
        adapter: String?,
        targetAtMillis: Long,
        deadlineAtMillis: Long
    ): ModelWait {
        val began = parts.clock.nowMillis()
        val wait = parts.waits.await(service, model, adapter, targetAtMillis, deadlineAtMillis)
        parts.events.write(
            "model-waited",
            "request" to request.facts.id,
            "model" to model,
            "adapter" to adapter,
            "end" to wait.toString(),
            "waited_ms" to parts.clock.nowMillis() - began
        )
        return wait
    }

    private suspend fun sendTo(
        upstream: Upstream,
        route: ServingRoute,
        workspace: ServingWorkspace?,
        limitAt: Long,
        mayLeave: () -> Boolean
    ): SendEnd {
        val facts = request.facts
        val outgoing = Outgoing(
            id = facts.id,
            method = request.method,
            uri = request.uri,
            host = request.host,
            headers = parts.translator.towardsUpstream(
                request.headers,
                UpstreamRequestMetadata(
                    upstream = upstream.entry.id,
                    workspace = workspace?.name,
                    requestTimeoutMillis = (limitAt - parts.clock.nowMillis()).coerceAtLeast(1),
                    urgency = (workspace?.priority ?: route.priority).coerceIn(0, LEAST_URGENT),
                    lastEventId = reply.lastEventId
                )
            ),
            body = request.body,
            isStream = route.isStream
        )
        sends++
        parts.events.write(
            "sent",
            "request" to facts.id,
            "upstream" to upstream.entry.id,
            "send" to sends,
            "in_flight" to upstream.inFlight,
            "left_ms" to limitAt - parts.clock.nowMillis(),
            "workspace" to workspace?.name
        )
        val wasUncertain = mayHaveRun
        mayHaveRun = true
        val use = facts.model?.let { ModelUse(it, facts.adapter) }
        upstream.began(use)
        try {
            val end = sendOrLeave(upstream, outgoing, mayLeave)
            settle(upstream, end, wasUncertain)
            return end
        } finally {
            upstream.ended(use)
        }
    }

    /** Sends [outgoing]; leaves an upstream that has gone silent when [mayLeave] agrees. */
    private suspend fun sendOrLeave(
        upstream: Upstream,
        outgoing: Outgoing,
        mayLeave: () -> Boolean
    ): SendEnd = coroutineScope {
        val isLeft = CompletableDeferred<Unit>()
        val sending = async {
            parts.sender.send(upstream, outgoing, reply) {
                if (!isLeft.isCompleted && mayLeave()) isLeft.complete(Unit)
            }
        }
        select {
            sending.onAwait { it }
            isLeft.onAwait {
                sending.cancel()
                SendEnd.Broken("silent")
            }
        }
    }

    /** Whether a request at a silent [upstream] can go on at another; books the repeat if so. */
    private fun mayLeave(upstream: Upstream, route: ServingRoute, service: String): Boolean {
        if (!mayGoOn(route, runs + 1)) return false
        val nowMillis = parts.clock.nowMillis()
        val facts = request.facts
        val hasOther = parts.directory.serving(service, facts.model, facts.adapter)
            .any { it !== upstream && !it.isSilent(nowMillis) && it.isOpen(nowMillis) }
        if (!hasOther || !parts.retries.mayRepeat(service)) return false
        hasPaidForRepeat = true
        return true
    }

    private fun settle(upstream: Upstream, end: SendEnd, wasUncertain: Boolean) {
        val nowMillis = parts.clock.nowMillis()
        when (end) {
            is SendEnd.NotRun -> {
                mayHaveRun = wasUncertain
                when (end.status) {
                    null -> {
                        upstream.unreachable(nowMillis)
                        parts.suspects.wentDown(upstream)
                    }
                    MISDIRECTED ->
                        request.facts.model
                            ?.let { upstream.lacks(it, request.facts.adapter, nowMillis) }
                            ?: upstream.failed(nowMillis)
                    else -> upstream.full(nowMillis)
                }
            }
            is SendEnd.Broken -> {
                runs++
                upstream.failed(nowMillis)
            }
            is SendEnd.Whole, SendEnd.Streamed -> runs++
        }
        if (end !is SendEnd.Streamed && end !is SendEnd.Whole) {
            parts.events.write(
                "send-failed",
                "request" to request.facts.id,
                "upstream" to upstream.entry.id,
                "end" to end.toString(),
                "send" to sends
            )
        }
    }

    /** An upstream's failure of a request that may run again is worth another upstream. */
    private fun isWorthRepeating(end: SendEnd.Whole, route: ServingRoute): Boolean =
        end.start.status >= SERVER_ERROR && mayGoOn(route)

    private fun mayGoOn(route: ServingRoute, runsThen: Int = runs): Boolean {
        if (!route.mayRunAgain || runsThen >= route.maxAttempts) return false
        return !reply.hasBegun || reply.lastEventId != null
    }

    private fun ended(last: SendEnd?, reason: String): FlowEnd = when {
        reply.hasBegun -> FlowEnd.Cut(reason)
        last is SendEnd.Whole -> FlowEnd.Answered(last)
        else -> refused(reason, FULL_RETRY_MILLIS)
    }

    private fun refused(code: String, retryAfterMillis: Long?): FlowEnd =
        gaveUp(OwnAnswer.NotRun(code, retryAfterMillis))

    /** Ends the request with [answer], or with what is true of one that may have run. */
    private fun gaveUp(answer: OwnAnswer): FlowEnd = when {
        reply.hasBegun -> FlowEnd.Cut(answer.code)
        mayHaveRun -> own(OwnAnswer.MayHaveRun(answer.code))
        else -> own(answer)
    }

    /** Returns a service of the route: the same for the same request, by the services' weights. */
    private fun serviceOf(route: ServingRoute): String {
        val shares = route.services
        if (shares.size == 1) return shares.first().service
        val total = shares.sumOf { it.weight }
        val point = Math.floorMod(request.facts.id.hashCode(), HASH_STEPS) * total / HASH_STEPS
        var sum = 0.0
        return shares.firstOrNull { share ->
            sum += share.weight
            point < sum
        }?.service ?: shares.last().service
    }

    private companion object {
        const val MISDIRECTED = 421
        const val SERVER_ERROR = 500
        const val LEAST_URGENT = 9
        const val HASH_STEPS = 10_000

        /** Sends after which a request that nobody ran is given back to its caller. */
        const val MAX_SENDS = 4

        /** Share of the latency target that a request waits for a free upstream. */
        const val PATIENCE_DIVISOR = 2

        /** Kept back from a caller's patience for the first piece, from the engines' prefill. */
        const val FIRST_PIECE_MILLIS = 150L
        const val FULL_MILLIS = 10L
        const val FULL_RETRY_MILLIS = 200L
    }
}
