package cactusfold.entry.callers

import cactusfold.entry.process.EventLog
import cactusfold.ports.serving.CallerLimits
import cactusfold.ports.serving.HeaderTranslator
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

/** HTTP server for callers' requests; each request runs as a coroutine of its own. */
public class CallerServer(
    private val vertx: Vertx,
    private val address: HostPort,
    private val scope: CoroutineScope,
    private val dependencies: RequestFlowDependencies,
    private val translator: HeaderTranslator,
    private val meters: CallerMeters,
    private val events: EventLog
) {
    private val requestsJob = SupervisorJob(scope.coroutineContext[Job])
    private var server: HttpServer? = null
    private var isStopping = false

    /** Whether connections are closed after their next response, while the process drains. */
    public var isLeaving: Boolean = false

    /** Whether new requests are refused because they might not finish before the process stops. */
    public var isClosed: Boolean = false

    /** The number of requests in progress. */
    public var running: Int = 0
        private set

    /** Starts listening, with the [limits] that the operator configured. */
    public suspend fun start(limits: CallerLimits) {
        val options = HttpServerOptions()
            .setMaxHeaderSize(limits.headerMaxBytes)
            .setMaxInitialLineLength(limits.headerMaxBytes)
            .setIdleTimeout((limits.idleTimeoutMillis * IDLE_TIMEOUT_FACTOR).toInt())
            .setIdleTimeoutUnit(TimeUnit.MILLISECONDS)
            .setTcpNoDelay(true)
            .setAcceptBacklog(ACCEPT_BACKLOG_CONNECTIONS)
            .setHandle100ContinueAutomatically(true)
        server = vertx.createHttpServer(options)
            .requestHandler(::accept)
            .listen(address.port, address.host)
            .coAwait()
    }

    /** Ends the requests in progress, each with an answer, and stops listening. */
    public suspend fun stop() {
        isStopping = true
        requestsJob.cancel()
        withTimeoutOrNull(ANSWER_TIMEOUT_MILLIS) { requestsJob.join() }
        server?.close()?.coAwait()
    }

    private fun accept(request: HttpServerRequest) {
        val arrivedAtMillis = dependencies.clock.nowMillis()
        val job = Job(requestsJob)
        running++
        job.invokeOnCompletion { running-- }
        val response = request.response()
        response.closeHandler { job.cancel(CancellationException("caller disconnected")) }
        response.exceptionHandler { job.cancel(CancellationException("caller disconnected")) }
        val reply = CallerReply(response, translator, dependencies.clock) { isLeaving }
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
            reply.sendError(facts.id, ErrorAnswer.Rejected(PAYLOAD_TOO_LARGE, "body-too-large"))
            return
        }
        if (isClosed) {
            return reply.sendError(
                facts.id,
                ErrorAnswer.NotRun("stopping", STOPPING_RETRY_AFTER_MILLIS)
            )
        }
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
        val flow = RequestFlow(dependencies, read, reply)
        val outcome = try {
            withTimeoutOrNull(timeoutOf(read)) { flow.serve() } ?: timeoutOutcome(flow, reply)
        } catch (e: CancellationException) {
            if (isStopping) {
                finish(read, reply, stoppedOutcome(flow, reply))
            } else {
                recordEnd(read, reply, "caller-left")
            }
            throw e
        }
        finish(read, reply, outcome)
    }

    private fun timeoutOf(request: CallerRequest): Long {
        val route = dependencies.table()?.route(request.host, request.path)
        val callerTimeoutMillis = request.facts.requestTimeoutMillis ?: Long.MAX_VALUE
        val timeoutMillis = minOf(
            callerTimeoutMillis,
            route?.timeoutMillis ?: UNROUTED_TIMEOUT_MILLIS
        )
        return timeoutMillis - (dependencies.clock.nowMillis() - request.arrivedAtMillis)
    }

    private fun timeoutOutcome(flow: RequestFlow, reply: CallerReply): RequestOutcome = when {
        reply.hasBegun -> RequestOutcome.Aborted("timed-out")
        flow.isUncertain -> RequestOutcome.Failed(ErrorAnswer.TimedOut)
        else -> RequestOutcome.Failed(ErrorAnswer.NotRun("timed-out", null))
    }

    private fun stoppedOutcome(flow: RequestFlow, reply: CallerReply): RequestOutcome = when {
        reply.hasBegun -> RequestOutcome.Aborted("stopping")
        flow.isUncertain -> RequestOutcome.Failed(ErrorAnswer.MayHaveRun("stopping"))
        else -> RequestOutcome.Failed(ErrorAnswer.NotRun("stopping", STOPPING_RETRY_AFTER_MILLIS))
    }

    private fun finish(request: CallerRequest, reply: CallerReply, outcome: RequestOutcome) {
        when (outcome) {
            is RequestOutcome.Answered -> {
                val answer = outcome.answer
                if (answer == null) reply.endStream() else reply.relayAnswer(answer)
                val label = if (answer == null) "streamed" else "answered-${answer.start.status}"
                recordEnd(request, reply, label)
            }
            is RequestOutcome.Failed -> {
                reply.sendError(request.facts.id, outcome.answer)
                recordEnd(request, reply, outcome.answer.code)
            }
            is RequestOutcome.Aborted -> {
                reply.abort()
                recordEnd(request, reply, "cut: ${outcome.reason}")
            }
        }
    }

    private fun recordEnd(request: CallerRequest, reply: CallerReply, outcome: String) {
        val tookMillis = dependencies.clock.nowMillis() - request.arrivedAtMillis
        val firstPieceMillis = reply.firstPieceAtMillis?.minus(request.arrivedAtMillis)
        meters.recordRequest(outcome, tookMillis)
        firstPieceMillis?.let(meters::recordFirstPiece)
        events.write(
            "request-ended",
            "request" to request.facts.id,
            "path" to request.path,
            "model" to request.facts.model,
            "outcome" to outcome,
            "took_ms" to tookMillis,
            "first_ms" to firstPieceMillis,
            "pause_ms" to reply.longestPauseMillis.takeIf { firstPieceMillis != null },
            "config" to dependencies.table()?.config?.version
        )
    }

    /** Returns the complete body, or null when it exceeds the configured maximum. */
    private suspend fun receive(request: HttpServerRequest): Buffer? {
        val maxBytes = dependencies.table()?.config?.limits?.bodyMaxBytes ?: DEFAULT_BODY_MAX_BYTES
        val announced = request.getHeader("content-length")?.toLongOrNull() ?: 0
        if (announced > maxBytes) return null
        return request.body().coAwait().takeIf { it.length() <= maxBytes }
    }

    private companion object {
        const val PAYLOAD_TOO_LARGE = 413
        const val ACCEPT_BACKLOG_CONNECTIONS = 1_024

        /** Maximum size of a body while no configuration is known. */
        const val DEFAULT_BODY_MAX_BYTES = 4 * 1024 * 1024

        /** Timeout of a request that matches no route; refusing it takes hardly any time. */
        const val UNROUTED_TIMEOUT_MILLIS = 1_000L
        const val STOPPING_RETRY_AFTER_MILLIS = 100L

        /** Answers are written at once; this only bounds the wait if the process is starved. */
        const val ANSWER_TIMEOUT_MILLIS = 300L

        /**
         * Factor on the configured idle timeout: callers reuse connections until shortly before it
         * expires, and closing one then would race with a request on its way.
         */
        const val IDLE_TIMEOUT_FACTOR = 1.2
    }
}
