package cactusfold.decisions.routing

import kotlin.math.pow

/**
 * The factor by which requests at all runners of a service take longer than estimated. The speeds
 * of single runners are learned relative to it. Otherwise an estimate that is too long for all of
 * them would make those that were used most look fast, and they would be used still more.
 *
 * @property observations number of requests it was learned from.
 */
public data class SpeedCalibration(public val factor: Double, public val observations: Int) {
    /** Returns the calibration after a request took [ratio] times as long as it was expected to. */
    public fun learned(ratio: Double): SpeedCalibration {
        val weight = maxOf(1.0 / (observations + 1), WEIGHT)
        val next = factor * SpeedLearning.bounded(ratio).pow(weight)
        return SpeedCalibration(SpeedLearning.boundedFactor(next), observations + 1)
    }

    public companion object {
        /** The calibration before anything was observed. */
        public val START: SpeedCalibration = SpeedCalibration(1.0, 0)

        /** Weight of one of many observations. */
        private const val WEIGHT = 0.05
    }
}

/** Learns the speed of one start of a runner from how long requests took there. */
public object SpeedLearning {
    /** Returns how many times longer than expected a request took. */
    public fun ratio(expectedMillis: Double, observedMillis: Double): Double =
        (observedMillis + SLACK_MILLIS) / (expectedMillis + SLACK_MILLIS)

    /**
     * Returns the factor after a request took [ratio] times as long as expected with [known], by
     * the present calibration of the service.
     */
    public fun learned(known: Double, ratio: Double): Double =
        boundedFactor(known * bounded(ratio).pow(WEIGHT))

    internal fun bounded(ratio: Double): Double = ratio.coerceIn(1 / MAX_RATIO, MAX_RATIO)

    internal fun boundedFactor(factor: Double): Double = factor.coerceIn(1 / MAX_FACTOR, MAX_FACTOR)

    /** Weight of one observation; the estimate of a single request is rough. */
    private const val WEIGHT = 0.1

    /** Keeps delays of the network from counting as speed where little is expected. */
    private const val SLACK_MILLIS = 20.0
    private const val MAX_RATIO = 4.0
    private const val MAX_FACTOR = 10.0
}
