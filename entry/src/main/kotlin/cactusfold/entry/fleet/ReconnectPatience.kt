package cactusfold.entry.fleet

/**
 * Decides how long a silent connection to the coordinator is kept. Connections that a coordinator
 * can't keep up with would otherwise be replaced again and again, by all members at once, which
 * costs it more than serving them.
 */
public class ReconnectPatience {
    private var startedAtMillis = 0L
    private var heardAtMillis = 0L
    private var replaced = 0

    /** Records that a connection is started, instead of the previous one if there was one. */
    public fun started(nowMillis: Long) {
        val wasStable = heardAtMillis - startedAtMillis >= STABLE_MILLIS
        replaced = if (wasStable || startedAtMillis == 0L) 0 else replaced + 1
        startedAtMillis = nowMillis
        heardAtMillis = nowMillis
    }

    /** Records that something was received on the connection. */
    public fun heard(nowMillis: Long) {
        heardAtMillis = nowMillis
    }

    /** Returns whether the connection has been silent for too long. */
    public fun isExhausted(nowMillis: Long): Boolean = nowMillis >= exhaustedAtMillis

    /** When the connection has been silent for too long unless something is received before. */
    public val exhaustedAtMillis: Long
        get() = heardAtMillis + (MIN_MILLIS shl replaced.coerceAtMost(MAX_DOUBLINGS)) + 1

    private companion object {
        /** Three notice intervals. */
        const val MIN_MILLIS = 1_300L
        const val MAX_DOUBLINGS = 2

        /** A connection that lasted this long did not fail for the coordinator's load. */
        const val STABLE_MILLIS = 5_000L
    }
}
