package cactusfold.entry.callers

import cactusfold.ports.serving.CallerLimits

/** Limits on the connections of callers as they are in force; they may change. */
public interface ConnectionLimits {
    /** How long a connection may be silent without a request, or an answer unread. */
    public val idleMillis: Long

    /** How long a head may take from its first byte. */
    public val headMillis: Long

    /** Maximum size of a request line, and of the header fields of a request. */
    public val headMaxBytes: Int
}

/**
 * The limits that the operator [configured]; null while no configuration is known. Callers keep
 * within the configured timeouts by their own clocks, without the delays on the way, and reuse
 * connections until shortly before they expire; so the timeouts in force are longer.
 */
public class ConfiguredLimits(private val configured: () -> CallerLimits?) : ConnectionLimits {
    override val idleMillis: Long
        get() = withTolerance(configured()?.idleTimeoutMillis ?: UNCONFIGURED_IDLE_MILLIS)

    override val headMillis: Long
        get() = withTolerance(configured()?.headerTimeoutMillis ?: UNCONFIGURED_HEAD_MILLIS)

    override val headMaxBytes: Int
        get() = configured()?.headerMaxBytes ?: UNCONFIGURED_HEAD_MAX_BYTES

    private fun withTolerance(millis: Long): Long = (millis * TIMEOUT_FACTOR).toLong()

    private companion object {
        const val TIMEOUT_FACTOR = 1.2
        const val UNCONFIGURED_IDLE_MILLIS = 12_500L
        const val UNCONFIGURED_HEAD_MILLIS = 3_000L
        const val UNCONFIGURED_HEAD_MAX_BYTES = 16_384
    }
}
