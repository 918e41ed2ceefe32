package cactusfold.cli.logs

/** Says in a sentence what a line records. */
internal object Sentences {
    fun of(line: LogLine): String = when (line.event) {
        "over-rate" -> "workspace ${line.text("workspace")} is over its rate of " +
            "${line.text("rate_per_s")} a second (burst ${line.text("burst")}); the request asks " +
            "for ${line.text("tokens")} and may come again after ${line.text("retry_after_ms")} ms"
        "model-waited" -> waited(line)
        "sent" -> "sent to upstream ${line.text("upstream")}, send ${line.text("send")}, with " +
            "${line.text("left_ms")} ms left; ${line.text("in_flight")} requests of this process " +
            "ran there"
        "send-failed" -> "upstream ${line.text("upstream")} gave no answer to send " +
            "${line.text("send")}: ${line.text("end")}"
        "request-ended" -> "ended as ${line.text("outcome")} after ${line.text("took_ms")} ms, " +
            "under configuration ${line.text("config")}"
        "order" -> "order ${line.text("order")} to upstream ${line.text("upstream")}: " +
            "${line.text("reply")}"
        "model-loaded" -> "upstream ${line.text("upstream")} has loaded ${line.text("model")} " +
            "from ${line.text("source")} in ${line.text("took_ms")} ms, expected " +
            "${line.text("expected_ms")} ms"
        "model-load-failed" -> "upstream ${line.text("upstream")} has not loaded " +
            "${line.text("model")} within ${line.text("took_ms")} ms"
        "model-not-placed" -> "nothing was ordered for " + named(line) + ": " +
            obstacle(line.text("obstacle"))
        else -> line.event + line.details.entries.joinToString("") { " ${it.key}=${it.value}" }
    }

    private fun waited(line: LogLine): String = "no upstream held model ${named(line)}; waited " +
        "${line.text("waited_ms")} ms, then: ${line.text("end")}"

    private fun named(line: LogLine): String =
        line.text("model") + line.text("adapter")?.let { " with adapter $it" }.orEmpty()

    private fun obstacle(name: String?): String = when (name) {
        "RUNNERS_BUSY" -> "the runners that could take it carried out other orders"
        "STORE_LIMIT" -> "the weight store carried no further load"
        "NO_ROOM" -> "what the runners held was in use or waited for"
        "TOO_LATE" -> "callers leave before a load is done, and too few come after them"
        else -> "$name"
    }
}

/** Names the cause of a request's end. */
internal object Causes {
    fun of(own: List<LogLine>, around: List<LogLine>): String {
        val outcome = own.lastOrNull { it.event == "request-ended" }?.text("outcome")
            ?: return "its end was not logged: the process ended first, or the line was over " +
                "the log's budget"
        return ofOutcome(outcome, own, around)
    }

    private fun ofOutcome(outcome: String, own: List<LogLine>, around: List<LogLine>): String {
        val ended = if (outcome.startsWith(CUT)) "broken off" else "refused"
        return when (outcome.removePrefix(CUT)) {
            "over-rate" -> "$ended: the workspace had spent its rate"
            "rate-unsure" ->
                "$ended: the coordinator that shares out the workspace's rate " +
                    "could not be asked" + because(around, "coordinator-lost", "tokens-not-asked")
            "keys-unsure" ->
                "$ended: the configuration was too old to trust its keys" +
                    because(around, "store-lost")
            "unknown-key" -> "$ended: the configuration in force has no such key"
            "key-withdrawn" ->
                "$ended: the key was withdrawn while the request waited" +
                    because(around, "config-in-force")
            "no-route" -> "$ended: the configuration in force has no route for host and path"
            "starting" -> "$ended: the process had no configuration yet"
            "stopping" -> "$ended: the process was stopping"
            "model-not-in-time" ->
                "$ended: no load of its model could finish in time" +
                    loadsOf(around)
            "crashes-upstreams" -> "$ended: requests like it have crashed upstreams"
            "all-full" -> "every upstream that could serve it was full or put aside"
            "retry-budget" ->
                "not sent again: the fleet's budget for repeats was spent" +
                    failure(own)
            "timed-out" -> "its time was up" + failure(own)
            "caller-left" -> "the caller closed the connection"
            "streamed" -> "answered" + delay(own, around)
            else -> (if (outcome.startsWith("answered")) "answered" else "failed") + failure(own)
        }
    }

    private fun delay(own: List<LogLine>, around: List<LogLine>): String {
        val waited = own.lastOrNull { it.event == "model-waited" } ?: return failure(own)
        return " after ${waited.text("waited_ms")} ms without its model" + loadsOf(around)
    }

    private fun loadsOf(around: List<LogLine>): String {
        val loaded = around.lastOrNull { it.event == "model-loaded" }
        val orders = around.count { it.event == "order" }
        val blocked = around.lastOrNull { it.event == "model-not-placed" }
        return when {
            loaded != null -> "; " + Sentences.of(loaded)
            blocked != null -> "; " + Sentences.of(blocked)
            orders > 0 -> "; $orders orders for it were sent, and no load had ended"
            else ->
                "; no order for it was sent: no upstream had room, or the loads from the " +
                    "weight store were at their limit"
        }
    }

    private fun failure(own: List<LogLine>): String =
        own.lastOrNull { it.event == "send-failed" }?.let { "; " + Sentences.of(it) }.orEmpty()

    private fun because(around: List<LogLine>, vararg events: String): String =
        around.lastOrNull { it.event in events }?.let { "; before it: " + Sentences.of(it) }
            .orEmpty()

    /** Before the reason for which a stream was broken off. */
    private const val CUT = "cut: "
}
