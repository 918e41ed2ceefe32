package cactusfold.decisions.residency

/**
 * Keeps the loads that begin within any window of [windowMillis] to the weight store's rate, also when
 * another holder has just ordered some that this one does not know of.
 */
public class StoreLoadWindow(private val windowMillis: Long) {
    private val begunAtMillis = ArrayDeque<Long>()
    private var succeededAtMillis = Long.MIN_VALUE / 2
    private var begunSinceSucceeding = 0

    /** Books that this process follows another holder, which may have used its window to the full. */
    public fun succeeded(nowMillis: Long) {
        succeededAtMillis = nowMillis
        begunSinceSucceeding = 0
    }

    /** Books that a load begins. */
    public fun began(nowMillis: Long) {
        begunAtMillis.addLast(nowMillis)
        begunSinceSucceeding++
    }

    /** Returns how many loads may begin now, at [perSecond] in the long run. */
    public fun allowed(perSecond: Double, nowMillis: Long): Int {
        begunAtMillis.removeAll { nowMillis - it > windowMillis }
        val perWindow = (perSecond * windowMillis / MILLIS_PER_SECOND).toInt().coerceAtLeast(1)
        val own = perWindow - begunAtMillis.size
        if (nowMillis - succeededAtMillis > windowMillis) return own
        return minOf(own, TOLERATED_EXCESS - begunSinceSucceeding)
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000

        /** Of three loads beyond the rate that the weight store's contract allows in a window. */
        const val TOLERATED_EXCESS = 2
    }
}
