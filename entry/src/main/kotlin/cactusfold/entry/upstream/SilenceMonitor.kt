package cactusfold.entry.upstream

/**
 * How long an upstream that owes answers has sent nothing at all.
 *
 * A connection to an upstream that has gone dark stays open: that no piece comes on any of its
 * connections is the only sign.
 */
public class SilenceMonitor {
    private class PendingSend(val sinceMillis: Long, val onSilent: () -> Unit)

    private val pending = LinkedHashMap<Any, PendingSend>()
    private var receivedAtMillis = Long.MIN_VALUE / 2

    /** Books that [send] went out; [onSilent] is called while the upstream counts as silent. */
    public fun sendStarted(send: Any, nowMillis: Long, onSilent: () -> Unit) {
        pending[send] = PendingSend(nowMillis, onSilent)
    }

    /** Books that something came from the upstream, or that it could not be heard till now. */
    public fun dataReceived(nowMillis: Long) {
        receivedAtMillis = nowMillis
    }

    /** Books that nothing more is waited for from [send]. */
    public fun sendEnded(send: Any) {
        pending.remove(send)
    }

    /** Returns for how long answers were owed and nothing came; 0 when none are owed. */
    public fun silentMillis(nowMillis: Long): Long {
        val oldest = pending.values.firstOrNull() ?: return 0
        return (nowMillis - maxOf(oldest.sinceMillis, receivedAtMillis)).coerceAtLeast(0)
    }

    /** Tells the sends that are owed an answer. */
    public fun notifyPending() {
        pending.values.toList().forEach { it.onSilent() }
    }
}
