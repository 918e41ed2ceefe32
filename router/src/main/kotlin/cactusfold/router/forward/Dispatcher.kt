package cactusfold.router.forward

import cactusfold.decisions.queue.WaitingRequest
import cactusfold.decisions.routing.RetryBudget
import cactusfold.decisions.suspect.SuspectVerdict
import cactusfold.node.events.EventRing
import cactusfold.node.events.NodeEvent
import cactusfold.node.state.GuardedState
import cactusfold.router.callers.CallerRequest
import cactusfold.router.callers.Refusal
import cactusfold.router.callers.RunState
import cactusfold.router.lane.Lane
import cactusfold.router.lane.Target
import cactusfold.router.lane.Upstreams
import cactusfold.router.lane.WaitResult
import kotlinx.coroutines.delay

/** Result of dispatching a request. */
public sealed interface DispatchResult {
    /** The complete response, not yet sent to the caller. */
    public class Buffered(public val response: BufferedResponse) : DispatchResult

    /** The complete response was streamed to the caller. */
    public class Streamed(public val status: Int) : DispatchResult

    /** No response; nothing has been sent to the caller. */
    public class Refused(public val refusal: Refusal) : DispatchResult

    /** The response failed after a part of it was streamed to the caller. */
    public class Interrupted(public val reason: String) : DispatchResult
}

/**
 * Sends requests to upstreams of their lanes, with retries.
 *
 * A request is retried only if it is known not to have run, or if it is repeatable and nothing of
 * a response has been sent to the caller. Retries are bounded by a budget, so that failing
 * upstreams do not multiply the load.
 */
public class Dispatcher(
    private val client: UpstreamClient,
    private val upstreams: Upstreams,
    private val suspects: Suspects,
    private val events: EventRing,
    private val nowMillis: () -> Long
) {
    private val budget = RetryBudget(RETRY_SHARE, MAX_RETRIES)
    private val retries = GuardedState(budget.start())

    /** Runs [request] through [lane]. */
    public suspend fun run(request: CallerRequest, lane: Lane, sink: StreamSink?): DispatchResult {
        var lastRefusal: Refusal? = null
        repeat(MAX_ATTEMPTS) { attempt ->
            if (isRefusedAsPoison(request)) return DispatchResult.Refused(Refusal.CRASHES_UPSTREAMS)
            if (attempt > 0 && !tryTakeRetry()) return DispatchResult.Refused(lastRefusal!!)
            val wait = lane.await(waitingRequest(request, attempt))
            val target = when (wait) {
                is WaitResult.Dispatched -> wait.target
                is WaitResult.Refused -> return DispatchResult.Refused(
                    lastRefusal ?: Refusal.of(wait.reason)
                )
            }
            val result = try {
                if (isSuspect(request)) {
                    runIsolated(request, target) { attempt(request, attempt, target, sink) }
                } else {
                    attempt(request, attempt, target, sink)
                }
            } finally {
                lane.release(target)
            }
            when (result) {
                is AttemptResult.Buffered -> {
                    if (!isModelMissing(request, result)) {
                        return DispatchResult.Buffered(result.response)
                    }
                    lane.removeTarget(target)
                    lastRefusal =
                        Refusal.upstream("the upstream unloaded the model", RunState.NOT_RUN)
                }
                is AttemptResult.Streamed -> return DispatchResult.Streamed(result.status)
                is AttemptResult.NotSent ->
                    lastRefusal = Refusal.upstream(result.reason, RunState.NOT_RUN)
                is AttemptResult.Broken -> {
                    if (result.hasStreamed) return DispatchResult.Interrupted(result.reason)
                    lastRefusal = Refusal.upstream(result.reason, RunState.MAY_HAVE_RUN)
                    if (!request.route.isRepeatable) return DispatchResult.Refused(lastRefusal!!)
                }
            }
        }
        return DispatchResult.Refused(lastRefusal!!)
    }

    /** Takes one retry from the budget; returns false if it is exhausted. */
    private fun tryTakeRetry(): Boolean = retries.exchange { state ->
        val next = budget.retry(state)
        (next ?: state) to (next != null)
    }

    private suspend fun attempt(
        request: CallerRequest,
        number: Int,
        target: Target,
        sink: StreamSink?
    ): AttemptResult {
        val model = request.model.orEmpty()
        val id = request.raw.id
        events.add(NodeEvent.Dispatched(id, request.workspaceName, model, target.upstream))
        val attempt = Attempt(
            if (number == 0) id else "$id.$number",
            request.raw.method,
            request.raw.uri,
            HopByHopHeaders.towardsUpstream(request.raw.headers),
            request.raw.body
        )
        upstreams.recordSent(target.upstream)
        try {
            return client.send(target, attempt, sink).also { recordResult(request, target, it) }
        } finally {
            upstreams.recordCompleted(target.upstream)
        }
    }

    private fun recordResult(request: CallerRequest, target: Target, result: AttemptResult) {
        when (result) {
            is AttemptResult.Buffered -> recordSuccess(request, target, result.firstByteMillis)
            is AttemptResult.Streamed -> recordSuccess(request, target, result.firstByteMillis)
            is AttemptResult.NotSent -> recordFailure(target, result.reason)
            is AttemptResult.Broken -> {
                val inFlight = upstreams.of(target.upstream).active
                suspects.recordCrash(request.fingerprint, target.upstream, inFlight)
                recordFailure(target, result.reason)
            }
        }
    }

    private fun recordSuccess(request: CallerRequest, target: Target, firstByteMillis: Long) {
        upstreams.recordFirstByte(target.upstream, firstByteMillis)
        retries.update(budget::succeeded)
        if (!suspects.isEmpty) suspects.clear(request.fingerprint)
    }

    private fun recordFailure(target: Target, reason: String) {
        upstreams.recordFailure(target.upstream)
        events.add(NodeEvent.UpstreamExcluded(target.upstream, reason))
    }

    private fun isRefusedAsPoison(request: CallerRequest): Boolean =
        !suspects.isEmpty && suspects.judge(request.fingerprint) == SuspectVerdict.REFUSE

    private fun isSuspect(request: CallerRequest): Boolean =
        !suspects.isEmpty && suspects.judge(request.fingerprint) != SuspectVerdict.CLEAR

    /**
     * Runs a request suspected of crashing upstreams while no other request of this router runs on
     * [target], so that a crash affects no other request and can be attributed to this one.
     */
    private suspend fun runIsolated(
        request: CallerRequest,
        target: Target,
        run: suspend () -> AttemptResult
    ): AttemptResult {
        while (!upstreams.tryAcquireExclusive(target.upstream)) {
            if (isPastDeadline(request)) {
                return AttemptResult.NotSent("no upstream became free to run it in isolation")
            }
            delay(ISOLATION_POLL_MILLIS)
        }
        try {
            while (upstreams.of(target.upstream).active > 0) {
                if (isPastDeadline(request)) {
                    return AttemptResult.NotSent(
                        "no upstream became free to run it in isolation"
                    )
                }
                delay(ISOLATION_POLL_MILLIS)
            }
            if (isRefusedAsPoison(request)) {
                return AttemptResult.NotSent(
                    "refused because it is suspected of crashing upstreams"
                )
            }
            return run()
        } finally {
            upstreams.releaseExclusive(target.upstream)
        }
    }

    private fun isPastDeadline(request: CallerRequest): Boolean =
        nowMillis() >= request.deadlineMillis

    /** A runner that has unloaded the model meanwhile answers 404 without running the request. */
    private fun isModelMissing(request: CallerRequest, result: AttemptResult.Buffered): Boolean =
        request.model != null && result.response.head.status == NOT_FOUND

    private fun waitingRequest(request: CallerRequest, attempt: Int): WaitingRequest =
        WaitingRequest(
            "${request.raw.id}#$attempt",
            request.workspaceName,
            request.workspace?.share ?: 1.0,
            request.deadlineMillis,
            request.costTokens
        )

    private companion object {
        const val MAX_ATTEMPTS = 3
        const val RETRY_SHARE = 0.1
        const val MAX_RETRIES = 50.0
        const val NOT_FOUND = 404
        const val ISOLATION_POLL_MILLIS = 10L
    }
}
