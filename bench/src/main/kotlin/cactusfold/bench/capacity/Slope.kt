package cactusfold.bench.capacity

import cactusfold.bench.Fit
import cactusfold.bench.Point

/**
 * One figure of the capacity page: what was measured, against what, and its value at the target.
 *
 * @property unit of the measured value.
 * @property per name of the size.
 * @property target the size in two years.
 */
public data class Slope(
    public val name: String,
    public val unit: String,
    public val per: String,
    public val target: Double,
    public val points: List<Point>
) {
    /** The line through the points. */
    public val fit: Fit = Fit.of(points)

    /** The value at the target size. */
    public val atTarget: Double get() = fit.at(target)

    /** Returns the rows of a Markdown table. */
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

        /** Head of the table that [row] belongs to. */
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
