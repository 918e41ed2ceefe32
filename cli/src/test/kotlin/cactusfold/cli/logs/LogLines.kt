package cactusfold.cli.logs

import io.vertx.core.json.JsonObject

/** Builds a line as an entry process writes it. */
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
