package cactusfold.decisions.queue

import kotlin.math.exp
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * Work per second that is asked for, by priority, as a moving average. It tells how much of the
 * capacity is left to a priority by the more urgent requests that are still to come.
 */
public data class OfferedWork(
    private val perSecond: PersistentMap<Int, Double> = persistentMapOf(),
    private val atMillis: Long = 0
) {
    /** Returns the average after the arrival of a request that needs [work]. */
    public fun arrived(priority: Int, work: Long, nowMillis: Long): OfferedWork {
        val decay = decay(nowMillis)
        val aged = perSecond.mapValues { (_, rate) -> rate * decay }
        val rate = (aged[priority] ?: 0.0) + work / WINDOW_SECONDS
        return OfferedWork(
            persistentMapOf<Int, Double>().putAll(aged + (priority to rate)),
            nowMillis
        )
    }

    /** Returns the work per second of requests that are more urgent than [priority]. */
    public fun perSecondBefore(priority: Int, nowMillis: Long): Double =
        perSecond.entries.sumOf { if (it.key < priority) it.value else 0.0 } * decay(nowMillis)

    private fun decay(nowMillis: Long): Double =
        exp(-(nowMillis - atMillis).coerceAtLeast(0) / MILLIS_PER_SECOND / WINDOW_SECONDS)

    private companion object {
        /** Longer than a chance cluster of arrivals, and shorter than the time limits. */
        const val WINDOW_SECONDS = 4.0
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
