package cactusfold.router.callers

import cactusfold.node.events.NodeEvent
import cactusfold.node.launch.NodeCore
import cactusfold.router.CallerSettings
import cactusfold.router.claim.ClaimManager
import cactusfold.router.forward.DispatchResult
import cactusfold.router.forward.Dispatcher
import cactusfold.router.lane.Lane
import cactusfold.router.lane.Lanes
import cactusfold.router.rate.Admission
import io.vertx.core.Context
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerRequest
import io.vertx.kotlin.coroutines.dispatcher
import java.util.UUID
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.logging.log4j.LogManager

/** Collaborators of [CallerHandler]. */
public class CallerDependencies(
    public val lanes: Lanes,
    public val admission: Admission,
    public val dispatcher: Dispatcher,
    public val claims: ClaimManager,
    public val running: RunningRequests
)

/** Handles caller requests: receives, admits and dispatches each one and sends one response. */
public class CallerHandler(
    private val core: NodeCore,
    private val settings: CallerSettings,
    private val dependencies: CallerDependencies
) {
    private val parent = SupervisorJob()
    private val models = ModelList(core)
    private val meters = CallerMeters(core.metrics)

    @Volatile
    private var isStopping = false

    /** Starts refusing new requests. */
    public fun beginStop() {
        isStopping = true
    }

    /** Cancels all running requests. */
    public fun stop() {
        parent.cancel()
    }

    /** Handles [request] on the event loop of [context]. */
    public fun accept(request: HttpServerRequest, context: Context) {
        val job = Job(parent)
        val id = "req-${UUID.randomUUID()}"
        val reply = Reply(request.response(), id)
        request.response().closeHandler { job.cancel(CancellationException("caller left")) }
        request.response().exceptionHandler { job.cancel(CancellationException("caller left")) }
        CoroutineScope(context.dispatcher() + job).launch(start = CoroutineStart.UNDISPATCHED) {
            try {
                serve(request, id, reply)
            } finally {
                job.complete()
            }
        }
    }

    private suspend fun serve(request: HttpServerRequest, id: String, reply: Reply) {
        val arrivedAt = core.clock.nowMillis()
        try {
            val body = receiveBody(request, reply) ?: return
            val raw = RawRequest(
                id,
                request.method(),
                request.path().orEmpty(),
                request.uri(),
                request.headers(),
                body,
                arrivedAt
            )
            if (models.answers(raw)) return models.answer(raw, reply)
            when (val read = RequestReader.read(raw, core.config.current)) {
                is RequestReadResult.Rejected -> reply.refuse(read.refusal)
                is RequestReadResult.Accepted -> run(read.request, reply)
            }
        } catch (e: KeyWithdrawnException) {
            withContext(NonCancellable) {
                reply.abort(Refusal.INVALID_KEY.copy(run = RunState.MAY_HAVE_RUN))
            }
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            log.error("request {} failed", id, e)
            reply.abort(Refusal.upstream("internal error", RunState.MAY_HAVE_RUN))
        }
    }

    /** Returns the complete body, or null if the request has been refused. */
    private suspend fun receiveBody(request: HttpServerRequest, reply: Reply): Buffer? {
        if (isStopping) return null.also { reply.refuse(Refusal.STOPPING) }
        val declaredBytes = request.getHeader("content-length")?.toLongOrNull() ?: 0
        if (declaredBytes > settings.bodyMaxBytes) {
            return null.also { reply.refuseAndClose(Refusal.BODY_TOO_LARGE) }
        }
        val body = BoundedBody(request, settings.bodyMaxBytes)
        return when (
            val result = withTimeoutOrNull(settings.receiveTimeoutMillis) {
                body.await()
            }
        ) {
            null -> null.also { reply.refuseAndClose(Refusal.SLOW_REQUEST) }
            BodyResult.TooLarge -> null.also { reply.refuseAndClose(Refusal.BODY_TOO_LARGE) }
            is BodyResult.Complete -> result.buffer
        }
    }

    private suspend fun run(request: CallerRequest, reply: Reply) {
        val job = kotlin.coroutines.coroutineContext[Job]!!
        dependencies.running.add(RunningRequest(request.raw.id, request.keyDigest, job))
        try {
            val isStillValid = request.keyDigest == null ||
                request.keyDigest in core.config.current.keysByDigest
            if (!isStillValid) return reply.refuse(Refusal.INVALID_KEY)
            if (core.isCutOff) return reply.refuse(Refusal.CUT_OFF)
            finish(request, reply, admitAndRun(request, reply))
        } finally {
            dependencies.running.remove(request.raw.id)
        }
    }

    private suspend fun admitAndRun(request: CallerRequest, reply: Reply): DispatchResult {
        val workspace = request.workspace
        if (workspace != null) {
            val admitted =
                dependencies.admission.admit(workspace, request.costTokens, request.deadlineMillis)
            Refusal.of(admitted)?.let { return DispatchResult.Refused(it) }
            core.events.add(
                NodeEvent.Admitted(
                    request.raw.id,
                    request.workspaceName,
                    request.model.orEmpty(),
                    request.costTokens
                )
            )
        }
        if (!request.route.isRepeatable) {
            return dependencies.claims.run(request) { dispatch(request, null) }
        }
        if (!request.isStream) return dispatch(request, null)
        return withHeartbeat(reply) { dispatch(request, CallerSink(reply)) }
    }

    private suspend fun dispatch(request: CallerRequest, sink: CallerSink?): DispatchResult =
        dependencies.dispatcher.run(request, laneOf(request), sink)

    private fun laneOf(request: CallerRequest): Lane =
        request.model?.let(dependencies.lanes::forModel)
            ?: dependencies.lanes.forService(request.route)

    /** Sends SSE comments to a waiting caller of a stream, so that its client does not retry. */
    private suspend fun <A> withHeartbeat(reply: Reply, block: suspend () -> A): A {
        val scope = CoroutineScope(kotlin.coroutines.coroutineContext + Job(parent))
        val heartbeat = scope.launch {
            while (true) {
                delay(HEARTBEAT_MILLIS)
                reply.heartbeat()
            }
        }
        try {
            return block()
        } finally {
            heartbeat.cancel()
            scope.cancel()
        }
    }

    private suspend fun finish(request: CallerRequest, reply: Reply, result: DispatchResult) {
        val tookMillis = core.clock.nowMillis() - request.raw.arrivedAtMillis
        when (result) {
            is DispatchResult.Buffered -> {
                recordAnswer(request, result.response.head.status, tookMillis)
                reply.answer(result.response)
            }
            is DispatchResult.Streamed -> {
                recordAnswer(request, result.status, tookMillis)
                reply.end()
            }
            is DispatchResult.Refused -> {
                recordRefusal(request, result.refusal)
                reply.refuse(result.refusal)
            }
            is DispatchResult.Interrupted -> {
                val refusal = Refusal.upstream(result.reason, RunState.MAY_HAVE_RUN)
                recordRefusal(request, refusal)
                reply.abort(refusal)
            }
        }
    }

    private fun recordAnswer(request: CallerRequest, status: Int, tookMillis: Long) {
        meters.recordAnswer(request.route.workClass, tookMillis)
        core.events.add(
            NodeEvent.Answered(
                request.raw.id,
                request.workspaceName,
                request.model.orEmpty(),
                status,
                tookMillis
            )
        )
    }

    private fun recordRefusal(request: CallerRequest, refusal: Refusal) {
        meters.recordRefusal(refusal.code)
        core.events.add(
            NodeEvent.Refused(
                request.raw.id,
                request.workspaceName,
                request.model.orEmpty(),
                refusal.code,
                refusal.run.header
            )
        )
    }

    private companion object {
        const val HEARTBEAT_MILLIS = 1_000L
        val log = LogManager.getLogger(CallerHandler::class.java)
    }
}
