package cactusfold.bench.capacity

import cactusfold.bench.Fit
import cactusfold.bench.Point

/**
 * Row of docs/CAPACITY.md: a cost measured at several sizes and extrapolated to the target size.
 *
 * @property unit unit of the measured values.
 * @property per name of the size, such as `nodes`.
 * @property target size expected in two years.
 */
public data class Slope(
    public val name: String,
    public val unit: String,
    public val per: String,
    public val target: Double,
    public val points: List<Point>
) {
    /** Linear fit of [points]. */
    public val fit: Fit = Fit.of(points)

    /** Value extrapolated to [target]. */
    public val atTarget: Double get() = fit.at(target)

    /** Returns the figure as a row of the Markdown table with header [HEAD]. */
    public fun row(): String {
        val measured = points.joinToString("; ") { "${number(it.size)}: ${number(it.value)}" }
        val line = "${number(fit.intercept)} + ${number(fit.slope)} × $per"
        val residual = "%.0f %%".format(fit.worstResidual * PERCENT)
        return "| $name, $unit | $measured | $line | $residual | ${number(target)} $per | " +
            "**${number(atTarget)}** |"
    }

    public companion object {
        private const val PERCENT = 100
        private const val LARGE = 100.0

        /** Header of the Markdown table that contains each [row]. */
        public const val HEAD: String =
            "| what, unit | measured | fit | worst residual | target | at target |\n" +
                "|---|---|---|---|---|---|"

        private fun number(value: Double): String = when {
            value == 0.0 -> "0"
            kotlin.math.abs(value) >= LARGE -> "%,.0f".format(java.util.Locale.ROOT, value)
            else -> "%.3g".format(java.util.Locale.ROOT, value)
        }
    }
}
