package cactusfold.fleetmodel.command

import cactusfold.fleetmodel.Outcome
import cactusfold.fleetmodel.Pattern
import cactusfold.fleetmodel.Policy

/** SVG plot of responses per second by policy. */
internal object Plot {
    private const val WIDTH = 900
    private const val HEIGHT = 320
    private const val LEFT = 50
    private const val BOTTOM = 40
    private const val TOP = 30
    private val colors = listOf("#1b6ca8", "#c2571a", "#3d8b40", "#7a4fa3")

    /** Returns a plot of the mean responses per second of each policy, and of the arrivals. */
    fun svg(pattern: Pattern, outcomes: Map<Policy, List<Outcome>>): String {
        val arrivals = meanBySecond(outcomes.values.first().map { it.arrivalsBySecond })
        val lines = outcomes.entries.mapIndexed { i, (policy, runs) ->
            Triple(
                policy.name,
                meanBySecond(runs.map { it.responsesBySecond }),
                colors[
                    i %
                        colors.size
                ]
            )
        } + Triple("asked", arrivals, "#999999")
        val maxValue = lines.maxOf { it.second.max() }.coerceAtLeast(1.0)
        val series = lines.mapIndexed { i, (name, values, color) ->
            line(values, maxValue, color) + legend(i, name, color)
        }
        return """<svg xmlns="http://www.w3.org/2000/svg" width="$WIDTH" height="$HEIGHT" """ +
            """font-family="sans-serif" font-size="12">""" +
            """<rect width="100%" height="100%" fill="white"/>""" +
            """<text x="$LEFT" y="18">${pattern.name}: responses started per second</text>""" +
            axes(maxValue, arrivals.size) + series.joinToString("") + "</svg>\n"
    }

    private fun meanBySecond(runs: List<List<Int>>): List<Double> =
        runs.first().indices.map { second -> runs.map { it[second] }.average() }

    private fun x(second: Int, seconds: Int): Double =
        LEFT + second * (WIDTH - LEFT - BOTTOM) / (seconds - 1).coerceAtLeast(1).toDouble()

    private fun y(value: Double, maxValue: Double): Double =
        HEIGHT - BOTTOM - value / maxValue * (HEIGHT - BOTTOM - TOP)

    private fun line(values: List<Double>, maxValue: Double, color: String): String {
        val points = values.mapIndexed { second, value ->
            "%.1f,%.1f".format(x(second, values.size), y(value, maxValue))
        }
        return """<polyline fill="none" stroke="$color" points="${points.joinToString(" ")}"/>"""
    }

    private fun legend(index: Int, name: String, color: String): String {
        val x = LEFT + index * (WIDTH - LEFT) / (colors.size + 1)
        return """<text x="$x" y="${HEIGHT - 6}" fill="$color">$name</text>"""
    }

    private fun axes(maxValue: Double, seconds: Int): String {
        val baseline = y(0.0, maxValue)
        val right = x(seconds - 1, seconds)
        return """<line x1="$LEFT" y1="$baseline" x2="$right" y2="$baseline" stroke="black"/>""" +
            """<line x1="$LEFT" y1="$TOP" x2="$LEFT" y2="$baseline" stroke="black"/>""" +
            """<text x="4" y="${y(maxValue, maxValue) + 4}">%.0f</text>""".format(maxValue) +
            """<text x="${right - 30}" y="${baseline + 14}">$seconds s</text>"""
    }
}
