package cactusfold.fleetmodel

import java.util.PriorityQueue

/** Virtual time: what is due runs in order of its moment, and in the order added within one. */
internal class EventQueue {
    private class Event(val atMillis: Double, val order: Long, val run: () -> Unit)

    private val events =
        PriorityQueue(compareBy<Event> { it.atMillis }.thenBy { it.order })
    private var added = 0L

    /** The moment that has been reached. */
    var nowMillis: Double = 0.0
        private set

    /** Runs [run] after [millis]. */
    fun after(millis: Double, run: () -> Unit) {
        events += Event(nowMillis + millis.coerceAtLeast(0.0), added++, run)
    }

    /** Runs everything that is due until [untilMillis]. */
    fun runUntil(untilMillis: Double) {
        while (true) {
            val next = events.peek() ?: break
            if (next.atMillis > untilMillis) break
            events.remove()
            nowMillis = next.atMillis
            next.run()
        }
    }
}
