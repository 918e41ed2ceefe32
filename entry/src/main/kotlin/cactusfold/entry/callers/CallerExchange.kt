package cactusfold.entry.callers

import cactusfold.entry.passing.RequestPassing
import cactusfold.entry.process.EventLog
import cactusfold.ports.http.ByteBudget
import io.vertx.core.http.HttpServerRequest
import kotlin.coroutines.cancellation.CancellationException
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.isActive
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.coroutines.yield
import org.apache.logging.log4j.LogManager

/**
 * Collaborators of [CallerExchange] that are shared by all requests of a server.
 *
 * @property bodies bounds the memory of all requests' bodies.
 * @property idleTimeoutMillis how long a caller may pause while it sends the body of a request.
 */
public class ExchangeDependencies(
    public val flow: RequestFlowDependencies,
    public val meters: CallerMeters,
    public val events: EventLog,
    public val bodies: ByteBudget,
    public val idleTimeoutMillis: () -> Long,
    public val phase: () -> ServingPhase
)

/**
 * One request of a caller and its response: receives the body, processes the request, answers it
 * and logs how it ended.
 *
 * @param passedBy the VM that passed the request on to this process; null if its caller sent it.
 */
public class CallerExchange(
    private val dependencies: ExchangeDependencies,
    private val request: HttpServerRequest,
    private val reply: CallerReply,
    private val arrivedAtMillis: Long,
    private val passedBy: String? = null
) {
    private val facts = dependencies.flow.translator.call(request.headers())
    private val memory = dependencies.bodies.share()
    private var flow: RequestFlow? = null

    /** The body until it has been received completely. */
    private var unread: RequestBodyReader? = null

    /** Whether the request ends because nothing tells whether its caller is still there. */
    private var isGivenUp = false

    init {
        reply.resumesAfter(facts.lastEventId)
    }

    /** The id that the caller gave to the request; null if it gave none. */
    public val id: String? get() = facts.id

    /**
     * Runs the exchange to its end; cancelled when the caller leaves or the server ends it. After
     * it, the request has been answered, or its connection is being closed.
     */
    public suspend fun run() {
        try {
            memory.use { runToEnd() }
            unread?.let { dropRest(it) }
        } finally {
            closeUnfinished()
        }
    }

    /** Whether the body has been received completely. */
    public val isWhole: Boolean get() = flow != null

    /**
     * Finds out whether the caller, who has ended its output, is still there. A connection whose
     * caller has left is closed soon after. Returns false if the request is to be cancelled, which
     * refuses it, since there is no way to find out.
     */
    public fun probe(): Boolean = reply.probe().also {
        if (!it) {
            isGivenUp = true
            reply.closesAfter = true
        }
    }

    /** A caller that does not end a body that was refused would keep its connection without end. */
    private suspend fun dropRest(body: RequestBodyReader) {
        try {
            if (!body.dropRest()) reply.closesAfter = true
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            log.debug("the body of request {} has no end: {}", facts.id, e.message)
        }
    }

    private suspend fun runToEnd() {
        val outcome = try {
            process()
        } catch (e: CancellationException) {
            // Something else than this exchange may have been cancelled, such as a channel.
            if (currentCoroutineContext().isActive) {
                failed(e)
            } else {
                endCancelled()
                throw e
            }
        } catch (e: Throwable) {
            if (reply.isClosed && e is Exception) return recordEnd(leftOutcome())
            failed(e)
        }
        finish(outcome)
    }

    /** Refuses the request without receiving its body, because the server is ending. */
    public fun refuse(): Unit = finish(RequestOutcome.Failed(STOPPING))

    /** Refuses the request without receiving its body, because too many are passed on to here. */
    public fun refuseFull(): Unit = finish(RequestOutcome.Failed(TAKEN_FULL))

    private suspend fun endCancelled() {
        if (dependencies.phase() != ServingPhase.ENDING) {
            // An error of a connection is reported before its end.
            withContext(NonCancellable) { yield() }
        }
        when {
            reply.hasEnded -> recordEnd(leftOutcome())
            dependencies.phase() == ServingPhase.ENDING -> finish(endedOutcome(STOPPING))
            isGivenUp -> finish(endedOutcome(HALF_CLOSED))
            else -> {
                log.error("request {} was cancelled while its connection is open", facts.id)
                reply.closesAfter = unread != null
                finish(failedOutcome())
            }
        }
    }

    private fun closeUnfinished() {
        if (!reply.hasEnded) {
            log.error("request {} ended without an answer", facts.id)
            closeConnection()
        } else if (reply.closesAfter) {
            reply.whenSent { VertxConnectionOutput.end(request.connection()) }
        }
    }

    private fun closeConnection(): Unit = VertxConnectionOutput.cut(request.connection())

    private fun leftOutcome(): String =
        if (reply.held.isDropped) "cut: ${HeldStreams.REASON}" else "caller-left"

    private suspend fun process(): RequestOutcome {
        val body = when (val received = receive()) {
            is ReceivedBody.Complete -> received.body.also { unread = null }
            ReceivedBody.TooLarge -> return RequestOutcome.Failed(BODY_TOO_LARGE)
            is ReceivedBody.Refused -> {
                unread = null
                return RequestOutcome.Failed(received.refusal.answer)
            }
            ReceivedBody.NoMemory -> return RequestOutcome.Failed(NO_MEMORY)
            ReceivedBody.TimedOut -> {
                reply.closesAfter = true
                return RequestOutcome.Failed(BODY_TIMED_OUT)
            }
        }
        val phase = dependencies.phase()
        if (phase == ServingPhase.ENDING) return RequestOutcome.Failed(STOPPING)
        val read = CallerRequest(
            request.method(),
            request.uri(),
            request.path().orEmpty(),
            request.authority()?.host().orEmpty(),
            request.headers(),
            body,
            facts,
            arrivedAtMillis,
            passedBy
        )
        val flow = RequestFlow(dependencies.flow, read, reply).also { flow = it }
        val leftMillis = deadlineMillis() - dependencies.flow.clock.nowMillis()
        return withTimeoutOrNull(leftMillis) {
            if (phase == ServingPhase.OPEN) {
                flow.serve()
            } else {
                flow.passOn() ?: RequestOutcome.Failed(STOPPING)
            }
        } ?: timeoutOutcome(flow)
    }

    /** When the time limit of the request ends, as the configuration in force has it. */
    private fun deadlineMillis(): Long {
        val route = dependencies.flow.table()
            ?.route(request.authority()?.host().orEmpty(), request.path().orEmpty())
        val limitMillis = minOf(
            facts.requestTimeoutMillis ?: Long.MAX_VALUE,
            route?.timeoutMillis ?: UNROUTED_TIMEOUT_MILLIS
        )
        return arrivedAtMillis + limitMillis.coerceIn(0, MAX_LIMIT_MILLIS)
    }

    private fun timeoutOutcome(flow: RequestFlow): RequestOutcome = when {
        reply.hasBegun -> RequestOutcome.Aborted("timed-out")
        flow.isUncertain -> RequestOutcome.Failed(ErrorAnswer.TimedOut)
        else -> RequestOutcome.Failed(ErrorAnswer.NotRun("timed-out", null))
    }

    private fun endedOutcome(notRun: ErrorAnswer.NotRun): RequestOutcome = when {
        reply.hasBegun -> RequestOutcome.Aborted(notRun.code)
        flow?.isUncertain == true -> RequestOutcome.Failed(ErrorAnswer.MayHaveRun(notRun.code))
        else -> RequestOutcome.Failed(notRun)
    }

    private fun failed(cause: Throwable): RequestOutcome {
        log.error("request {} failed", facts.id, cause)
        return failedOutcome()
    }

    private fun failedOutcome(): RequestOutcome = when {
        reply.hasBegun -> RequestOutcome.Aborted(INTERNAL_ERROR)
        flow?.isUncertain == true -> RequestOutcome.Failed(ErrorAnswer.MayHaveRun(INTERNAL_ERROR))
        else -> RequestOutcome.Failed(ErrorAnswer.NotRun(INTERNAL_ERROR, null))
    }

    /**
     * Sends [outcome]; if that fails an error answer, and if that fails too, cuts the connection.
     */
    private fun finish(outcome: RequestOutcome) {
        val sent = sequence {
            yield(outcome)
            yield(failedOutcome())
        }.firstOrNull(::trySend) ?: RequestOutcome.Aborted(INTERNAL_ERROR).also { reply.abort() }
        reply.whenUnsent(::closeConnection)
        recordEnd(labelOf(sent))
    }

    private fun trySend(outcome: RequestOutcome): Boolean = try {
        send(outcome)
        true
    } catch (e: Throwable) {
        log.error("the answer to request {} cannot be sent", facts.id, e)
        false
    }

    private fun send(outcome: RequestOutcome): Unit = when (outcome) {
        is RequestOutcome.Answered -> outcome.answer?.let(reply::relayAnswer) ?: reply.endStream()
        is RequestOutcome.Failed -> reply.sendError(facts.id, outcome.answer)
        is RequestOutcome.Aborted -> reply.abort()
    }

    private fun labelOf(outcome: RequestOutcome): String = when (outcome) {
        is RequestOutcome.Answered ->
            outcome.answer?.let { "answered-${it.start.status}" } ?: "streamed"
        is RequestOutcome.Failed -> outcome.answer.code
        is RequestOutcome.Aborted -> "cut: ${outcome.reason}"
    }

    private fun recordEnd(outcome: String) {
        val tookMillis = dependencies.flow.clock.nowMillis() - arrivedAtMillis
        val firstPieceMillis = reply.firstPieceAtMillis?.minus(arrivedAtMillis)
        dependencies.meters.recordRequest(outcome, tookMillis)
        passedBy?.let { dependencies.meters.recordTaken(outcome) }
        firstPieceMillis?.let(dependencies.meters::recordFirstPiece)
        dependencies.events.write(
            "request-ended",
            "request" to facts.id,
            "path" to request.path(),
            "model" to facts.model,
            "passed_by" to passedBy,
            "outcome" to outcome,
            "upstream_status" to reply.lastStart?.status,
            "kept" to reply.lastStart?.isFirst?.not(),
            "took_ms" to tookMillis,
            "first_ms" to firstPieceMillis,
            "events" to reply.eventCount.takeIf { firstPieceMillis != null },
            "pause_ms" to reply.longestPauseMillis.takeIf { firstPieceMillis != null },
            "config" to dependencies.flow.table()?.config?.version
        )
    }

    private suspend fun receive(): ReceivedBody {
        val bounds =
            BodyBounds(::bodyMaxBytes, dependencies.idleTimeoutMillis, ::deadlineMillis)
        val reader = RequestBodyReader(request, dependencies.flow.clock, bounds)
        unread = reader
        return reader.read(memory)
    }

    private fun bodyMaxBytes(): Int =
        dependencies.flow.table()?.config?.limits?.bodyMaxBytes ?: DEFAULT_BODY_MAX_BYTES

    private companion object {
        val log = LogManager.getLogger(CallerExchange::class.java)

        /** Outcome of a request that ended by an unexpected exception. */
        const val INTERNAL_ERROR = "internal-error"

        const val PAYLOAD_TOO_LARGE = 413
        val BODY_TOO_LARGE = ErrorAnswer.Rejected(PAYLOAD_TOO_LARGE, "body-too-large")

        const val NO_MEMORY_RETRY_AFTER_MILLIS = 200L
        val NO_MEMORY = ErrorAnswer.NotRun("bodies-full", NO_MEMORY_RETRY_AFTER_MILLIS)

        const val REQUEST_TIMEOUT = 408
        val BODY_TIMED_OUT = ErrorAnswer.Rejected(REQUEST_TIMEOUT, "body-timed-out")

        const val STOPPING_RETRY_AFTER_MILLIS = 100L
        val STOPPING = ErrorAnswer.NotRun(ErrorAnswer.STOPPING, STOPPING_RETRY_AFTER_MILLIS)

        val HALF_CLOSED = ErrorAnswer.NotRun("half-closed", null)

        const val FULL_RETRY_AFTER_MILLIS = 200L
        val TAKEN_FULL = ErrorAnswer.NotRun(RequestPassing.FULL, FULL_RETRY_AFTER_MILLIS)

        /** Maximum size of a body while no configuration is known. */
        const val DEFAULT_BODY_MAX_BYTES = 4 * 1024 * 1024

        /** Keeps sums with a time from an overflow. */
        const val MAX_LIMIT_MILLIS = Long.MAX_VALUE / 4

        /** Timeout of a request that matches no route; refusing it takes hardly any time. */
        const val UNROUTED_TIMEOUT_MILLIS = 1_000L
    }
}
