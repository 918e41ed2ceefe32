package cactusfold.bench

import kotlin.math.abs

/** Value measured at one size. */
public data class Point(public val size: Double, public val value: Double)

/**
 * Linear fit of measurements by least squares of the relative error.
 *
 * @property worstResidual largest relative deviation of a point from the line.
 */
public data class Fit(
    public val intercept: Double,
    public val slope: Double,
    public val worstResidual: Double
) {
    /** Returns the line's value at [size]. */
    public fun at(size: Double): Double = intercept + slope * size

    public companion object {
        /** Fits [points], weighted by the inverse square of their values so small ones count. */
        public fun of(points: List<Point>): Fit {
            require(points.size >= MIN_POINTS) { "a slope needs at least $MIN_POINTS sizes" }
            val weights = points.map { 1 / (it.value * it.value).coerceAtLeast(TINY) }
            val total = weights.sum()
            val meanSize = points.indices.sumOf { weights[it] * points[it].size } / total
            val meanValue = points.indices.sumOf { weights[it] * points[it].value } / total
            val covariance = points.indices.sumOf {
                weights[it] * (points[it].size - meanSize) * (points[it].value - meanValue)
            }
            val variance = points.indices.sumOf {
                weights[it] * (points[it].size - meanSize) * (points[it].size - meanSize)
            }
            val slope = covariance / variance
            val intercept = meanValue - slope * meanSize
            val worst = points.maxOf {
                abs(intercept + slope * it.size - it.value) / it.value.coerceAtLeast(TINY)
            }
            return Fit(intercept, slope, worst)
        }

        private const val MIN_POINTS = 4
        private const val TINY = 1e-12
    }
}
