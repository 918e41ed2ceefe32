package cactusfold.entry.callers

import cactusfold.entry.process.EventLog
import cactusfold.node.time.MonotonicClock
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/** The caller of a request, who may have left after it has ended its output. */
public interface CallerPresence {
    /** Whether the request has been received completely. */
    public val isWhole: Boolean

    /** Writes to the caller, so that the connection of one that has left is reset and closed. */
    public fun probe()
}

/** A connection whose caller has ended its output. */
internal interface EndedInput {
    /** The requests whose answers have not been sent completely. */
    val requests: Collection<CallerConnections.OpenRequest>
    val isOpen: Boolean

    /** Whether something that was written waits to be sent. */
    val hasUnsent: Boolean

    fun close()
}

/**
 * Follows connections whose callers have ended their output. Such a caller may wait for its answers
 * or have left, which looks the same until something is written: the system of a caller that left
 * answers that with a reset, and the next write fails. So callers are probed while their requests
 * are in progress, and the connection is closed after the last answer.
 */
internal class EndedInputs(private val clock: MonotonicClock, private val events: EventLog) {
    private val added = Channel<EndedInput>(Channel.UNLIMITED)

    /** Follows [input] until its connection is closed. */
    fun add(input: EndedInput) {
        added.trySend(input)
    }

    /** Follows connections, until cancelled. */
    suspend fun watch(): Unit = coroutineScope {
        for (input in added) launch { follow(input) }
    }

    private suspend fun follow(input: EndedInput) {
        val endedAtMillis = clock.nowMillis()
        val ids = input.requests.mapNotNull { it.id }
        var unread = emptySet<CallerConnections.OpenRequest>()
        var probes = 0
        while (input.isOpen) {
            if (input.requests.isEmpty()) return closeAnswered(input)
            val unreadBefore = unread
            unread = input.requests.filterTo(mutableSetOf()) { it.caller?.isWhole == false }
            // What has arrived of a body is read within one interval; the rest will never arrive.
            if (unread.any { it in unreadBefore }) return input.close()
            if (!input.hasUnsent) input.requests.toList().forEach { it.caller?.probe() }
            if (probes == PROBES_BEFORE_LOG) recordHalfClose(ids, endedAtMillis)
            delay(if (probes++ == 0) FIRST_INTERVAL_MILLIS else INTERVAL_MILLIS)
        }
    }

    private suspend fun closeAnswered(input: EndedInput) {
        // A request that follows on the connection is taken up meanwhile.
        delay(FIRST_INTERVAL_MILLIS)
        if (input.requests.isEmpty()) input.close() else add(input)
    }

    private fun recordHalfClose(ids: List<String>, endedAtMillis: Long): Unit = events.write(
        "caller-half-closed",
        "requests" to ids.joinToString(","),
        "after_ms" to clock.nowMillis() - endedAtMillis
    )

    private companion object {
        const val FIRST_INTERVAL_MILLIS = 50L

        /** Work for a caller that leaves later ends after two probes, within half a second. */
        const val INTERVAL_MILLIS = 200L

        /** A caller that left is known by the second probe, after the reset that the first brings. */
        const val PROBES_BEFORE_LOG = 2
    }
}
