package cactusfold.entry.callers

import cactusfold.decisions.held.OpenConnections
import cactusfold.entry.process.EventLog
import cactusfold.node.time.MonotonicClock
import io.vertx.core.http.HttpConnection
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull

/**
 * The open connections of callers. A connection is closed when it has had no request in progress
 * for the idle timeout, and refused when a head has not been complete in its time. Neither ends a
 * request whose head is complete.
 *
 * @param limits the limits in force; the idle timeout is also that of a caller that stops to read
 *   its answer.
 * @param recordClosed counts a connection that is closed for a reason.
 * @param maxCount how many connections there may be before idle ones are closed for new ones.
 */
public class CallerConnections(
    private val clock: MonotonicClock,
    private val events: EventLog,
    private val output: ConnectionOutput,
    private val limits: ConnectionLimits,
    maxCount: Int = Int.MAX_VALUE,
    private val recordClosed: (reason: String) -> Unit
) {
    private val states = HashMap<HttpConnection, ConnectionState>()
    private val open = OpenConnections<String, HttpConnection>(maxCount)
    private val activity = Channel<Unit>(Channel.CONFLATED)
    private val excess = Channel<Unit>(Channel.CONFLATED)
    private val endedInputs = EndedInputs(clock, events)
    private var unreadCheckedAtMillis = clock.nowMillis()

    /** A request until its answer has been sent; [id] is null if the caller stated none. */
    public class OpenRequest internal constructor(
        internal val id: String?,
        internal val caller: CallerPresence?
    ) {
        /** Whether its answer is complete but for the sending. */
        internal var isAnswered = false
    }

    /** Why a connection is to be closed. */
    private enum class Expiry { IDLE, HEAD, REFUSED }

    private inner class ConnectionState(private val connection: HttpConnection) :
        HeadListener,
        EndedInput {
        override val requests = mutableSetOf<OpenRequest>()
        var input: ConnectionInput? = null
        var idleSinceMillis = clock.nowMillis()

        /** When the first byte of the head that is arriving came; null for none. */
        var headSinceMillis: Long? = null

        /** Whether input was refused, after which the connection takes no further request. */
        var isRefused = false

        /** Bytes that were unsent at the last check, and since when none of them has been sent. */
        var unsentBytes = 0L
        var unreadSinceMillis = idleSinceMillis

        /** What the last check found. */
        var expiry: Expiry? = null

        override fun headBegan() {
            headSinceMillis = clock.nowMillis()
            activity.trySend(Unit)
        }

        override fun headEnded() {
            headSinceMillis = null
        }

        override fun inputEnded() {
            if (requests.isEmpty()) close() else endedInputs.add(this)
        }

        override val isOpen: Boolean get() = states[connection] === this

        override val hasUnsent: Boolean get() = output.unsentBytes(connection) > 0

        override fun close() {
            connection.close()
        }

        override fun refused(reason: String) {
            closes(reason, idleSinceMillis)
            isRefused = true
            activity.trySend(Unit)
        }
    }

    /** Number of requests whose answers have not been sent completely. */
    public var inProgress: Int = 0
        private set

    /** Ids of the requests whose answers have not been sent completely. */
    public val openIds: List<String> get() = states.values.flatMap { it.requests }
        .mapNotNull { it.id }

    /** Number of open connections. */
    public val count: Int get() = open.count

    /**
     * Registers [connection] until it is closed. [inputOf] returns its input, which tells the
     * listener of heads that arrive in parts.
     */
    public fun opened(connection: HttpConnection, inputOf: (HeadListener) -> ConnectionInput) {
        val state = ConnectionState(connection)
        states[connection] = state
        val input = inputOf(state)
        state.input = input
        open.opened(input.address, connection)
        connection.closeHandler {
            states.remove(connection)?.let {
                inProgress -= it.requests.size
                open.closed(input.address, connection)
            }
        }
        activity.trySend(Unit)
        if (open.isOver) excess.trySend(Unit)
    }

    /** Records that the limits in force may have changed. */
    public fun limitsChanged() {
        activity.trySend(Unit)
    }

    /**
     * Records that the request with [id] has begun on [connection]; [caller] tells whether its
     * caller is still there, and is null for a request that is answered at once.
     */
    public fun requestStarted(
        connection: HttpConnection,
        id: String?,
        caller: CallerPresence? = null
    ): OpenRequest {
        val request = OpenRequest(id, caller)
        states[connection]?.let {
            it.requests += request
            it.input?.run { open.busy(address, connection) }
            inProgress++
            it.expiry = null
            activity.trySend(Unit)
        }
        return request
    }

    /** Records that the answer to [request] is complete, but for its sending. */
    public fun answerEnded(request: OpenRequest) {
        request.isAnswered = true
    }

    /** Records that the answer to [request] on [connection] has been sent, or will not be. */
    public fun requestEnded(connection: HttpConnection, request: OpenRequest) {
        val state = states[connection] ?: return
        if (state.requests.remove(request)) inProgress--
        // One whose head was refused is read on for a while, so that its caller gets the refusal.
        if (state.requests.isEmpty() && !state.isRefused) {
            state.input?.run { open.idle(address, connection) }
        }
        if (open.isOver) excess.trySend(Unit)
        state.idleSinceMillis = clock.nowMillis()
    }

    /**
     * Closes idle connections, also beyond the bound, refuses late heads and cuts unread answers,
     * until cancelled.
     */
    public suspend fun watch(): Unit = coroutineScope {
        launch { keepBound() }
        launch { endedInputs.watch() }
        keepLimits()
    }

    private suspend fun keepLimits() {
        while (true) {
            if (states.isEmpty()) {
                activity.receive()
            } else if (inProgress == 0) {
                withTimeoutOrNull(quietMillis()) { activity.receive() }
            }
            delay(CHECK_INTERVAL_MILLIS)
            closeExpired()
            cutUnread()
        }
    }

    private suspend fun keepBound() {
        while (true) {
            excess.receive()
            val chosen = open.excess()
            // A request that has arrived on one of them is read meanwhile.
            delay(READ_MILLIS)
            val remaining = open.excess().toSet()
            chosen.filter { it in remaining }.forEach { connection ->
                closes("bound", states[connection]?.idleSinceMillis ?: clock.nowMillis())
                connection.close()
            }
        }
    }

    /** How long no connection expires without a request, as far as the limits stay the same. */
    private fun quietMillis(): Long =
        (states.values.minOf(::expiresAtMillis) - clock.nowMillis()).coerceAtLeast(0)

    private fun expiresAtMillis(state: ConnectionState): Long {
        if (state.isRefused) return state.idleSinceMillis
        return state.headSinceMillis?.plus(limits.headMillis)
            ?: (state.idleSinceMillis + limits.idleMillis)
    }

    private fun expiryOf(state: ConnectionState): Expiry? {
        if (clock.nowMillis() < expiresAtMillis(state)) return null
        val isReading = state.input?.isReading == true
        return when {
            state.isRefused -> Expiry.REFUSED.takeIf { state.requests.isEmpty() }
            state.headSinceMillis != null -> Expiry.HEAD.takeIf { isReading }
            else -> Expiry.IDLE.takeIf { state.requests.isEmpty() }
        }
    }

    /**
     * Cuts answers of which their callers read nothing, since these occupy memory. After a pause of
     * this process, an answer is first given the time until the next check to go on.
     */
    internal fun cutUnread() {
        val nowMillis = clock.nowMillis()
        val isLate = nowMillis - unreadCheckedAtMillis > LATE_CHECK_MILLIS
        unreadCheckedAtMillis = nowMillis
        for ((connection, state) in states.toList()) {
            val unsentBytes = output.unsentBytes(connection)
            val unread = state.requests.filter { it.isAnswered }
            if (unread.isEmpty() || unsentBytes != state.unsentBytes) {
                state.unsentBytes = unsentBytes
                state.unreadSinceMillis = nowMillis
            } else if (!isLate && nowMillis - state.unreadSinceMillis >= limits.idleMillis) {
                unread.forEach { events.write("answer-unread", "request" to it.id) }
                recordClosed("unread")
                output.cut(connection)
            }
        }
    }

    /**
     * Acts on connections that the last check found expired as well: after a pause of this process,
     * a request may have arrived that is not read yet.
     */
    internal fun closeExpired() {
        for ((connection, state) in states.toList()) {
            val expiry = expiryOf(state)
            if (expiry != null && expiry == state.expiry) expire(connection, state, expiry)
            state.expiry = expiry
        }
    }

    private fun expire(connection: HttpConnection, state: ConnectionState, expiry: Expiry) {
        when (expiry) {
            Expiry.IDLE -> {
                closes("idle", state.idleSinceMillis)
                connection.close()
            }
            Expiry.HEAD -> {
                closes("header-timeout", state.headSinceMillis ?: clock.nowMillis())
                state.headSinceMillis = null
                state.isRefused = true
                state.input?.refuseHead()
            }
            // Until now the caller could read the refusal: bytes that nobody reads would reset it.
            Expiry.REFUSED -> connection.close()
        }
    }

    private fun closes(reason: String, sinceMillis: Long) {
        recordClosed(reason)
        events.write(
            "connection-closed",
            "reason" to reason,
            "after_ms" to clock.nowMillis() - sinceMillis
        )
    }

    private companion object {
        const val CHECK_INTERVAL_MILLIS = 500L
        const val LATE_CHECK_MILLIS = 2 * CHECK_INTERVAL_MILLIS

        /** Many times as long as the event loop takes to read what has arrived. */
        const val READ_MILLIS = 50L
    }
}
