package cactusfold.entry.passing

import cactusfold.entry.callers.CallerReply
import cactusfold.entry.callers.CallerRequest
import cactusfold.entry.callers.ErrorAnswer
import cactusfold.entry.callers.RequestOutcome
import cactusfold.entry.callers.SendEnd
import cactusfold.entry.callers.StreamCheck
import cactusfold.entry.callers.UpstreamRequest
import cactusfold.entry.config.RouteTable
import cactusfold.entry.process.EventLog
import cactusfold.entry.queueing.ServiceTimes
import cactusfold.node.time.MonotonicClock
import cactusfold.ports.serving.HeaderTranslator
import cactusfold.ports.serving.Repeatability
import cactusfold.ports.serving.ServingRoute
import io.micrometer.core.instrument.MeterRegistry

/**
 * Collaborators of [RequestPassing] that are shared by all requests.
 *
 * @property isCut whether this process reaches no upstream of a service.
 * @property times how long requests take at upstreams.
 */
public class PassingDependencies(
    public val vm: String,
    public val isCut: (service: String) -> Boolean,
    public val peers: PeerDirectory,
    public val sender: PeerSender,
    public val table: () -> RouteTable?,
    public val translator: HeaderTranslator,
    public val clock: MonotonicClock,
    public val times: ServiceTimes,
    public val events: EventLog,
    public val metrics: MeterRegistry
) {
    /** What becomes of requests once this process stops. */
    public val handover: Handover = Handover()

    internal fun count(outcome: String): Unit =
        metrics.counter("cactusfold.requests.passed.on", "outcome", outcome).increment()
}

/**
 * Has a peer serve one request whose service this process does not reach, or which it has not sent
 * when it stops.
 *
 * @param isSent whether an upstream may have had the request.
 */
public class RequestPassing(
    private val dependencies: PassingDependencies,
    private val request: CallerRequest,
    private val reply: CallerReply,
    private val isSent: () -> Boolean
) {
    private val clock = dependencies.clock

    /** Whether a peer may have had the request executed. */
    public var isUncertain: Boolean = false
        private set

    /** When peers may be asked again after all of them were cut off as well. */
    private var nextAskAtMillis = 0L

    /** Whether peers were asked because this process stops. */
    private var hasAskedAtStop = false

    /** Whether [serveIfCut] would not leave a request for [service] to this process now. */
    public fun isNeeded(service: String): Boolean = dependencies.isCut(service) &&
        (request.passedBy != null || clock.nowMillis() >= nextAskAtMillis)

    /**
     * Serves the request through a peer. Returns null, and it surely did not run, if this process
     * reaches [service], or if no peer does: then its upstreams are down for all, and the request
     * waits for them here. A request that a peer passed on is refused instead.
     */
    public suspend fun serveIfCut(route: ServingRoute, service: String): RequestOutcome? = when {
        !isNeeded(service) -> null
        request.passedBy != null -> refused("not-passed")
        else -> when (val asked = ask(route, service, "cut")) {
            is Asked.Served -> asked.outcome
            Asked.NoPeer -> refused("no-peer")
            Asked.AllCut -> {
                nextAskAtMillis = clock.nowMillis() + ASK_AGAIN_MILLIS
                dependencies.count("no-peer-reaches")
                null
            }
        }
    }

    /**
     * Serves through a peer a request that this process has not sent, though it stops soon. Returns
     * null, and it surely did not run, if there is time for it here, or if no peer takes it.
     */
    public suspend fun serveIfCutShort(route: ServingRoute, service: String): RequestOutcome? {
        val handover = dependencies.handover
        if (!handover.hasBegun || hasAskedAtStop || !handover.isCutShort(deadlineMillis(route))) {
            return null
        }
        hasAskedAtStop = true
        return serveAtStop(route, service, isBackInTime(route))
    }

    /**
     * Serves through a peer a request that this process, which stops, does not take. Returns null,
     * and it surely did not run, if no peer takes it or its answer would not be back in time: a
     * stream that does not end by then would be cut, so its whole time has to fit.
     */
    public suspend fun serveNew(route: ServingRoute, service: String): RequestOutcome? {
        val mayBeCut = route.isStream && dependencies.handover.isCutShort(deadlineMillis(route))
        return serveAtStop(route, service, !mayBeCut && isBackInTime(route))
    }

    private suspend fun serveAtStop(
        route: ServingRoute,
        service: String,
        isBackInTime: Boolean
    ): RequestOutcome? {
        if (request.passedBy != null) return null
        if (!isBackInTime) {
            dependencies.count("stopping-too-late")
            return null
        }
        val asked = ask(route, service, "stopping")
        if (asked !is Asked.Served) dependencies.count("stopping-no-peer")
        return (asked as? Asked.Served)?.outcome
    }

    /**
     * Returns the result of [wait], a wait of this request here. Null if the request is to be passed
     * on meanwhile, because this process stops.
     */
    public suspend fun <T : Any> unlessHandedOver(route: ServingRoute?, wait: suspend () -> T): T? =
        if (route == null || request.passedBy != null || isSent()) {
            wait()
        } else {
            dependencies.handover.unlessBegun(deadlineMillis(route), wait)
        }

    /** One that may not run again is passed on only if there is time for its whole target. */
    private fun isBackInTime(route: ServingRoute): Boolean {
        val handover = dependencies.handover
        val answersUntilMillis = handover.answersUntilMillis ?: return false
        if (!handover.isCutShort(deadlineMillis(route))) return true
        val observedMillis = dependencies.times.totalMillis(route.name)
        val neededMillis = when {
            observedMillis == 0L || !route.mayRunAgain -> maxOf(observedMillis, route.targetMillis)
            else -> observedMillis
        }
        return answersUntilMillis - RETURN_MILLIS - clock.nowMillis() >= neededMillis
    }

    private fun deadlineMillis(route: ServingRoute): Long {
        val callerMillis = request.facts.requestTimeoutMillis ?: route.timeoutMillis
        return request.arrivedAtMillis + minOf(route.timeoutMillis, callerMillis)
    }

    private suspend fun ask(route: ServingRoute, service: String, reason: String): Asked {
        val workspace = request.facts.key?.let { dependencies.table()?.workspace(it) }
        reply.held.describe(
            request.facts.id,
            workspace?.priority ?: route.priority,
            route.repeatability == Repeatability.STREAM_RESUMABLE
        )
        reply.beforeFirstEvent = { StreamCheck.Sound }
        val tried = mutableSetOf<String>()
        var cutPeers = 0
        while (tried.size - cutPeers < MAX_PEERS && tried.size < MAX_ASKED) {
            val peer = dependencies.peers.choose(tried, service, leavesZone = cutPeers > 0) ?: break
            tried += peer.vm
            val end = passTo(peer, route, reason)
            if (!end.isSuccess && end !is SendEnd.Whole) recordFailed(peer, end)
            dependencies.count(labelOf(end))
            when (end) {
                SendEnd.Streamed -> return Asked.Served(RequestOutcome.Answered(null))
                is SendEnd.Whole -> return Asked.Served(RequestOutcome.Answered(end))
                is SendEnd.Broken -> return Asked.Served(broken())
                is SendEnd.NotRun -> if (end.reason == NO_UPSTREAM_REACHED) {
                    cutPeers++
                    peer.recordCut(service, clock.nowMillis() + CUT_PAUSE_MILLIS)
                } else {
                    leaveOut(peer, end)
                }
                SendEnd.Unsent -> Unit
            }
        }
        return if (cutPeers == 0 || cutPeers < tried.size) Asked.NoPeer else Asked.AllCut
    }

    /** When the peer has to answer; a stream goes on until this process closes its connection. */
    private fun answerUntilMillis(route: ServingRoute): Long {
        val answersUntilMillis = dependencies.handover.answersUntilMillis
        val deadlineMillis = deadlineMillis(route)
        if (answersUntilMillis == null || route.isStream) return deadlineMillis
        return minOf(deadlineMillis, answersUntilMillis)
    }

    private suspend fun passTo(peer: Peer, route: ServingRoute, reason: String): SendEnd {
        val untilMillis = answerUntilMillis(route)
        val leftMillis = (untilMillis - clock.nowMillis() - RETURN_MILLIS).coerceAtLeast(1)
        dependencies.events.write(
            "passed-on",
            "request" to request.facts.id,
            "peer" to peer.vm,
            "reason" to reason,
            "in_flight" to peer.inFlight,
            "left_ms" to leftMillis
        )
        val passed = UpstreamRequest(
            id = request.facts.id,
            method = request.method,
            uri = request.uri,
            host = request.host,
            headers =
            dependencies.translator.towardsPeer(request.headers, dependencies.vm, leftMillis),
            body = request.body,
            isStream = route.isStream,
            mayWrite = {
                isUncertain = true
                true
            }
        )
        peer.inFlight++
        try {
            return dependencies.sender.send(peer, passed, reply).also {
                if (it is SendEnd.NotRun) isUncertain = false
            }
        } finally {
            peer.inFlight--
        }
    }

    private fun leaveOut(peer: Peer, end: SendEnd.NotRun) {
        val pauseMillis = if (end.reason == FULL) FULL_PAUSE_MILLIS else GONE_PAUSE_MILLIS
        peer.leaveOutUntil(clock.nowMillis() + pauseMillis)
    }

    private fun broken(): RequestOutcome = if (reply.hasBegun) {
        RequestOutcome.Aborted(PEER_FAILED)
    } else {
        RequestOutcome.Failed(ErrorAnswer.MayHaveRun(PEER_FAILED))
    }

    private fun refused(outcome: String): RequestOutcome {
        dependencies.count(outcome)
        return RequestOutcome.Failed(
            ErrorAnswer.NotRun(NO_UPSTREAM_REACHED, REFUSED_RETRY_AFTER_MILLIS)
        )
    }

    private fun recordFailed(peer: Peer, end: SendEnd): Unit = dependencies.events.write(
        "pass-failed",
        "request" to request.facts.id,
        "peer" to peer.vm,
        "end" to end.toString()
    )

    private fun labelOf(end: SendEnd): String = when (end) {
        SendEnd.Streamed -> "streamed"
        is SendEnd.Whole -> "answered"
        is SendEnd.Broken -> "broken"
        is SendEnd.NotRun -> if (end.status == null) "not-connected" else "refused"
        SendEnd.Unsent -> "unsent"
    }

    /** What came of asking peers. */
    private sealed interface Asked {
        class Served(val outcome: RequestOutcome) : Asked

        /** All peers that were asked are cut off from the service as well. */
        data object AllCut : Asked

        /** No peer took the request. */
        data object NoPeer : Asked
    }

    public companion object {
        /** Code of a refusal because neither this process nor a peer reaches an upstream. */
        public const val NO_UPSTREAM_REACHED: String = "no-upstream-reached"

        /** Code of a refusal because too many requests are passed on to this process. */
        public const val FULL: String = "passed-on-full"
        private const val PEER_FAILED = "peer-failed"

        /** Number of peers after which a request that none of them ran is refused. */
        private const val MAX_PEERS = 3

        /** Number of peers after which a request stays here, those that are cut off included. */
        private const val MAX_ASKED = 8
        private const val ASK_AGAIN_MILLIS = 1_000L

        /** Time for the peer's answer to arrive before the deadline. */
        private const val RETURN_MILLIS = 20L
        private const val REFUSED_RETRY_AFTER_MILLIS = 500L
        private const val CUT_PAUSE_MILLIS = 3_000L
        private const val FULL_PAUSE_MILLIS = 200L
        private const val GONE_PAUSE_MILLIS = 2_000L
    }
}
