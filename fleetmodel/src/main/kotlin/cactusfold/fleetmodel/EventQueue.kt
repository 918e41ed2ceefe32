package cactusfold.fleetmodel

import java.util.PriorityQueue

/** Event queue on virtual time; events due at the same time run in insertion order. */
internal class EventQueue {
    private class Event(val atMillis: Double, val order: Long, val run: () -> Unit)

    private val events =
        PriorityQueue(compareBy<Event> { it.atMillis }.thenBy { it.order })
    private var nextOrder = 0L

    /** Current virtual time. */
    var nowMillis: Double = 0.0
        private set

    /** Schedules [run] in [millis] of virtual time. */
    fun after(millis: Double, run: () -> Unit) {
        events += Event(nowMillis + millis.coerceAtLeast(0.0), nextOrder++, run)
    }

    /** Runs all events that are due up to and including [untilMillis]. */
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
