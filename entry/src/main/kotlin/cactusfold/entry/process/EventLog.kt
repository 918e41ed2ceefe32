package cactusfold.entry.process

import cactusfold.node.time.MonotonicClock
import io.vertx.core.json.JsonObject
import org.apache.logging.log4j.LogManager

/**
 * Writes decisions, with the request and the inputs that they concern, as structured log lines.
 *
 * Each kind of event is limited to [linesPerSecond]; further lines are dropped, and their number is
 * logged with the next line of that kind.
 */
public class EventLog(
    private val vm: String,
    private val clock: MonotonicClock,
    private val linesPerSecond: Int
) {
    private class Budget(var windowSecond: Long, var lines: Int, var droppedInWindow: Long)

    private val budgets = HashMap<String, Budget>()

    /** Total number of lines dropped by the rate limit. */
    public var droppedLines: Long = 0
        private set

    /** Logs an event of [kind] with [fields]; fields with null values are omitted. */
    public fun write(kind: String, vararg fields: Pair<String, Any?>) {
        val nowMillis = clock.nowMillis()
        val budget = budgets.getOrPut(kind) { Budget(0, 0, 0) }
        val second = nowMillis / MILLIS_PER_SECOND
        if (budget.windowSecond != second) {
            if (budget.droppedInWindow > 0) {
                emit(
                    nowMillis,
                    "log-lines-dropped",
                    arrayOf("of" to kind, "lines" to budget.droppedInWindow)
                )
            }
            budget.windowSecond = second
            budget.lines = 0
            budget.droppedInWindow = 0
        }
        if (budget.lines >= linesPerSecond) {
            budget.droppedInWindow++
            droppedLines++
            return
        }
        budget.lines++
        emit(nowMillis, kind, fields)
    }

    private fun emit(nowMillis: Long, kind: String, fields: Array<out Pair<String, Any?>>) {
        val line = JsonObject()
            .put("time", System.currentTimeMillis())
            .put("steady_ms", nowMillis)
            .put("vm", vm)
            .put("event", kind)
        for ((name, value) in fields) if (value != null) line.put(name, value)
        log.info(line.encode())
    }

    internal companion object {
        /** Name of the logger of events, whose messages are complete JSON objects. */
        const val LOGGER = "events"
        private const val MILLIS_PER_SECOND = 1_000
        private val log = LogManager.getLogger(LOGGER)
    }
}
