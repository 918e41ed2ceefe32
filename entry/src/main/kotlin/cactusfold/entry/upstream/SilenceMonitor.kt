package cactusfold.entry.upstream

/**
 * Measures how long an upstream with outstanding requests has sent no data on any connection.
 *
 * Connections to an upstream that has hung or become unreachable can stay open without an error, so
 * the absence of data on all of them is the only sign of the failure.
 */
public class SilenceMonitor {
    private class PendingSend(val sinceMillis: Long, val onSilent: () -> Unit)

    private val pending = LinkedHashMap<Any, PendingSend>()

    /** When data arrived last, or none could be read until then. */
    public var receivedAtMillis: Long = Long.MIN_VALUE / 2
        private set

    /** Called when a send begins while none is outstanding. */
    public var onFirstPending: () -> Unit = {}

    /** Whether answers are outstanding. */
    public val isPending: Boolean get() = pending.isNotEmpty()

    /** Records that [send] was sent; [onSilent] is called while the upstream counts as silent. */
    public fun sendStarted(send: Any, nowMillis: Long, onSilent: () -> Unit) {
        pending[send] = PendingSend(nowMillis, onSilent)
        if (pending.size == 1) onFirstPending()
    }

    /** Restarts the measurement: data arrived, or none could be read until now. */
    public fun dataReceived(nowMillis: Long) {
        receivedAtMillis = nowMillis
    }

    /** Records that [send] no longer waits for data. */
    public fun sendEnded(send: Any) {
        pending.remove(send)
    }

    /** Returns the time without data while answers are outstanding; 0 when none are. */
    public fun silentMillis(nowMillis: Long): Long {
        val oldest = pending.values.firstOrNull() ?: return 0
        return (nowMillis - maxOf(oldest.sinceMillis, receivedAtMillis)).coerceAtLeast(0)
    }

    /** Calls the callbacks of all sends that wait for an answer. */
    public fun notifyPending() {
        pending.values.toList().forEach { it.onSilent() }
    }
}
