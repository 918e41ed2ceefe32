package cactusfold.entry.callers

import cactusfold.decisions.places.HomeRegions
import cactusfold.entry.passing.RequestPassing
import cactusfold.entry.queueing.RequestTimes
import cactusfold.entry.residency.ModelWait
import cactusfold.entry.upstream.ExpectedSend
import cactusfold.entry.upstream.ModelUse
import cactusfold.entry.upstream.Upstream
import cactusfold.ports.serving.Repeatability
import cactusfold.ports.serving.ServingRoute
import cactusfold.ports.serving.UpstreamRequestMetadata
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.selects.select

/**
 * Processes one request: admission, the wait for its model, sends to upstreams with retries, and
 * the outcome.
 */
public class RequestFlow(
    private val dependencies: RequestFlowDependencies,
    private val request: CallerRequest,
    private val reply: CallerReply
) {
    private val admission = RequestAdmission(dependencies, request)
    private val passing = RequestPassing(dependencies.passing, request, reply) {
        mayHaveRun || reply.hasBegun
    }
    private var runs = 0
    private var sends = 0
    private var mayHaveRun = false
    private var hasReservedRetry = false

    /** Whether an upstream may have executed the request, so it must not be reported as not run. */
    public val isUncertain: Boolean get() = mayHaveRun || passing.isUncertain

    /** Processes the request; cancellation also cancels the send in progress. */
    public suspend fun serve(): RequestOutcome {
        throughPeer(passing::serveIfCut)?.let { return it }
        val decision = passing.unlessHandedOver(findRoute()) { admission.admit() }
            ?: throughPeer(passing::serveIfCutShort)?.let { return it }
            ?: admission.admit()
        return when (decision) {
            is AdmissionDecision.Refused -> fail(decision.answer)
            is AdmissionDecision.Admitted -> send(decision)
        }
    }

    /** Serves a request that this process, which stops, does not take; null if no peer does. */
    public suspend fun passOn(): RequestOutcome? = throughPeer(passing::serveNew)

    /** Serves a request through a peer, which admits it and spends its tokens. */
    private suspend fun throughPeer(
        serve: suspend (ServingRoute, service: String) -> RequestOutcome?
    ): RequestOutcome? {
        val route = findRoute()
        if (route == null || request.facts.id == null) return null
        return serve(route, selectService(route, request.facts))
    }

    private fun findRoute(): ServingRoute? = dependencies.table()?.route(request.host, request.path)

    private fun fail(answer: ErrorAnswer): RequestOutcome = RequestOutcome.Failed(answer)

    private suspend fun send(admitted: AdmissionDecision.Admitted): RequestOutcome {
        val route = admitted.route
        val deadlineAtMillis = admitted.deadlineAtMillis
        val placement =
            StreamPlacement(
                dependencies,
                request,
                route,
                selectService(route, request.facts),
                HomeRegions.of(
                    route.homeRegions,
                    admitted.workspace?.homeRegions.orEmpty()
                )
            )
        placement.locate(deadlineAtMillis)?.let { return failOrAbort(it) }
        val service = placement.service
        val model = request.facts.model
        dependencies.retries.recordRequest(service)
        val priority = admitted.workspace?.priority ?: route.priority
        val isResumable = route.repeatability == Repeatability.STREAM_RESUMABLE
        reply.held.describe(request.facts.id, priority, isResumable)
        model?.let { dependencies.waits.arrived(it, priority) }
        val suspicion = RequestSuspicion(dependencies, request, admitted.workspace)
        var last: SendEnd? = null
        val times = admission.timesOf(admitted)
        val selection =
            UpstreamSelection(
                dependencies,
                request,
                route,
                placement,
                passing,
                times,
                deadlineAtMillis
            )
        val versions = VersionWait(dependencies, route.targetMillis, deadlineAtMillis)
        val patience = ModelPatience(dependencies, request, route, deadlineAtMillis, priority)
        while (true) {
            if (suspicion.isRefused) return refuse("crashes-upstreams", null)
            if (!awaitRows(route, deadlineAtMillis)) {
                return stopRetrying(last, "upstreams-unsure", UNSURE_RETRY_AFTER_MILLIS)
            }
            if (!mayHaveRun && !reply.hasBegun) {
                passing.serveIfCut(route, placement.service)?.let { return it }
                passing.serveIfCutShort(route, placement.service)?.let { return it }
            }
            val candidates = placement.candidates()
            if (candidates.isEmpty()) placement.homeRefusal()?.let { return failOrAbort(it) }
            if (candidates.isEmpty() && placement.isVersionGone()) {
                return refuse("stream-version-gone", null)
            }
            val isUnrecorded = !placement.isBound && placement.hasOthers()
            if (candidates.isEmpty() && model != null && !isUnrecorded) {
                val wait = passing.unlessHandedOver(route) {
                    patience.awaitModel(placement, model, reply.hasBegun)
                }
                when (wait) {
                    null, ModelWait.Ready, ModelWait.VersionGone, ModelWait.HomesGone -> continue
                    is ModelWait.Refused ->
                        return refuse(placement.absentModelCode, wait.retryAfterMillis)
                }
            }
            if (candidates.isEmpty() && (isUnrecorded || placement.isBound)) {
                versions.await(placement)?.let { return failOrAbort(it) }
                continue
            }
            val selected = when (val selection = selection.select(candidates)) {
                is Selection.Selected -> selection
                Selection.Again -> continue
                is Selection.Refused ->
                    return stopRetrying(last, selection.code, selection.retryAfterMillis)
            }
            val upstream = selected.upstream
            if (!mayHaveRun && !reply.hasBegun && passing.isNeeded(service)) {
                // The cut was noticed while the request waited.
                leave(selected, service)
                continue
            }
            if (sends > 0 && !hasReservedRetry && !dependencies.retries.tryAcquireRetry(service)) {
                leave(selected, service)
                return stopRetrying(last, "retry-budget")
            }
            hasReservedRetry = false
            admission.recheck(admitted)?.let {
                leave(selected, service)
                return failOrAbort(it)
            }
            val sentAtMillis = dependencies.clock.nowMillis()
            val observed = suspicion.started(upstream)
            reply.beforeFirstEvent = {
                observed.begunAtMillis = dependencies.clock.nowMillis()
                dependencies.queues.times.recordFirst(route.name, millisSince(sentAtMillis))
                placement.began(upstream)
            }
            val onCancelled = { suspicion.recordUnanswered(upstream, observed) }
            val end = sendTo(selected, admitted, times, onCancelled) {
                mayAbandon(upstream, route, placement)
            }
            last = end
            if (end.isSuccess) {
                suspicion.recordCompleted()
                dependencies.queues.times.recordTotal(route.name, millisSince(sentAtMillis))
            }
            when (end) {
                SendEnd.Streamed -> return RequestOutcome.Answered(null)
                is SendEnd.Whole -> if (!isRetryableError(end, route)) return relay(end)
                is SendEnd.Broken -> {
                    suspicion.recordBroken(upstream, observed, end)
                    if (!mayRetry(route) || !placement.isOriginCertain()) {
                        return stopRetrying(end, UPSTREAM_FAILED)
                    }
                }
                is SendEnd.NotRun, SendEnd.Unsent ->
                    if (sends >= MAX_SENDS) return stopRetrying(end, UPSTREAMS_REFUSED)
            }
        }
    }

    /** Waits for a read of the upstreams' rows if one is due; returns whether they are known. */
    private suspend fun awaitRows(route: ServingRoute, deadlineAtMillis: Long): Boolean {
        if (!dependencies.directory.isHeld) return true
        val patientUntilMillis = request.arrivedAtMillis + route.targetMillis / TARGET_SHARE_DIVISOR
        val untilMillis =
            if (reply.hasBegun) deadlineAtMillis else minOf(deadlineAtMillis, patientUntilMillis)
        return dependencies.directory.awaitRows(untilMillis)
    }

    private fun millisSince(atMillis: Long): Long = dependencies.clock.nowMillis() - atMillis

    /** Leaves the place and the token of [selected] to others. */
    private fun leave(selected: Selection.Selected, service: String) {
        selected.permit?.let(dependencies.sendLimiter::release)
        dependencies.queues.placeFreed(service)
    }

    private suspend fun sendTo(
        selected: Selection.Selected,
        admitted: AdmissionDecision.Admitted,
        times: RequestTimes,
        onCancelled: () -> Unit,
        mayAbandon: () -> Boolean
    ): SendEnd {
        val (upstream, permit) = selected
        val deadlineAtMillis = admitted.deadlineAtMillis
        val nowMillis = dependencies.clock.nowMillis()
        val facts = request.facts
        val expected = dependencies.directory.expect(upstream, facts)
        val isStream = admitted.route.isStream
        val upstreamRequest = UpstreamRequest(
            id = facts.id,
            method = request.method,
            uri = request.uri,
            host = request.host,
            headers = dependencies.translator.towardsUpstream(
                request.headers,
                UpstreamRequestMetadata(
                    upstream = upstream.entry.id,
                    workspace = admitted.workspace?.name,
                    requestTimeoutMillis = (deadlineAtMillis - nowMillis).coerceAtLeast(1),
                    urgency = times.urgency(nowMillis, dependencies.table()?.priorities.orEmpty()),
                    lastEventId = reply.lastEventId
                )
            ),
            body = request.body,
            isStream = isStream,
            mayWrite = { dependencies.sendLimiter.mayWrite(upstream, permit) },
            onFirstData = { tookMillis ->
                if (expected != null) recordTook(upstream, expected, isStream, tookMillis)
            }
        )
        sends++
        dependencies.events.write(
            "sent",
            "request" to facts.id,
            "upstream" to upstream.entry.id,
            "version" to upstream.entry.softwareVersion,
            "resumes" to facts.resumedId,
            "after" to (reply.lastEventId ?: facts.lastEventId),
            "send" to sends,
            "in_flight" to upstream.inFlight,
            "expected_ms" to expected?.millis(isStream)?.toLong(),
            "left_ms" to deadlineAtMillis - nowMillis,
            "workspace" to admitted.workspace?.name
        )
        val wasUncertain = mayHaveRun
        mayHaveRun = true
        val use = facts.model?.let { ModelUse(it, facts.adapter) }
        val tokens = expected?.tokens ?: 0
        upstream.requestStarted(use, tokens)
        permit?.let(dependencies.sendLimiter::started)
        var end: SendEnd? = null
        try {
            return sendOrAbandon(upstream, upstreamRequest, mayAbandon).also {
                end = it
                recordResult(upstream, it, wasUncertain)
            }
        } finally {
            upstream.requestEnded(use, tokens)
            if (end == null) onCancelled()
            when (end) {
                is SendEnd.Whole, SendEnd.Streamed -> dependencies.sendLimiter.completed(upstream)
                is SendEnd.Broken, null -> dependencies.sendLimiter.givenUp(upstream)
                is SendEnd.NotRun, SendEnd.Unsent -> Unit
            }
            dependencies.queues.placeFreed(upstream.entry.service)
            permit?.let(dependencies.sendLimiter::release)
        }
    }

    /** Learns from the time that the first data took, and records it beside the expected time. */
    private fun recordTook(
        upstream: Upstream,
        expected: ExpectedSend,
        isStream: Boolean,
        tookMillis: Long
    ) {
        val expectedMillis = expected.millis(isStream)
        dependencies.meters.recordExpected(upstream.entry.service, expectedMillis, tookMillis)
        val nowMillis = dependencies.clock.nowMillis()
        dependencies.directory.chooser.learn(upstream, expected, isStream, tookMillis, nowMillis)
    }

    /** Sends [upstreamRequest]; abandons a silent upstream when [mayAbandon] agrees. */
    private suspend fun sendOrAbandon(
        upstream: Upstream,
        upstreamRequest: UpstreamRequest,
        mayAbandon: () -> Boolean
    ): SendEnd = coroutineScope {
        val abandoned = CompletableDeferred<Unit>()
        val sending = async {
            dependencies.sender.send(upstream, upstreamRequest, reply) {
                if (!abandoned.isCompleted && mayAbandon()) abandoned.complete(Unit)
            }
        }
        select {
            sending.onAwait { it }
            abandoned.onAwait {
                sending.cancel()
                SendEnd.Broken("silent")
            }
        }
    }

    /**
     * Returns whether the request can leave a silent [upstream] for another one that is available.
     * If so, the retry is already charged to the retry budget.
     */
    private fun mayAbandon(
        upstream: Upstream,
        route: ServingRoute,
        placement: StreamPlacement
    ): Boolean {
        if (!mayRetry(route, runs + 1)) return false
        val nowMillis = dependencies.clock.nowMillis()
        if (reply.hasBegun && !mayMoveStream(upstream, placement, nowMillis)) return false
        val hasOther = placement.candidates()
            .any {
                it !== upstream &&
                    !it.isSilent(nowMillis) &&
                    it.isAvailable(nowMillis) &&
                    !dependencies.sendLimiter.needsPermit(it)
            }
        if (!hasOther || !dependencies.retries.tryAcquireRetry(placement.service)) {
            return false
        }
        hasReservedRetry = true
        return true
    }

    /**
     * Whether a stream that has begun may leave a silent [upstream]: its origin is confirmed, so
     * that it can go on elsewhere, and a sound upstream would have sent something by now.
     */
    private fun mayMoveStream(
        upstream: Upstream,
        placement: StreamPlacement,
        nowMillis: Long
    ): Boolean = placement.isOriginConfirmed &&
        upstream.silence.silentMillis(nowMillis) >= MIN_MOVE_SILENT_MILLIS

    private fun recordResult(upstream: Upstream, end: SendEnd, wasUncertain: Boolean) {
        val nowMillis = dependencies.clock.nowMillis()
        when (end) {
            is SendEnd.NotRun -> {
                mayHaveRun = wasUncertain
                when (end.status) {
                    null -> {
                        upstream.recordUnreachable(nowMillis)
                        dependencies.reach.connectionFailed(upstream)
                        dependencies.sendLimiter.connectionFailed(upstream)
                        if (end.isRefused) dependencies.suspects.recordEnded(upstream.start)
                    }
                    MISDIRECTED -> {
                        request.facts.model?.let { recordMissing(upstream, it, nowMillis) }
                            ?: recordReplaced(upstream, nowMillis)
                        dependencies.directory.markOutdated()
                    }
                    else -> {
                        upstream.recordFull(nowMillis)
                        dependencies.sendLimiter.turnedAway(upstream, request.facts.id)
                    }
                }
            }
            SendEnd.Unsent -> mayHaveRun = wasUncertain
            is SendEnd.Broken -> {
                runs++
                upstream.recordFailure(nowMillis)
                if (end.closed != null) {
                    dependencies.reach.connectionClosed(upstream)
                    dependencies.sendLimiter.connectionFailed(upstream)
                }
            }
            is SendEnd.Whole, SendEnd.Streamed -> runs++
        }
        if (end !is SendEnd.Streamed && end !is SendEnd.Whole) {
            dependencies.events.write(
                "send-failed",
                "request" to request.facts.id,
                "upstream" to upstream.entry.id,
                "end" to end.toString(),
                "send" to sends
            )
        }
    }

    private fun recordMissing(upstream: Upstream, model: String, nowMillis: Long) {
        upstream.recordMissing(model, request.facts.adapter, nowMillis)
        dependencies.events.write(
            "model-missing",
            "request" to request.facts.id,
            "upstream" to upstream.entry.id,
            "model" to model,
            "adapter" to request.facts.adapter
        )
    }

    /** Another process answers at the address of [upstream]. */
    private fun recordReplaced(upstream: Upstream, nowMillis: Long) {
        upstream.recordFailure(nowMillis)
        dependencies.suspects.recordEnded(upstream.start)
    }

    /** Whether [end] is a server error that is retried, because the request may run again. */
    private fun isRetryableError(end: SendEnd.Whole, route: ServingRoute): Boolean =
        end.start.status >= SERVER_ERROR && mayRetry(route)

    /**
     * Whether the route allows another run. A stream that has begun can be resumed only after an
     * event with an id.
     */
    private fun mayRetry(route: ServingRoute, runsSoFar: Int = runs): Boolean {
        if (!route.mayRunAgain || runsSoFar >= route.maxAttempts) return false
        return !reply.hasBegun || reply.lastEventId != null
    }

    private fun stopRetrying(
        last: SendEnd?,
        reason: String,
        retryAfterMillis: Long? = null
    ): RequestOutcome = when {
        reply.hasBegun -> RequestOutcome.Aborted(reason)
        last is SendEnd.Whole -> RequestOutcome.Answered(last)
        else -> refuse(reason, retryAfterMillis ?: GIVEN_UP_RETRY_AFTER_MILLIS)
    }

    /** Passes on [answer], unless a stream has begun, which only further events can complete. */
    private fun relay(answer: SendEnd.Whole): RequestOutcome = if (reply.hasBegun) {
        RequestOutcome.Aborted(UPSTREAM_FAILED)
    } else {
        RequestOutcome.Answered(answer)
    }

    private fun refuse(code: String, retryAfterMillis: Long?): RequestOutcome =
        failOrAbort(ErrorAnswer.NotRun(code, retryAfterMillis))

    /**
     * Ends the request with [answer]; aborts a stream that has begun, and reports a request that
     * may have run as such.
     */
    private fun failOrAbort(answer: ErrorAnswer): RequestOutcome = when {
        reply.hasBegun -> RequestOutcome.Aborted(answer.code)
        mayHaveRun -> fail(ErrorAnswer.MayHaveRun(answer.code))
        else -> fail(answer)
    }

    private companion object {
        /**
         * Codes for callers and metrics. What exactly happened is in the log; it may name other
         * requests, and its wording has no bound.
         */
        const val UPSTREAM_FAILED = "upstream-failed"
        const val UPSTREAMS_REFUSED = "upstreams-refused"
        const val MISDIRECTED = 421
        const val SERVER_ERROR = 500

        /**
         * Silence after which a begun stream is moved. A sound upstream may be silent for a second
         * or so, and callers leave a stream that pauses for two at the earliest.
         */
        const val MIN_MOVE_SILENT_MILLIS = 1_500L

        /** Number of sends after which a request that no upstream executed is refused. */
        const val MAX_SENDS = 4

        /** Share of the latency target for which a request waits for the upstreams' rows. */
        const val TARGET_SHARE_DIVISOR = 2

        /** The rows are read, or found to be unreadable, within about this time. */
        const val UNSURE_RETRY_AFTER_MILLIS = 500L

        /** Retry delay for a request that was given up without having run at an upstream. */
        const val GIVEN_UP_RETRY_AFTER_MILLIS = 200L
    }
}
