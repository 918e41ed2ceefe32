package cactusfold.cli.logs

/** What the logs say about one request. */
public sealed interface Explanation {
    /** No line names the request. */
    public data object Unknown : Explanation

    /**
     * @property steps what happened, in order: the request's own lines, and what its VM and its
     *     upstreams went through meanwhile.
     * @property cause why it ended as it did, in a sentence.
     */
    public data class Found(public val steps: List<Step>, public val cause: String) : Explanation
}

/** A sentence and its moment, in milliseconds after the request had arrived. */
public data class Step(public val afterMillis: Long, public val vm: String, public val text: String)

/** Explains requests from the lines of all processes. */
public class Explainer(private val log: MergedLog) {
    /** Explains the request with [id]. */
    public fun explain(id: String): Explanation {
        val own = log.lines.filter { it.line.text("request") == id }
        if (own.isEmpty()) return Explanation.Unknown
        val end = own.lastOrNull { it.line.event == "request-ended" }
        val tookMillis = end?.line?.number("took_ms") ?: 0
        val fromMillis = minOf(own.first().atMillis, (end ?: own.last()).atMillis - tookMillis)
        val untilMillis = own.last().atMillis
        val around = surroundings(own, fromMillis, untilMillis)
        val steps = (own + around).sortedBy { it.atMillis }
            .map { Step(it.atMillis - fromMillis, it.line.vm, Sentences.of(it.line)) }
        return Explanation.Found(steps, Causes.of(own.map { it.line }, around.map { it.line }))
    }

    private fun surroundings(
        own: List<PlacedLine>,
        fromMillis: Long,
        untilMillis: Long
    ): List<PlacedLine> {
        val vms = own.mapTo(mutableSetOf()) { it.line.vm }
        val upstreams = own.mapNotNullTo(mutableSetOf()) { it.line.text("upstream") }
        val model = own.firstNotNullOfOrNull { it.line.text("model") }
        val during = log.lines.filter { it.atMillis in fromMillis - BEFORE_MILLIS..untilMillis }
        val believed = during.filter { it.line.event in BELIEFS && it.line.vm in vms }
        val left = during.filter {
            it.line.event in UPSTREAM_EVENTS && it.line.text("upstream") in upstreams
        }.distinctBy { it.line.event to it.line.text("upstream") }
        val loads = if (own.none { it.line.event == "model-waited" }) {
            emptyList()
        } else {
            during.filter { model != null && concerns(it.line, model) }
        }
        return believed + left + loads
    }

    private fun concerns(line: LogLine, model: String): Boolean = when (line.event) {
        "order" -> line.text("order")?.let { "model=$model)" in it || "model=$model," in it } ==
            true
        "model-loaded", "model-load-failed", "model-not-placed" -> line.text("model") == model
        else -> false
    }

    private companion object {
        /** How long before a request arrived something may have happened that explains its end. */
        const val BEFORE_MILLIS = 3_000L
        val BELIEFS = setOf(
            "config-in-force", "store-lost", "store-regained", "coordinator-lost",
            "tokens-not-asked", "lease-taken", "lease-lost", "process-stopping", "process-start"
        )
        val UPSTREAM_EVENTS = setOf("upstream-draining", "upstream-gone", "upstream-unreadable")
    }
}
