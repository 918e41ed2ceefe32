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
import cactusfold.node.time.MonotonicClock
import cactusfold.ports.serving.HeaderTranslator
import cactusfold.ports.serving.Repeatability
import cactusfold.ports.serving.ServingRoute
import io.micrometer.core.instrument.MeterRegistry

/**
 * Collaborators of [RequestPassing] that are shared by all requests.
 *
 * @property isCut whether this process reaches no upstream of a service.
 */
public class PassingDependencies(
    public val vm: String,
    public val isCut: (service: String) -> Boolean,
    public val peers: PeerDirectory,
    public val sender: PeerSender,
    public val table: () -> RouteTable?,
    public val translator: HeaderTranslator,
    public val clock: MonotonicClock,
    public val events: EventLog,
    public val metrics: MeterRegistry
) {
    internal fun count(outcome: String): Unit =
        metrics.counter("cactusfold.requests.passed.on", "outcome", outcome).increment()
}

/** Has a peer serve one request whose service this process does not reach. */
public class RequestPassing(
    private val dependencies: PassingDependencies,
    private val request: CallerRequest,
    private val reply: CallerReply
) {
    private val clock = dependencies.clock

    /** Whether a peer may have had the request executed. */
    public var isUncertain: Boolean = false
        private set

    /**
     * Serves the request through a peer; returns null without having sent anything if this process
     * reaches [service]. A request that a peer passed on is refused instead.
     */
    public suspend fun serveIfCut(route: ServingRoute, service: String): RequestOutcome? = when {
        !dependencies.isCut(service) -> null
        request.passedBy != null -> refused("not-passed")
        else -> serve(route)
    }

    private suspend fun serve(route: ServingRoute): RequestOutcome {
        val callerMillis = request.facts.requestTimeoutMillis ?: route.timeoutMillis
        val untilMillis = request.arrivedAtMillis + minOf(route.timeoutMillis, callerMillis)
        val workspace = request.facts.key?.let { dependencies.table()?.workspace(it) }
        reply.held.describe(
            request.facts.id,
            workspace?.priority ?: route.priority,
            route.repeatability == Repeatability.STREAM_RESUMABLE
        )
        reply.beforeFirstEvent = { StreamCheck.Sound }
        val tried = mutableSetOf<String>()
        while (tried.size < MAX_PEERS) {
            val peer = dependencies.peers.choose(tried) ?: break
            tried += peer.vm
            val end = passTo(peer, route, untilMillis)
            if (!end.isSuccess && end !is SendEnd.Whole) recordFailed(peer, end)
            dependencies.count(labelOf(end))
            when (end) {
                SendEnd.Streamed -> return RequestOutcome.Answered(null)
                is SendEnd.Whole -> return RequestOutcome.Answered(end)
                is SendEnd.Broken -> return broken()
                is SendEnd.NotRun -> leaveOut(peer, end)
                SendEnd.Unsent -> Unit
            }
        }
        return refused("no-peer")
    }

    private suspend fun passTo(peer: Peer, route: ServingRoute, untilMillis: Long): SendEnd {
        val leftMillis = (untilMillis - clock.nowMillis() - RETURN_MILLIS).coerceAtLeast(1)
        dependencies.events.write(
            "passed-on",
            "request" to request.facts.id,
            "peer" to peer.vm,
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
        val pauseMillis = when (end.reason) {
            NO_UPSTREAM_REACHED -> CUT_PAUSE_MILLIS
            FULL -> FULL_PAUSE_MILLIS
            else -> GONE_PAUSE_MILLIS
        }
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

    public companion object {
        /** Code of a refusal because neither this process nor a peer reaches an upstream. */
        public const val NO_UPSTREAM_REACHED: String = "no-upstream-reached"

        /** Code of a refusal because too many requests are passed on to this process. */
        public const val FULL: String = "passed-on-full"
        private const val PEER_FAILED = "peer-failed"

        /** Number of peers after which a request that none of them ran is refused. */
        private const val MAX_PEERS = 3

        /** Time for the peer's answer to arrive before the deadline. */
        private const val RETURN_MILLIS = 20L
        private const val REFUSED_RETRY_AFTER_MILLIS = 500L
        private const val CUT_PAUSE_MILLIS = 500L
        private const val FULL_PAUSE_MILLIS = 200L
        private const val GONE_PAUSE_MILLIS = 2_000L
    }
}
