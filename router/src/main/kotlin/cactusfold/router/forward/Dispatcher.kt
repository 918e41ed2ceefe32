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
import cactusfold.router.lane.WaitEnd
import kotlinx.coroutines.delay

/** How a request ended at this router. */
public sealed interface DispatchEnd {
    /** The whole answer, still to be given to the caller. */
    public class Whole(public val answer: WholeAnswer) : DispatchEnd

    /** The whole answer has gone to the caller. */
    public class Streamed(public val status: Int) : DispatchEnd

    /** No answer; the caller has seen nothing of one yet. */
    public class Refused(public val refusal: Refusal) : DispatchEnd

    /** The answer broke off after a part of it went to the caller. */
    public class CutOff(public val reason: String) : DispatchEnd
}

/**
 * Sends a request to an upstream of its lane, and again to another one where that is safe: when the
 * request was surely not run, or may be repeated and the caller has seen nothing yet.
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
    public suspend fun run(request: CallerRequest, lane: Lane, sink: StreamSink?): DispatchEnd {
        var last: Refusal? = null
        repeat(MAX_ATTEMPTS) { attempt ->
            if (isRefusedAsSuspect(request)) return DispatchEnd.Refused(Refusal.CRASHES_UPSTREAMS)
            if (attempt > 0 && !mayRetry()) return DispatchEnd.Refused(last!!)
            val wait = lane.await(waitingRequest(request, attempt))
            val target = when (wait) {
                is WaitEnd.Go -> wait.target
                is WaitEnd.Refused -> return DispatchEnd.Refused(last ?: Refusal.of(wait.reason))
            }
            val end = try {
                if (isSuspect(request)) {
                    alone(request, target) { attempt(request, attempt, target, sink) }
                } else {
                    attempt(request, attempt, target, sink)
                }
            } finally {
                lane.ended(target)
            }
            when (end) {
                is AttemptEnd.Whole -> {
                    if (!isModelMissing(request, end)) return DispatchEnd.Whole(end.answer)
                    lane.drop(target)
                    last = Refusal.upstream("the model left its upstream", RunState.NOT_RUN)
                }
                is AttemptEnd.Streamed -> return DispatchEnd.Streamed(end.status)
                is AttemptEnd.NotSent -> last = Refusal.upstream(end.reason, RunState.NOT_RUN)
                is AttemptEnd.Broken -> {
                    if (end.hasBegun) return DispatchEnd.CutOff(end.reason)
                    last = Refusal.upstream(end.reason, RunState.MAY_HAVE_RUN)
                    if (!request.route.isRepeatable) return DispatchEnd.Refused(last!!)
                }
            }
        }
        return DispatchEnd.Refused(last!!)
    }

    /** Takes one retry out of the budget. */
    private fun mayRetry(): Boolean = retries.exchange { state ->
        val next = budget.retry(state)
        (next ?: state) to (next != null)
    }

    private suspend fun attempt(
        request: CallerRequest,
        number: Int,
        target: Target,
        sink: StreamSink?
    ): AttemptEnd {
        val model = request.model.orEmpty()
        val id = request.raw.id
        events.add(NodeEvent.Dispatched(id, request.workspaceName, model, target.upstream))
        val attempt = Attempt(
            if (number == 0) id else "$id.$number",
            request.raw.method,
            request.raw.uri,
            HopHeaders.towardsUpstream(request.raw.headers),
            request.raw.body
        )
        upstreams.entered(target.upstream)
        try {
            return client.send(target, attempt, sink).also { book(request, target, it) }
        } finally {
            upstreams.left(target.upstream)
        }
    }

    private fun book(request: CallerRequest, target: Target, end: AttemptEnd) {
        when (end) {
            is AttemptEnd.Whole -> finished(request, target, end.firstByteMillis)
            is AttemptEnd.Streamed -> finished(request, target, end.firstByteMillis)
            is AttemptEnd.NotSent -> aside(target, end.reason)
            is AttemptEnd.Broken -> {
                val inFlight = upstreams.of(target.upstream).active
                suspects.crashed(request.fingerprint, target.upstream, inFlight)
                aside(target, end.reason)
            }
        }
    }

    private fun finished(request: CallerRequest, target: Target, firstByteMillis: Long) {
        upstreams.answered(target.upstream, firstByteMillis)
        retries.update(budget::succeeded)
        if (!suspects.isEmpty) suspects.finished(request.fingerprint)
    }

    private fun aside(target: Target, reason: String) {
        upstreams.failed(target.upstream)
        events.add(NodeEvent.UpstreamExcluded(target.upstream, reason))
    }

    private fun isRefusedAsSuspect(request: CallerRequest): Boolean =
        !suspects.isEmpty && suspects.judge(request.fingerprint) == SuspectVerdict.REFUSE

    private fun isSuspect(request: CallerRequest): Boolean =
        !suspects.isEmpty && suspects.judge(request.fingerprint) != SuspectVerdict.CLEAR

    /** Runs a suspect once nothing else of this router runs on its upstream, and keeps it so. */
    private suspend fun alone(
        request: CallerRequest,
        target: Target,
        run: suspend () -> AttemptEnd
    ): AttemptEnd {
        while (!upstreams.tryExclusive(target.upstream)) {
            if (isLate(request)) return AttemptEnd.NotSent("no upstream to run it alone")
            delay(ALONE_WAIT_MILLIS)
        }
        try {
            while (upstreams.of(target.upstream).active > 0) {
                if (isLate(request)) return AttemptEnd.NotSent("no upstream to run it alone")
                delay(ALONE_WAIT_MILLIS)
            }
            if (isRefusedAsSuspect(request)) return AttemptEnd.NotSent("refused as a suspect")
            return run()
        } finally {
            upstreams.endExclusive(target.upstream)
        }
    }

    private fun isLate(request: CallerRequest): Boolean = nowMillis() >= request.deadlineMillis

    /** A runner that has unloaded the model meanwhile answers 404 and has not run the request. */
    private fun isModelMissing(request: CallerRequest, end: AttemptEnd.Whole): Boolean =
        request.model != null && end.answer.head.status == NOT_FOUND

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
        const val ALONE_WAIT_MILLIS = 10L
    }
}
