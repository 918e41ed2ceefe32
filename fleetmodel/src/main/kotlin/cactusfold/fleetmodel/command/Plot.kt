package cactusfold.fleetmodel.command

import cactusfold.fleetmodel.Outcome
import cactusfold.fleetmodel.Pattern
import cactusfold.fleetmodel.Policy

/** Draws what policies answered, second by second. */
internal object Plot {
    private const val WIDTH = 900
    private const val HEIGHT = 320
    private const val LEFT = 50
    private const val BOTTOM = 40
    private const val TOP = 30
    private val colors = listOf("#1b6ca8", "#c2571a", "#3d8b40", "#7a4fa3")

    /** Returns the plot: mean answers a second by policy, and the requests that arrived. */
    fun svg(pattern: Pattern, outcomes: Map<Policy, List<Outcome>>): String {
        val asked = mean(outcomes.values.first().map { it.askedBySecond })
        val lines = outcomes.entries.mapIndexed { i, (policy, runs) ->
            Triple(policy.name, mean(runs.map { it.answersBySecond }), colors[i % colors.size])
        } + Triple("asked", asked, "#999999")
        val most = lines.maxOf { it.second.max() }.coerceAtLeast(1.0)
        val drawn = lines.mapIndexed { i, (name, values, color) ->
            line(values, most, color) + legend(i, name, color)
        }
        return """<svg xmlns="http://www.w3.org/2000/svg" width="$WIDTH" height="$HEIGHT" """ +
            """font-family="sans-serif" font-size="12">""" +
            """<rect width="100%" height="100%" fill="white"/>""" +
            """<text x="$LEFT" y="18">${pattern.name}: answers begun a second</text>""" +
            axes(most, asked.size) + drawn.joinToString("") + "</svg>\n"
    }

    private fun mean(runs: List<List<Int>>): List<Double> =
        runs.first().indices.map { second -> runs.map { it[second] }.average() }

    private fun x(second: Int, seconds: Int): Double =
        LEFT + second * (WIDTH - LEFT - BOTTOM) / (seconds - 1).coerceAtLeast(1).toDouble()

    private fun y(value: Double, most: Double): Double =
        HEIGHT - BOTTOM - value / most * (HEIGHT - BOTTOM - TOP)

    private fun line(values: List<Double>, most: Double, color: String): String {
        val points = values.mapIndexed { second, value ->
            "%.1f,%.1f".format(x(second, values.size), y(value, most))
        }
        return """<polyline fill="none" stroke="$color" points="${points.joinToString(" ")}"/>"""
    }

    private fun legend(index: Int, name: String, color: String): String {
        val x = LEFT + index * (WIDTH - LEFT) / (colors.size + 1)
        return """<text x="$x" y="${HEIGHT - 6}" fill="$color">$name</text>"""
    }

    private fun axes(most: Double, seconds: Int): String {
        val ground = y(0.0, most)
        val right = x(seconds - 1, seconds)
        return """<line x1="$LEFT" y1="$ground" x2="$right" y2="$ground" stroke="black"/>""" +
            """<line x1="$LEFT" y1="$TOP" x2="$LEFT" y2="$ground" stroke="black"/>""" +
            """<text x="4" y="${y(most, most) + 4}">%.0f</text>""".format(most) +
            """<text x="${right - 30}" y="${ground + 14}">$seconds s</text>"""
    }
}
