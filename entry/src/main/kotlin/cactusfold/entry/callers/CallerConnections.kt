package cactusfold.entry.callers

import cactusfold.entry.process.EventLog
import cactusfold.node.time.MonotonicClock
import io.vertx.core.http.HttpConnection
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull

/**
 * The open connections of callers. A connection is closed when it has had no request in progress
 * and has brought nothing for the idle timeout; the timeout never ends a request that waits for its
 * answer, nor one whose head is arriving.
 *
 * @param idleTimeoutMillis the timeout in force; also for a caller that stops to read its answer.
 */
public class CallerConnections(
    private val clock: MonotonicClock,
    private val events: EventLog,
    private val output: ConnectionOutput,
    private val idleTimeoutMillis: () -> Long
) {
    private val states = HashMap<HttpConnection, ConnectionState>()
    private val activity = Channel<Unit>(Channel.CONFLATED)

    /** A request until its answer has been sent; [id] is null if the caller stated none. */
    public class OpenRequest internal constructor(internal val id: String?) {
        /** Whether its answer is complete but for the sending. */
        internal var isAnswered = false
    }

    private class ConnectionState(var idleSinceMillis: Long) {
        val requests = mutableSetOf<OpenRequest>()

        /** Bytes that were unsent at the last check, and since when none of them has been sent. */
        var unsentBytes = 0L
        var unreadSinceMillis = idleSinceMillis

        /** Whether the connection was found idle by the last check. */
        var isExpiring = false
    }

    /** Number of requests whose answers have not been sent completely. */
    public val inProgress: Int get() = states.values.sumOf { it.requests.size }

    /** Ids of the requests whose answers have not been sent completely. */
    public val openIds: List<String> get() = states.values.flatMap { it.requests }
        .mapNotNull { it.id }

    /** Registers [connection] until it is closed. */
    public fun opened(connection: HttpConnection) {
        states[connection] = ConnectionState(clock.nowMillis())
        connection.closeHandler { states -= connection }
        activity.trySend(Unit)
    }

    /** Records that bytes of the caller have arrived on [connection]. */
    public fun received(connection: HttpConnection) {
        states[connection]?.idleSinceMillis = clock.nowMillis()
    }

    /** Records that the request with [id] has begun on [connection]. */
    public fun requestStarted(connection: HttpConnection, id: String?): OpenRequest {
        val request = OpenRequest(id)
        states[connection]?.let {
            it.requests += request
            it.isExpiring = false
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
        state.requests -= request
        state.idleSinceMillis = clock.nowMillis()
    }

    /** Closes idle connections and cuts unread answers, until cancelled. */
    public suspend fun watch() {
        while (true) {
            if (states.isEmpty()) {
                activity.receive()
            } else if (inProgress == 0) {
                withTimeoutOrNull(quietMillis()) { activity.receive() }
            }
            delay(CHECK_INTERVAL_MILLIS)
            closeIdle()
            cutUnread()
        }
    }

    /** How long no connection expires without a request, as far as the timeout stays the same. */
    private fun quietMillis(): Long {
        val firstIdleMillis = states.values.minOf { it.idleSinceMillis }
        return (firstIdleMillis + idleTimeoutMillis() - clock.nowMillis())
            .coerceIn(0, MAX_QUIET_MILLIS)
    }

    /** Cuts answers of which their callers read nothing, since these occupy memory. */
    internal fun cutUnread() {
        val nowMillis = clock.nowMillis()
        for ((connection, state) in states.toList()) {
            val unsentBytes = output.unsentBytes(connection)
            val unread = state.requests.filter { it.isAnswered }
            if (unread.isEmpty() || unsentBytes != state.unsentBytes) {
                state.unsentBytes = unsentBytes
                state.unreadSinceMillis = nowMillis
            } else if (nowMillis - state.unreadSinceMillis >= idleTimeoutMillis()) {
                unread.forEach { events.write("answer-unread", "request" to it.id) }
                output.cut(connection)
            }
        }
    }

    /**
     * Closes connections that were idle at the last check as well: after a pause of this process, a
     * request may have arrived that is not read yet.
     */
    internal fun closeIdle() {
        val nowMillis = clock.nowMillis()
        for ((connection, state) in states.toList()) {
            val idleMillis = nowMillis - state.idleSinceMillis
            val isExpired = state.requests.isEmpty() && idleMillis >= idleTimeoutMillis()
            if (isExpired && state.isExpiring) {
                events.write("connection-idle", "idle_ms" to idleMillis)
                connection.close()
            }
            state.isExpiring = isExpired
        }
    }

    private companion object {
        const val CHECK_INTERVAL_MILLIS = 500L

        /** A configuration with a shorter timeout takes effect within this time. */
        const val MAX_QUIET_MILLIS = 5_000L
    }
}
