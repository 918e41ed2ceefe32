package cactusfold.cli.logs

import io.vertx.core.json.JsonObject

/** Returns an event line as parsed from the log of an entry process. */
internal fun logLine(
    vm: String,
    epochMillis: Long,
    steadyMillis: Long,
    event: String,
    vararg fields: Pair<String, Any>
): LogLine {
    val line = JsonObject().put("time", epochMillis).put("steady_ms", steadyMillis)
        .put("vm", vm).put("event", event)
    fields.forEach { (name, value) -> line.put(name, value) }
    return checkNotNull(LogLine.parse("12.345 supervisor " + line.encode()))
}
