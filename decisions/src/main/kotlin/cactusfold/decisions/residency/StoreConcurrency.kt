package cactusfold.decisions.residency

import kotlin.math.roundToInt

/**
 * Adaptive limit on concurrent loads from the weight store.
 *
 * Beyond the concurrency that the store sustains at full speed, all loads slow down together:
 * throughput stays the same and each load finishes later. A load that was slower than expected
 * gives an estimate of that concurrency. Loads at full speed while the limit was reached raise it
 * by one.
 */
public class StoreConcurrency {
    private class Running(val sinceMillis: Long, val accumulatedAtStart: Double)

    private val running = HashMap<String, Running>()

    /** Number of running loads, integrated over time. */
    private var accumulatedLoadMillis = 0.0
    private var accumulatedAtMillis = 0L
    private var fullSpeedLoads = 0
    private var hasSlowed = false

    /** Maximum number of concurrent loads. */
    public var limit: Int = INITIAL_LIMIT
        private set

    /** Records that [runner] starts a load from the store. */
    public fun began(runner: String, nowMillis: Long) {
        accumulate(nowMillis)
        running[runner] = Running(nowMillis, accumulatedLoadMillis)
    }

    /** Records that the load on [runner] failed or has an unknown outcome; it is not timed. */
    public fun dropped(runner: String, nowMillis: Long) {
        accumulate(nowMillis)
        running.remove(runner)
    }

    /**
     * Records that the load on [runner] is done.
     *
     * @param fullSpeedMillis its expected duration at full speed.
     */
    public fun ended(runner: String, fullSpeedMillis: Long, nowMillis: Long) {
        accumulate(nowMillis)
        val load = running.remove(runner) ?: return
        val tookMillis = nowMillis - load.sinceMillis
        if (tookMillis <= 0) return
        val concurrency = (accumulatedLoadMillis - load.accumulatedAtStart) / tookMillis
        val slowdown = tookMillis / fullSpeedMillis.coerceAtLeast(1).toDouble()
        when {
            slowdown > MIN_SLOWDOWN -> onSlowdown(
                (concurrency / slowdown).roundToInt(),
                concurrency
            )
            concurrency > limit - LIMIT_SHORTFALL_LOADS -> onFullSpeed()
        }
    }

    private fun onSlowdown(sustainable: Int, concurrency: Double) {
        // A slow load without concurrent loads is no evidence of contention in the store.
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

    /** Integrates the number of running loads over time, to derive a load's mean concurrency. */
    private fun accumulate(nowMillis: Long) {
        accumulatedLoadMillis += running.size.toDouble() * (nowMillis - accumulatedAtMillis)
        accumulatedAtMillis = nowMillis
    }

    private companion object {
        /**
         * Used until loads have been timed. Too high a value only delays loads, at equal
         * throughput.
         */
        const val INITIAL_LIMIT = 4

        /** Guard against implausible measurements: one load per runner of a large zone. */
        const val MAX_LIMIT = 64

        /** Ratio of actual to expected duration above which a load was slowed down by others. */
        const val MIN_SLOWDOWN = 1.15

        /** Loads by which the mean concurrency may fall short of a limit that counts as reached. */
        const val LIMIT_SHORTFALL_LOADS = 0.5

        /** Mean concurrency below which a slow load is not attributed to other loads. */
        const val MIN_CONCURRENCY = 1.5

        /** Loads at full speed, after a slowdown, before the limit is raised again. */
        const val LOADS_BEFORE_PROBE = 16
    }
}
