package cactusfold.router.callers

import cactusfold.node.events.NodeEvent
import cactusfold.node.launch.NodeCore
import cactusfold.router.CallerSettings
import cactusfold.router.claim.ClaimKeeper
import cactusfold.router.forward.DispatchEnd
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

/** What requests are run with. */
public class CallerServices(
    public val lanes: Lanes,
    public val admission: Admission,
    public val dispatcher: Dispatcher,
    public val claims: ClaimKeeper,
    public val running: RunningRequests
)

/** Takes each caller's request from its first byte to its one end. */
public class CallerHandler(
    private val core: NodeCore,
    private val settings: CallerSettings,
    private val services: CallerServices
) {
    private val parent = SupervisorJob()
    private val models = ModelList(core)
    private val meters = CallerMeters(core.metrics)

    @Volatile
    private var isStopping = false

    /** Refuses new requests from now on. */
    public fun beginStop() {
        isStopping = true
    }

    /** Ends what still runs. */
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
            val body = receive(request, reply) ?: return
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
            when (val understood = RequestReader.read(raw, core.config.current)) {
                is Understood.Rejected -> reply.refuse(understood.refusal)
                is Understood.Accepted -> run(understood.request, reply)
            }
        } catch (e: KeyWithdrawnException) {
            withContext(NonCancellable) {
                reply.cut(Refusal.INVALID_KEY.copy(run = RunState.MAY_HAVE_RUN))
            }
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            log.error("request {} failed", id, e)
            reply.cut(Refusal.upstream("internal error", RunState.MAY_HAVE_RUN))
        }
    }

    /** Returns the whole body, or null after having refused the request. */
    private suspend fun receive(request: HttpServerRequest, reply: Reply): Buffer? {
        if (isStopping) return null.also { reply.refuse(Refusal.STOPPING) }
        val announced = request.getHeader("content-length")?.toLongOrNull() ?: 0
        if (announced >
            settings.bodyMaxBytes
        ) {
            return null.also { reply.refuseAndClose(Refusal.BODY_TOO_LARGE) }
        }
        val body = BoundedBody(request, settings.bodyMaxBytes)
        return when (val end = withTimeoutOrNull(settings.receiveTimeoutMillis) { body.await() }) {
            null -> null.also { reply.refuseAndClose(Refusal.SLOW_REQUEST) }
            BodyEnd.TooLarge -> null.also { reply.refuseAndClose(Refusal.BODY_TOO_LARGE) }
            is BodyEnd.Whole -> end.buffer
        }
    }

    private suspend fun run(request: CallerRequest, reply: Reply) {
        val job = kotlin.coroutines.coroutineContext[Job]!!
        services.running.began(RunningRequest(request.raw.id, request.keyDigest, job))
        try {
            val isStillValid = request.keyDigest == null ||
                request.keyDigest in core.config.current.keysByDigest
            if (!isStillValid) return reply.refuse(Refusal.INVALID_KEY)
            if (core.isCutOff) return reply.refuse(Refusal.CUT_OFF)
            finish(request, reply, process(request, reply))
        } finally {
            services.running.ended(request.raw.id)
        }
    }

    private suspend fun process(request: CallerRequest, reply: Reply): DispatchEnd {
        val workspace = request.workspace
        if (workspace != null) {
            val admitted =
                services.admission.admit(workspace, request.costTokens, request.deadlineMillis)
            Refusal.of(admitted)?.let { return DispatchEnd.Refused(it) }
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
            return services.claims.run(request) { dispatch(request, null) }
        }
        if (!request.isStream) return dispatch(request, null)
        return withHeartbeat(reply) { dispatch(request, CallerSink(reply)) }
    }

    private suspend fun dispatch(request: CallerRequest, sink: CallerSink?): DispatchEnd =
        services.dispatcher.run(request, laneOf(request), sink)

    private fun laneOf(request: CallerRequest): Lane =
        request.model?.let(services.lanes::forModel) ?: services.lanes.forService(request.route)

    /** Sends comments while the caller of a stream waits, so that its software does not retry. */
    private suspend fun <A> withHeartbeat(reply: Reply, block: suspend () -> A): A {
        val scope = CoroutineScope(kotlin.coroutines.coroutineContext + Job(parent))
        val beat = scope.launch {
            while (true) {
                delay(HEARTBEAT_MILLIS)
                reply.heartbeat()
            }
        }
        try {
            return block()
        } finally {
            beat.cancel()
            scope.cancel()
        }
    }

    private suspend fun finish(request: CallerRequest, reply: Reply, end: DispatchEnd) {
        val tookMillis = core.clock.nowMillis() - request.raw.arrivedAtMillis
        when (end) {
            is DispatchEnd.Whole -> {
                answered(request, end.answer.head.status, tookMillis)
                reply.answer(end.answer)
            }
            is DispatchEnd.Streamed -> {
                answered(request, end.status, tookMillis)
                reply.end()
            }
            is DispatchEnd.Refused -> {
                refused(request, end.refusal)
                reply.refuse(end.refusal)
            }
            is DispatchEnd.CutOff -> {
                val refusal = Refusal.upstream(end.reason, RunState.MAY_HAVE_RUN)
                refused(request, refusal)
                reply.cut(refusal)
            }
        }
    }

    private fun answered(request: CallerRequest, status: Int, tookMillis: Long) {
        meters.answered(request.route.workClass, tookMillis)
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

    private fun refused(request: CallerRequest, refusal: Refusal) {
        meters.refused(refusal.code)
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
