package cactusfold.entry.upstream

/**
 * How long an upstream that owes answers has sent nothing at all.
 *
 * A connection to an upstream that has gone dark stays open: that no piece comes on any of its
 * connections is the only sign.
 */
public class Silence {
    private class Owed(val sinceMillis: Long, val onSilent: () -> Unit)

    private val owed = LinkedHashMap<Any, Owed>()
    private var heardAtMillis = Long.MIN_VALUE / 2

    /** Books that [send] went out; [onSilent] is called while the upstream counts as silent. */
    public fun asked(send: Any, nowMillis: Long, onSilent: () -> Unit) {
        owed[send] = Owed(nowMillis, onSilent)
    }

    /** Books that something came from the upstream, or that it could not be heard till now. */
    public fun heard(nowMillis: Long) {
        heardAtMillis = nowMillis
    }

    /** Books that nothing more is waited for from [send]. */
    public fun ended(send: Any) {
        owed.remove(send)
    }

    /** Returns for how long answers were owed and nothing came; 0 when none are owed. */
    public fun millis(nowMillis: Long): Long {
        val oldest = owed.values.firstOrNull() ?: return 0
        return (nowMillis - maxOf(oldest.sinceMillis, heardAtMillis)).coerceAtLeast(0)
    }

    /** Tells the sends that are owed an answer. */
    public fun tell() {
        owed.values.toList().forEach { it.onSilent() }
    }
}
