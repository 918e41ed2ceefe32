package cactusfold.entry.callers

import cactusfold.entry.process.EventLog
import cactusfold.node.time.MonotonicClock
import io.vertx.core.http.HttpConnection
import kotlinx.coroutines.delay

/**
 * The open connections of callers. A connection is closed when it has had no request in progress
 * for the idle timeout; the timeout never ends a request that waits for its answer.
 *
 * @param idleTimeoutMillis the timeout in force.
 */
public class CallerConnections(
    private val clock: MonotonicClock,
    private val events: EventLog,
    private val idleTimeoutMillis: () -> Long
) {
    private val states = HashMap<HttpConnection, ConnectionState>()

    private class ConnectionState(var idleSinceMillis: Long) {
        var inProgress = 0
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
        states[connection]?.let { it.inProgress++ }
    }

    /** Records that the answer to a request on [connection] has been sent, or will not be. */
    public fun requestEnded(connection: HttpConnection) {
        val state = states[connection] ?: return
        state.inProgress--
        state.idleSinceMillis = clock.nowMillis()
    }

    /** Closes idle connections periodically, until cancelled. */
    public suspend fun watch() {
        while (true) {
            delay(CHECK_INTERVAL_MILLIS)
            closeIdle()
        }
    }

    private fun closeIdle() {
        val nowMillis = clock.nowMillis()
        val expired = states.filterValues {
            it.inProgress == 0 && nowMillis - it.idleSinceMillis >= idleTimeoutMillis()
        }
        for ((connection, state) in expired) {
            events.write("connection-idle", "idle_ms" to nowMillis - state.idleSinceMillis)
            connection.close()
        }
    }

    private companion object {
        const val CHECK_INTERVAL_MILLIS = 500L
    }
}
