package cactusfold.cli.logs

/** Descriptions of log lines as sentences. */
internal object LineDescriptions {
    fun of(line: LogLine): String = when (line.event) {
        "over-rate" -> "workspace ${line.text("workspace")} is over its rate of " +
            "${line.text("rate_per_s")} tokens per second (burst ${line.text("burst")}); the " +
            "request needs ${line.text("tokens")} and may be retried after " +
            "${line.text("retry_after_ms")} ms"
        "send-limited" -> "upstream ${line.text("upstream")} accepts ${line.text("per_s")} " +
            "requests per second from all VMs together, and its next is due after " +
            "${line.text("retry_after_ms")} ms: the request ${line.text("end")}"
        "model-waited" -> waitDescription(line)
        "sent" -> "sent to upstream ${line.text("upstream")}, send ${line.text("send")}, with " +
            "${line.text("left_ms")} ms left; ${line.text("in_flight")} requests of this process " +
            "were in flight there"
        "send-failed" -> "upstream ${line.text("upstream")} did not complete send " +
            "${line.text("send")}: ${line.text("end")}"
        "request-ended" -> "ended as ${line.text("outcome")} after ${line.text("took_ms")} ms, " +
            "with configuration version ${line.text("config")}"
        "order" -> "order ${line.text("order")} to upstream ${line.text("upstream")}: " +
            "${line.text("reply")}"
        "model-loaded" -> "upstream ${line.text("upstream")} loaded ${line.text("model")} " +
            "from ${line.text("source")} in ${line.text("took_ms")} ms, expected " +
            "${line.text("expected_ms")} ms"
        "model-load-failed" -> "upstream ${line.text("upstream")} did not load " +
            "${line.text("model")} within ${line.text("took_ms")} ms"
        "model-missing" -> "upstream ${line.text("upstream")} answered that it has not loaded " +
            modelName(line)
        "order-withheld" -> "order ${line.text("order")} to upstream ${line.text("upstream")} " +
            "was not sent: it has no room for it"
        "model-not-placed" -> "no load was ordered for " + modelName(line) + ": " +
            obstacle(line.text("obstacle"))
        else -> line.event + line.details.entries.joinToString("") { " ${it.key}=${it.value}" }
    }

    private fun waitDescription(line: LogLine): String = "no upstream had loaded " +
        "${modelName(line)}; waited ${line.text("waited_ms")} ms, then: ${line.text("end")}"

    private fun modelName(line: LogLine): String =
        line.text("model") + line.text("adapter")?.let { " with adapter $it" }.orEmpty()

    private fun obstacle(name: String?): String = when (name) {
        "RUNNERS_BUSY" -> "the eligible runners were executing other orders"
        "STORE_LIMIT" -> "the limit of loads from the weight store was reached"
        "NO_ROOM" -> "all models on the runners were in use or requested"
        "TOO_LATE" -> "a load would end after the callers' deadlines, and too few more are expected"
        else -> "$name"
    }
}

/** Causes of request outcomes as sentences. */
internal object Causes {
    fun of(own: List<LogLine>, related: List<LogLine>): String {
        val outcome = own.lastOrNull { it.event == "request-ended" }?.text("outcome")
            ?: return "its end was not logged: the process ended first, or the line exceeded " +
                "the log's rate limit"
        return ofOutcome(outcome, own, related)
    }

    private fun limits(own: List<LogLine>): String {
        val limited = own.filter { it.event == "send-limited" && it.text("end") == "refused" }
        return limited.distinctBy { it.text("upstream") }
            .joinToString { "${it.text("upstream")} (${it.text("per_s")}/s)" }
    }

    private fun ofOutcome(outcome: String, own: List<LogLine>, related: List<LogLine>): String {
        val ended = if (outcome.startsWith(CUT_PREFIX)) "stream aborted" else "refused"
        return when (outcome.removePrefix(CUT_PREFIX)) {
            "over-rate" -> "$ended: the workspace exceeded its token rate"
            "upstreams-limited" ->
                "$ended: each upstream that could serve it had used up the " +
                    "limit that it states for all VMs: " + limits(own)
            "rate-unsure" ->
                "$ended: the coordinator that grants tokens of the workspace's " +
                    "rate could not be reached" +
                    precedingEvent(related, "coordinator-lost", "tokens-not-asked")
            "keys-unsure" ->
                "$ended: the configuration was too old to accept API keys" +
                    precedingEvent(related, "store-lost")
            "unknown-key" -> "$ended: the active configuration did not contain the API key"
            "key-withdrawn" ->
                "$ended: the API key was withdrawn while the request waited" +
                    precedingEvent(related, "config-in-force")
            "no-route" -> "$ended: the active configuration had no route for its host and path"
            "starting" -> "$ended: the process had no configuration yet"
            "stopping" -> "$ended: the process was stopping"
            "model-not-in-time" ->
                "$ended: no load of its model could complete in time" +
                    loadsOfModel(related)
            "crashes-upstreams" -> "$ended: similar requests have crashed upstreams"
            "all-full" -> "every upstream that could serve it was full or temporarily excluded"
            "upstreams-paused" ->
                "$ended: every upstream that could serve it had asked for a longer pause"
            "retry-budget" ->
                "not retried: the fleet's retry budget was exhausted" +
                    failure(own)
            "timed-out" -> "its deadline passed" + failure(own)
            "caller-left" -> "the caller closed the connection"
            "streamed" -> "answered" + modelWait(own, related)
            else -> (if (outcome.startsWith("answered")) "answered" else "failed") + failure(own)
        }
    }

    private fun modelWait(own: List<LogLine>, related: List<LogLine>): String {
        val waited = own.lastOrNull { it.event == "model-waited" } ?: return failure(own)
        return " after ${waited.text("waited_ms")} ms of waiting for its model" +
            loadsOfModel(related)
    }

    private fun loadsOfModel(related: List<LogLine>): String {
        val loaded = related.lastOrNull { it.event == "model-loaded" }
        val orders = related.count { it.event == "order" }
        val blocked = related.lastOrNull { it.event == "model-not-placed" }
        return when {
            loaded != null -> "; " + LineDescriptions.of(loaded)
            blocked != null -> "; " + LineDescriptions.of(blocked)
            orders > 0 -> "; $orders orders for its model were sent, but no load completed"
            else ->
                "; no order for its model was sent: no upstream had room, or the limit of loads " +
                    "from the weight store was reached"
        }
    }

    private fun failure(own: List<LogLine>): String = own.lastOrNull { it.event == "send-failed" }
        ?.let { "; " + LineDescriptions.of(it) }.orEmpty()

    private fun precedingEvent(related: List<LogLine>, vararg events: String): String =
        related.lastOrNull { it.event in events }
            ?.let { "; preceded by: " + LineDescriptions.of(it) }.orEmpty()

    /** Prefix of the outcome of a stream that was aborted, before the reason. */
    private const val CUT_PREFIX = "cut: "
}
