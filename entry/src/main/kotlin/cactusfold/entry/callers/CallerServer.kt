package cactusfold.entry.callers

import cactusfold.entry.process.EventLog
import cactusfold.ports.serving.HeaderTranslator
import cactusfold.ports.serving.CallerLimits
import cactusfold.settings.schema.HostPort
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServer
import io.vertx.core.http.HttpServerOptions
import io.vertx.core.http.HttpServerRequest
import io.vertx.kotlin.coroutines.coAwait
import java.util.concurrent.TimeUnit
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull

/** Takes callers' requests and gives each its one answer. */
public class CallerServer(
    private val vertx: Vertx,
    private val address: HostPort,
    private val scope: CoroutineScope,
    private val parts: FlowParts,
    private val translator: HeaderTranslator,
    private val meters: CallerMeters,
    private val events: EventLog
) {
    private val parent = SupervisorJob(scope.coroutineContext[Job])
    private var server: HttpServer? = null

    /** Connections end with their next answer. */
    public var isLeaving: Boolean = false

    /** No request that arrives now would be finished in time. */
    public var isClosed: Boolean = false

    /** Requests that have not ended. */
    public var running: Int = 0
        private set

    /** Begins to listen, with the operator's [limits]. */
    public suspend fun start(limits: CallerLimits) {
        val options = HttpServerOptions()
            .setMaxHeaderSize(limits.headerMaxBytes)
            .setMaxInitialLineLength(limits.headerMaxBytes)
            .setIdleTimeout((limits.idleTimeoutMillis * IDLE_FACTOR).toInt())
            .setIdleTimeoutUnit(TimeUnit.MILLISECONDS)
            .setTcpNoDelay(true)
            .setAcceptBacklog(BACKLOG)
            .setHandle100ContinueAutomatically(true)
        server = vertx.createHttpServer(options)
            .requestHandler(::accept)
            .listen(address.port, address.host)
            .coAwait()
    }

    /** Stops listening and breaks off what still runs. */
    public suspend fun stop() {
        parent.cancel()
        server?.close()?.coAwait()
    }

    private fun accept(request: HttpServerRequest) {
        val arrivedAtMillis = parts.clock.nowMillis()
        val job = Job(parent)
        running++
        job.invokeOnCompletion { running-- }
        val response = request.response()
        response.closeHandler { job.cancel(CancellationException("the caller has left")) }
        response.exceptionHandler { job.cancel(CancellationException("the caller has left")) }
        val reply = CallerReply(response, translator, parts.clock) { isLeaving }
        CoroutineScope(scope.coroutineContext + job).launch(start = CoroutineStart.UNDISPATCHED) {
            try {
                serve(request, reply, arrivedAtMillis)
            } finally {
                job.complete()
            }
        }
    }

    private suspend fun serve(
        request: HttpServerRequest,
        reply: CallerReply,
        arrivedAtMillis: Long
    ) {
        val facts = translator.call(request.headers())
        val body = receive(request)
        if (body == null) {
            reply.own(facts.id, OwnAnswer.Rejected(TOO_LARGE, "body-too-large"))
            return
        }
        if (isClosed) return reply.own(facts.id, OwnAnswer.NotRun("stopping", STOP_RETRY_MILLIS))
        val read = CallerRequest(
            request.method(),
            request.uri(),
            request.path().orEmpty(),
            request.authority()?.host().orEmpty(),
            request.headers(),
            body,
            facts,
            arrivedAtMillis
        )
        val flow = RequestFlow(parts, read, reply)
        val end = try {
            withTimeoutOrNull(limitOf(read)) { flow.serve() } ?: timedOut(flow, reply)
        } catch (e: CancellationException) {
            ended(read, reply, "caller-left")
            throw e
        }
        finish(read, reply, end)
    }

    private fun limitOf(request: CallerRequest): Long {
        val route = parts.table()?.route(request.host, request.path)
        val caller = request.facts.requestTimeoutMillis ?: Long.MAX_VALUE
        val limit = minOf(caller, route?.timeoutMillis ?: UNROUTED_MILLIS)
        return limit - (parts.clock.nowMillis() - request.arrivedAtMillis)
    }

    private fun timedOut(flow: RequestFlow, reply: CallerReply): FlowEnd = when {
        reply.hasBegun -> FlowEnd.Cut("timed-out")
        flow.isUncertain -> FlowEnd.Own(OwnAnswer.TimedOut)
        else -> FlowEnd.Own(OwnAnswer.NotRun("timed-out", null))
    }

    private fun finish(request: CallerRequest, reply: CallerReply, end: FlowEnd) {
        when (end) {
            is FlowEnd.Answered -> {
                val answer = end.answer
                if (answer == null) reply.endStream() else reply.whole(answer)
                val outcome = if (answer == null) "streamed" else "answered-${answer.start.status}"
                ended(request, reply, outcome)
            }
            is FlowEnd.Own -> {
                reply.own(request.facts.id, end.answer)
                ended(request, reply, end.answer.code)
            }
            is FlowEnd.Cut -> {
                reply.cut()
                ended(request, reply, "cut: ${end.reason}")
            }
        }
    }

    private fun ended(request: CallerRequest, reply: CallerReply, outcome: String) {
        val tookMillis = parts.clock.nowMillis() - request.arrivedAtMillis
        val firstPieceMillis = reply.firstPieceAtMillis?.minus(request.arrivedAtMillis)
        meters.ended(outcome, tookMillis)
        firstPieceMillis?.let(meters::firstPiece)
        events.write(
            "request-ended",
            "request" to request.facts.id,
            "path" to request.path,
            "model" to request.facts.model,
            "outcome" to outcome,
            "took_ms" to tookMillis,
            "first_ms" to firstPieceMillis,
            "pause_ms" to reply.longestPauseMillis.takeIf { firstPieceMillis != null },
            "config" to parts.table()?.config?.version
        )
    }

    /** Returns the whole body, or null when it is larger than the operator allows. */
    private suspend fun receive(request: HttpServerRequest): Buffer? {
        val maxBytes = parts.table()?.config?.limits?.bodyMaxBytes ?: DEFAULT_BODY_BYTES
        val announced = request.getHeader("content-length")?.toLongOrNull() ?: 0
        if (announced > maxBytes) return null
        return request.body().coAwait().takeIf { it.length() <= maxBytes }
    }

    private companion object {
        const val TOO_LARGE = 413
        const val BACKLOG = 1_024
        const val DEFAULT_BODY_BYTES = 4 * 1024 * 1024

        /** Time for a request that no route takes: its refusal needs none. */
        const val UNROUTED_MILLIS = 1_000L
        const val STOP_RETRY_MILLIS = 100L

        /** Callers reuse connections until shortly before the limit; a close must not cross that. */
        const val IDLE_FACTOR = 1.2
    }
}
