package cactusfold.cli.logs

import io.vertx.core.json.DecodeException
import io.vertx.core.json.JsonObject

/**
 * Event line of an entry process's log.
 *
 * @property epochMillis wall clock of the VM; it may jump.
 * @property steadyMillis monotonic time since the VM's boot.
 */
public class LogLine(
    public val vm: String,
    public val epochMillis: Long,
    public val steadyMillis: Long,
    public val event: String,
    private val fields: JsonObject
) {
    /** Fields of the line other than those that every line has. */
    public val details: Map<String, String>
        get() = fields.map.filterKeys { it !in COMMON }.mapValues { (_, value) -> "$value" }

    /** Returns field [name] as text, or null if it is missing. */
    public fun text(name: String): String? = fields.getValue(name)?.toString()

    /** Returns field [name] as a number, or null if it is missing or not numeric. */
    public fun number(name: String): Long? = (fields.getValue(name) as? Number)?.toLong()

    /** Returns whether any field equals [value]. */
    public fun mentions(value: String): Boolean = fields.any { it.value == value }

    /** Returns the line as a JSON object. */
    public fun encode(): String = fields.encode()

    public companion object {
        private val COMMON = setOf("time", "steady_ms", "vm", "event")

        /**
         * Parses a line, or returns null if it is not an event. Text before the JSON object, such
         * as a supervisor's timestamp, is ignored.
         */
        public fun parse(text: String): LogLine? {
            val start = text.indexOf('{')
            if (start < 0) return null
            val fields = try {
                JsonObject(text.substring(start))
            } catch (_: DecodeException) {
                return null
            }
            val vm = fields.getValue("vm") as? String ?: return null
            val event = fields.getValue("event") as? String ?: return null
            val epochMillis = (fields.getValue("time") as? Number)?.toLong() ?: return null
            val steadyMillis = (fields.getValue("steady_ms") as? Number)?.toLong() ?: return null
            return LogLine(vm, epochMillis, steadyMillis, event, fields)
        }
    }
}
