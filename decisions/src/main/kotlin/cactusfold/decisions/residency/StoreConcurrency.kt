package cactusfold.decisions.residency

import kotlin.math.roundToInt

/**
 * Learns how many loads the weight store carries at full speed at once.
 *
 * Beyond that number all loads slow down together, so the store brings no more weights and each
 * comes later. A load that took longer than its weights tells the number; loads at full speed while
 * as many ran as are allowed tell that there may be room for another.
 */
public class StoreConcurrency {
    private class Running(val sinceMillis: Long, val loadMillisBefore: Double)

    private val running = HashMap<String, Running>()
    private var loadMillis = 0.0
    private var accumulatedAtMillis = 0L
    private var fullSpeedLoads = 0
    private var hasSlowed = false

    /** Loads that may run at once. */
    public var limit: Int = INITIAL_LIMIT
        private set

    /** Books that [runner] begins a load from the store. */
    public fun began(runner: String, nowMillis: Long) {
        accumulate(nowMillis)
        running[runner] = Running(nowMillis, loadMillis)
    }

    /** Books that the load on [runner] failed, or that nothing is known of its end. */
    public fun dropped(runner: String, nowMillis: Long) {
        accumulate(nowMillis)
        running.remove(runner)
    }

    /** Books that the load on [runner] is done; at full speed it would have taken [fullSpeedMillis]. */
    public fun ended(runner: String, fullSpeedMillis: Long, nowMillis: Long) {
        accumulate(nowMillis)
        val load = running.remove(runner) ?: return
        val tookMillis = nowMillis - load.sinceMillis
        if (tookMillis <= 0) return
        val concurrency = (loadMillis - load.loadMillisBefore) / tookMillis
        val slowdown = tookMillis / fullSpeedMillis.coerceAtLeast(1).toDouble()
        when {
            slowdown > MIN_SLOWDOWN -> onSlowdown(
                (concurrency / slowdown).roundToInt(),
                concurrency
            )
            concurrency > limit - HALF -> onFullSpeed()
        }
    }

    private fun onSlowdown(sustainable: Int, concurrency: Double) {
        // A load that was slow all by itself says nothing about the store.
        if (concurrency < MIN_CONCURRENCY) return
        limit = sustainable.coerceIn(1, limit)
        hasSlowed = true
        fullSpeedLoads = 0
    }

    private fun onFullSpeed() {
        fullSpeedLoads++
        if (hasSlowed && fullSpeedLoads < LOADS_BEFORE_PROBE) return
        limit = (limit + 1).coerceAtMost(MAX_LIMIT)
        fullSpeedLoads = 0
    }

    /** Adds up the time of all loads, so that the mean number beside one of them is known. */
    private fun accumulate(nowMillis: Long) {
        loadMillis += running.size.toDouble() * (nowMillis - accumulatedAtMillis)
        accumulatedAtMillis = nowMillis
    }

    private companion object {
        /** Until loads have been timed; too many at first cost no weights, only time. */
        const val INITIAL_LIMIT = 4

        /** A guard against measurements that make no sense: one for each runner of a large zone. */
        const val MAX_LIMIT = 64

        /** A load that takes so many times longer than its weights was slowed by others. */
        const val MIN_SLOWDOWN = 1.15
        const val HALF = 0.5
        const val MIN_CONCURRENCY = 1.5

        /** Loads at full speed after which one more is tried again. */
        const val LOADS_BEFORE_PROBE = 16
    }
}
