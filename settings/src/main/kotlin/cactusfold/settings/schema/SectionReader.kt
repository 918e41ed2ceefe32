package cactusfold.settings.schema

/** Typed access to the values of a section, which must have passed validation. */
public class SectionReader(private val values: Map<String, String>) {
    /** All values by key. */
    public val all: Map<String, String> get() = values

    /** Returns the text of [key], or null if it is missing or blank. */
    public fun textOrNull(key: String): String? = values[key]?.takeIf { it.isNotBlank() }

    /** Returns the text of [key]. */
    public fun text(key: String): String = requireNotNull(values[key]) { "no value for $key" }

    /** Returns the integer of [key]. */
    public fun long(key: String): Long = text(key).toLong()

    /** Returns the integer of [key]. */
    public fun int(key: String): Int = text(key).toInt()

    /** Returns the number of [key]. */
    public fun double(key: String): Double = text(key).toDouble()

    /** Returns the flag of [key]. */
    public fun flag(key: String): Boolean = text(key).toBooleanStrict()

    /** Returns the comma-separated names of [key]; an empty list if it is missing. */
    public fun names(key: String): List<String> =
        values[key].orEmpty().split(',').map { it.trim() }.filter { it.isNotEmpty() }

    /** Returns the address of [key]. */
    public fun address(key: String): HostPort = HostPort.parse(text(key))
}

/** A numeric IP address and a port. */
public data class HostPort(public val host: String, public val port: Int) {
    override fun toString(): String = "$host:$port"

    public companion object {
        /** Parses `host:port`; the host may contain colons. */
        public fun parse(text: String): HostPort =
            HostPort(text.substringBeforeLast(':'), text.substringAfterLast(':').toInt())

        /** Parses `host:port` as [parse] does; null if [text] is anything else. */
        public fun parseOrNull(text: String): HostPort? {
            val port = text.substringAfterLast(':', "").toIntOrNull() ?: return null
            return HostPort(text.substringBeforeLast(':'), port)
        }
    }
}
