package cactusfold.entry.callers

import cactusfold.entry.process.EventLog
import cactusfold.node.time.MonotonicClock
import io.vertx.core.http.HttpConnection
import kotlinx.coroutines.delay

/**
 * The open connections of callers. A connection is closed when it has had no request in progress
 * for the idle timeout; the timeout never ends a request that waits for its answer.
 *
 * @param idleTimeoutMillis the timeout in force; also for the sending of a complete answer.
 * @param cut closes a connection without sending what is left.
 */
public class CallerConnections(
    private val clock: MonotonicClock,
    private val events: EventLog,
    private val idleTimeoutMillis: () -> Long,
    private val cut: (HttpConnection) -> Unit
) {
    private val states = HashMap<HttpConnection, ConnectionState>()

    private class ConnectionState(var idleSinceMillis: Long) {
        var inProgress = 0

        /** When an answer ended that has not been sent completely; null if there is none. */
        var sendingSinceMillis: Long? = null

        /** Whether the connection was found idle by the last check. */
        var isExpiring = false
    }

    /** Number of requests whose answers have not been sent completely. */
    public val inProgress: Int get() = states.values.sumOf { it.inProgress }

    /** Registers [connection] until it is closed. */
    public fun opened(connection: HttpConnection) {
        states[connection] = ConnectionState(clock.nowMillis())
        connection.closeHandler { states -= connection }
    }

    /** Records that a request has begun on [connection]. */
    public fun requestStarted(connection: HttpConnection) {
        val state = states[connection] ?: return
        state.inProgress++
        state.isExpiring = false
    }

    /** Records that the answer to a request on [connection] is complete, but for its sending. */
    public fun answerEnded(connection: HttpConnection) {
        states[connection]?.sendingSinceMillis = clock.nowMillis()
    }

    /** Records that the answer to a request on [connection] has been sent, or will not be. */
    public fun requestEnded(connection: HttpConnection) {
        val state = states[connection] ?: return
        state.sendingSinceMillis = null
        state.inProgress--
        state.idleSinceMillis = clock.nowMillis()
    }

    /** Closes idle connections periodically, until cancelled. */
    public suspend fun watch() {
        while (true) {
            delay(CHECK_INTERVAL_MILLIS)
            closeIdle()
            cutUnread()
        }
    }

    /** Cuts answers that their callers do not read, since these occupy memory. */
    internal fun cutUnread() {
        val nowMillis = clock.nowMillis()
        for ((connection, state) in states.toList()) {
            val sendingMillis = nowMillis - (state.sendingSinceMillis ?: continue)
            if (sendingMillis < idleTimeoutMillis()) continue
            events.write("connection-unread", "sending_ms" to sendingMillis)
            cut(connection)
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
            val isExpired = state.inProgress == 0 && idleMillis >= idleTimeoutMillis()
            if (isExpired && state.isExpiring) {
                events.write("connection-idle", "idle_ms" to idleMillis)
                connection.close()
            }
            state.isExpiring = isExpired
        }
    }

    private companion object {
        const val CHECK_INTERVAL_MILLIS = 500L
    }
}
