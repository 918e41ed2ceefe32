package cactusfold.entry.fuzz

/** A script that broke [rule]. */
internal class FuzzFinding(val rule: FuzzRule, val script: CallerScript, private val text: String) {
    override fun toString(): String = "seed ${script.seed}, ${script.mutations}: $text\n" +
        "  sent: ${escaped(script.text)}"

    private fun escaped(text: String): String = buildString {
        for (c in text) {
            when (c) {
                '\r' -> append("\\r")
                '\n' -> append("\\n")
                in ' '..'~' -> append(c)
                else -> append("\\x%02x".format(c.code))
            }
        }
    }
}

/** The findings of some scripts, with numbers of what was sent and served. */
internal class FuzzTotals(
    val findings: List<FuzzFinding>,
    val connections: Int,
    val requests: Int,
    val servable: Int,
    val served: Int,
    val unserved: Map<String, Int>
) {
    companion object {
        fun of(checks: List<Pair<CallerScript, FuzzCheck>>): FuzzTotals = FuzzTotals(
            checks.flatMap { (script, check) ->
                FuzzRule.values().mapNotNull { rule ->
                    check.broken(rule)?.let { FuzzFinding(rule, script, it) }
                }
            },
            checks.size,
            checks.sumOf { it.first.requests },
            checks.sumOf { it.second.servable },
            checks.sumOf { it.second.served },
            checks.flatMap { it.second.unserved }.groupingBy { it }.eachCount()
        )
    }
}

/** The result of a run; [errors] are the lines at ERROR of the log. */
internal class FuzzReport(
    private val totals: List<FuzzTotals>,
    val largestBodyStatus: Int,
    val failedTasks: List<String>,
    val errors: List<String>
) {
    val servable: Int = totals.sumOf { it.servable }
    val served: Int = totals.sumOf { it.served }

    private val unserved = totals.flatMap { it.unserved.entries }
        .groupBy({ it.key }, { it.value }).mapValues { it.value.sum() }

    /** Returns what broke [rule]: the first findings, and how many there are by their changes. */
    fun describe(rule: FuzzRule): String? {
        val findings = totals.flatMap { it.findings }.filter { it.rule == rule }
        if (findings.isEmpty()) return null
        val counts = findings.groupingBy { it.script.mutations }.eachCount()
            .entries.sortedByDescending { it.value }.take(MAX_SHOWN)
        return "$rule broken by ${findings.size} connections\n$counts\n" +
            findings.take(MAX_SHOWN).joinToString("\n")
    }

    override fun toString(): String = "${totals.sumOf {
        it.requests
    }} requests on ${totals.sumOf { it.connections }} connections, " +
        "$servable are whole and have a route, $served were served; other answers: $unserved"

    private companion object {
        const val MAX_SHOWN = 12
    }
}
