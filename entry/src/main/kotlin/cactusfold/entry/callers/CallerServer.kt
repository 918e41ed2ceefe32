package cactusfold.entry.callers

import cactusfold.entry.passing.TakenRequests
import cactusfold.entry.process.EventLog
import cactusfold.ports.http.ByteBudget
import cactusfold.settings.schema.HostPort
import io.vertx.core.Vertx
import io.vertx.core.http.HttpConnection
import io.vertx.core.http.HttpServer
import io.vertx.core.http.HttpServerOptions
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.http.HttpVersion
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull

/**
 * HTTP server for callers' requests; each request runs as a coroutine of its own.
 *
 * @param passingAddress where peers pass callers' requests on to this process.
 * @param bodies bounds the memory of all requests' bodies.
 * @param held bounds the memory of streams that wait for their callers.
 * @param maxConnections how many connections there may be before idle ones are closed.
 * @param sendBufferBytes size of the send buffers of callers' sockets; null for the system's.
 */
public class CallerServer(
    private val vertx: Vertx,
    private val address: HostPort,
    private val passingAddress: HostPort,
    private val scope: CoroutineScope,
    private val flow: RequestFlowDependencies,
    events: EventLog,
    bodies: ByteBudget,
    private val held: HeldStreams,
    maxConnections: Int,
    private val sendBufferBytes: Int? = null
) {
    private val requestsJob = SupervisorJob(scope.coroutineContext[Job])
    private val limits = ConfiguredLimits { flow.table()?.config?.limits }
    private val connections = CallerConnections(
        flow.clock,
        events,
        VertxConnectionOutput,
        limits,
        maxConnections,
        flow.meters::recordClosed
    )
    private val exchanges =
        ExchangeDependencies(flow, flow.meters, events, bodies, limits::idleMillis) { phase }
    private val taken = TakenRequests()
    private var servers = emptyList<HttpServer>()
    private var refusesFromMillis = Long.MAX_VALUE
    private var isEnding = false
    private val phase: ServingPhase
        get() = when {
            isEnding -> ServingPhase.ENDING
            flow.clock.nowMillis() >= refusesFromMillis -> ServingPhase.REFUSING
            else -> ServingPhase.OPEN
        }

    /** Whether callers are told to close their connections after the next response. */
    public var isLeaving: Boolean = false

    /** The number of requests whose answers have not been sent completely. */
    public val running: Int get() = connections.inProgress

    /** Number of open connections. */
    public val connectionCount: Int get() = connections.count

    /** Keeps the limits of connections, until cancelled. */
    public suspend fun watchConnections(): Unit = connections.watch()

    /** Starts listening. */
    public suspend fun start() {
        val options = HttpServerOptions()
            .setTcpNoDelay(true)
            .setAcceptBacklog(ACCEPT_BACKLOG_CONNECTIONS)
            .setHandle100ContinueAutomatically(true)
        sendBufferBytes?.let(options::setSendBufferSize)
        val listener = CallerListener(vertx, connections, limits, flow.translator)
        servers = listOf(
            listener.listen(passingAddress, options, ::refuseHead) {
                accept(it, flow.translator.passedBy(it.headers()) ?: UNNAMED_PEER)
            },
            listener.listen(address, options, ::refuseHead) { accept(it, passedBy = null) }
        )
    }

    /** Applies the limits of a changed configuration to the open connections. */
    public fun configured(): Unit = connections.limitsChanged()

    /** Refuses new requests from [atMillis], since they might not end before the process does. */
    public fun refuseFrom(atMillis: Long) {
        refusesFromMillis = atMillis
    }

    /**
     * Ends the requests in progress, each with an answer, and stops listening. Requests that arrive
     * until their connections are closed are refused. Callers get [closeMillis] to read answers.
     */
    public suspend fun stop(closeMillis: Long) {
        isEnding = true
        requestsJob.cancel()
        withTimeoutOrNull(closeMillis) {
            while (running > 0) delay(CLOSE_CHECK_MILLIS)
            // Reads and refuses requests that have arrived meanwhile.
            delay(LAST_READ_MILLIS)
        }
        connections.openIds.forEach { exchanges.events.write("answer-unsent", "request" to it) }
        withTimeoutOrNull(LAST_READ_MILLIS) {
            servers.map { it.close() }.forEach { it.coAwait() }
        }
        exchanges.events.write("callers-closed")
    }

    private fun accept(request: HttpServerRequest, passedBy: String?) {
        val arrivedAtMillis = flow.clock.nowMillis()
        val response = request.response()
        val closeDelimited =
            CloseDelimitedConnection(request.connection(), VertxConnectionOutput)
                .takeIf { request.version() == HttpVersion.HTTP_1_0 }
        val connection = request.connection()
        val reply = CallerReply(
            response,
            flow.translator,
            flow.clock,
            closeDelimited,
            streamOf(connection),
            isToPeer = passedBy != null
        ) {
            isLeaving || isEnding || request.decoderResult() is RefusedInput
        }
        val exchange = CallerExchange(exchanges, request, reply, arrivedAtMillis, passedBy)
        val job = Job(requestsJob)
        val presence = object : CallerPresence {
            override val isWhole: Boolean get() = exchange.isWhole

            override fun probe() {
                if (!exchange.probe()) job.cancel(CancellationException("half-closed"))
            }
        }
        val open = connections.requestStarted(connection, exchange.id, presence)
        val refuse = when {
            isEnding -> exchange::refuse
            passedBy != null && !taken.tryEnter(passedBy, running - 1) -> exchange::refuseFull
            else -> null
        }
        if (refuse != null) {
            job.cancel()
            refuse()
            return answered(connection, open, reply)
        }
        passedBy?.let { vm -> job.invokeOnCompletion { taken.leave(vm) } }
        job.invokeOnCompletion { answered(connection, open, reply) }
        response.closeHandler { job.cancel(CancellationException("caller disconnected")) }
        response.exceptionHandler { job.cancel(CancellationException("caller disconnected")) }
        CoroutineScope(scope.coroutineContext + job).launch(start = CoroutineStart.UNDISPATCHED) {
            try {
                exchange.run()
            } finally {
                job.complete()
            }
        }
    }

    private fun answered(
        connection: HttpConnection,
        open: CallerConnections.OpenRequest,
        reply: CallerReply
    ) {
        connections.answerEnded(open)
        reply.whenSent { connections.requestEnded(connection, open) }
    }

    /** Answers [request], in whose place a head arrived that is refused. */
    private fun refuseHead(request: HttpServerRequest, refusal: InputRefusal) {
        val connection = request.connection()
        val open = connections.requestStarted(connection, id = null)
        val reply = CallerReply(
            request.response(),
            flow.translator,
            flow.clock,
            held = streamOf(connection)
        ) { true }
        reply.sendError(id = null, refusal.answer)
        answered(connection, open, reply)
    }

    private fun streamOf(connection: HttpConnection): HeldStreams.Stream = held.open {
        VertxConnectionOutput.resetOnClose(connection, isReset = true)
        VertxConnectionOutput.cut(connection)
    }

    private companion object {
        /** Stands for a peer that does not name itself. */
        const val UNNAMED_PEER = "unnamed"
        const val ACCEPT_BACKLOG_CONNECTIONS = 1_024

        /** Interval of checks whether all answers have been sent. */
        const val CLOSE_CHECK_MILLIS = 10L

        /** Many times as long as the event loop takes to read what has arrived. */
        const val LAST_READ_MILLIS = 50L
    }
}
