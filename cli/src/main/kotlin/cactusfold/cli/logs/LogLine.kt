package cactusfold.cli.logs

import io.vertx.core.json.DecodeException
import io.vertx.core.json.JsonObject

/**
 * One line that an entry process has logged.
 *
 * @property epochMillis time of day on that VM; it may jump.
 * @property steadyMillis the VM's clock since its boot; it does not jump.
 */
public class LogLine(
    public val vm: String,
    public val epochMillis: Long,
    public val steadyMillis: Long,
    public val event: String,
    private val fields: JsonObject
) {
    /** The line's fields, without those that every line has. */
    public val details: Map<String, String>
        get() = fields.map.filterKeys { it !in COMMON }.mapValues { (_, value) -> "$value" }

    /** Returns field [name] as text, or null. */
    public fun text(name: String): String? = fields.getValue(name)?.toString()

    /** Returns field [name] as a number, or null. */
    public fun number(name: String): Long? = (fields.getValue(name) as? Number)?.toLong()

    /** Returns whether a field has exactly this [value]. */
    public fun mentions(value: String): Boolean = fields.any { it.value == value }

    /** Returns the line as a JSON object. */
    public fun encode(): String = fields.encode()

    public companion object {
        private val COMMON = setOf("time", "steady_ms", "vm", "event")

        /**
         * Reads a line, or returns null when it is no event. Text before the object, such as a
         * supervisor's time stamp, is passed over.
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
