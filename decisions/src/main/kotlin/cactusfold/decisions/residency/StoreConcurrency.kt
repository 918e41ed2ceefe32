package cactusfold.decisions.residency

import kotlin.math.ceil
import kotlin.math.roundToInt

/**
 * Adaptive limit on concurrent loads from the weight store.
 *
 * Beyond the concurrency that the store sustains at full speed, all loads slow down together:
 * throughput stays the same and each load finishes later. A load that was slower than expected
 * gives an estimate of that concurrency. Loads at full speed while the limit was reached raise it
 * by one. [observe] lowers the limit before a slow load has ended.
 *
 * @param initialLimit limit until loads have been timed. A value above what the store sustains
 *   makes the first loads of a day late; a value below it leaves capacity unused for the time of
 *   one load for each raise.
 */
public class StoreConcurrency(initialLimit: Int = INITIAL_LIMIT) {
    private class Running(
        val sinceMillis: Long,
        val accumulatedAtStart: Double,
        val fullSpeedMillis: Long?
    )

    private val running = HashMap<String, Running>()

    /** Number of running loads, integrated over time. */
    private var accumulatedLoadMillis = 0.0
    private var accumulatedAtMillis = 0L
    private var fullSpeedLoads = 0
    private var hasSlowed = false

    /** Maximum number of concurrent loads. */
    public var limit: Int = initialLimit
        private set

    /**
     * Records that [runner] starts a load from the store.
     *
     * @param fullSpeedMillis its expected duration at full speed; null if [observe] is not to judge
     *   the load.
     */
    public fun began(runner: String, nowMillis: Long, fullSpeedMillis: Long? = null) {
        accumulate(nowMillis)
        running[runner] = Running(nowMillis, accumulatedLoadMillis, fullSpeedMillis)
    }

    /**
     * Lowers the limit if a load in progress should have ended at full speed. The load shows that
     * the store sustains fewer loads than have run beside it, but not yet how many fewer.
     */
    public fun observe(nowMillis: Long) {
        accumulate(nowMillis)
        for (load in running.values) {
            val fullSpeedMillis = load.fullSpeedMillis?.coerceAtLeast(1) ?: continue
            val tookMillis = nowMillis - load.sinceMillis
            val slowdown = tookMillis / fullSpeedMillis.toDouble()
            if (slowdown <= MIN_SLOWDOWN) continue
            val concurrency = (accumulatedLoadMillis - load.accumulatedAtStart) / tookMillis
            val sustainable = minOf(
                (concurrency / slowdown).roundToInt(),
                ceil(concurrency - LIMIT_SHORTFALL_LOADS).toInt() - 1
            )
            // One load may have stopped for a reason of its own, so it does not lower the limit to
            // a single load, which only the time of loads that have ended can show.
            if (sustainable in MIN_OBSERVED until limit) onSlowdown(sustainable, concurrency)
        }
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
         * Limit until loads have been timed, unless the caller states another.
         */
        const val INITIAL_LIMIT = 4

        /** Lowest limit that a load in progress gives evidence of. */
        const val MIN_OBSERVED = 2

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
