package cactusfold.cli.logs

/** Explanation of one request from the logs. */
public sealed interface Explanation {
    /** The logs contain no line of the request. */
    public data object Unknown : Explanation

    /**
     * @property steps the request's own lines and related events of its VMs, its upstreams and its
     *     model, in order of time.
     * @property cause sentence that explains the outcome.
     */
    public data class Found(public val steps: List<Step>, public val cause: String) : Explanation
}

/** Description of an event and its time in milliseconds since the request arrived. */
public data class Step(public val afterMillis: Long, public val vm: String, public val text: String)

/** Explains requests from the merged logs of all processes. */
public class Explainer(private val log: MergedLog) {
    public fun explain(id: String): Explanation {
        val own = log.lines.filter { it.line.text("request") == id }
        if (own.isEmpty()) return Explanation.Unknown
        val end = own.lastOrNull { it.line.event == "request-ended" }
        val tookMillis = end?.line?.number("took_ms") ?: 0
        val fromMillis = minOf(own.first().atMillis, (end ?: own.last()).atMillis - tookMillis)
        val untilMillis = own.last().atMillis
        val related = relatedLines(own, fromMillis, untilMillis)
        val steps = (own + related).sortedBy { it.atMillis }
            .map { Step(it.atMillis - fromMillis, it.line.vm, LineDescriptions.of(it.line)) }
        return Explanation.Found(steps, Causes.of(own.map { it.line }, related.map { it.line }))
    }

    private fun relatedLines(
        own: List<PlacedLine>,
        fromMillis: Long,
        untilMillis: Long
    ): List<PlacedLine> {
        val vms = own.mapTo(mutableSetOf()) { it.line.vm }
        val upstreams = own.mapNotNullTo(mutableSetOf()) { it.line.text("upstream") }
        val model = own.firstNotNullOfOrNull { it.line.text("model") }
        val during = log.lines.filter { it.atMillis in fromMillis - LOOKBACK_MILLIS..untilMillis }
        val processEvents = during.filter { it.line.event in PROCESS_EVENTS && it.line.vm in vms }
        val upstreamEvents = during.filter {
            it.line.event in UPSTREAM_EVENTS && it.line.text("upstream") in upstreams
        }.distinctBy { it.line.event to it.line.text("upstream") }
        val loads = if (own.none { it.line.event == "model-waited" }) {
            emptyList()
        } else {
            during.filter { model != null && concerns(it.line, model) }
        }
        return processEvents + upstreamEvents + loads
    }

    private fun concerns(line: LogLine, model: String): Boolean = when (line.event) {
        "order" -> line.text("order")?.let { "model=$model)" in it || "model=$model," in it } ==
            true
        "model-loaded", "model-load-failed", "model-not-placed" -> line.text("model") == model
        else -> false
    }

    private companion object {
        /** Time before a request's arrival in which events may explain its outcome. */
        const val LOOKBACK_MILLIS = 3_000L
        val PROCESS_EVENTS = setOf(
            "config-in-force", "store-lost", "store-regained", "coordinator-lost",
            "tokens-not-asked", "lease-taken", "lease-lost", "process-stopping", "process-start"
        )
        val UPSTREAM_EVENTS = setOf(
            "upstream-draining",
            "upstream-leaving",
            "upstream-gone",
            "upstream-unreadable"
        )
    }
}
