package cactusfold.decisions.residency

/**
 * Rate limiter for starts of loads from the weight store, over a sliding window of [windowMillis].
 *
 * The limit also applies across a change of lease holder, where the previous holder may have
 * started loads that this process does not know of.
 */
public class StoreLoadWindow(private val windowMillis: Long) {
    private val begunAtMillis = ArrayDeque<Long>()
    private var tookOverAtMillis = Long.MIN_VALUE / 2
    private var begunSinceTakeover = 0

    /** Records that this process took over from a holder that may have used up its window. */
    public fun succeeded(nowMillis: Long) {
        tookOverAtMillis = nowMillis
        begunSinceTakeover = 0
    }

    /** Records that a load starts. */
    public fun began(nowMillis: Long) {
        begunAtMillis.addLast(nowMillis)
        begunSinceTakeover++
    }

    /** Returns how many loads may start now, at an average rate of [perSecond]. */
    public fun allowed(perSecond: Double, nowMillis: Long): Int {
        begunAtMillis.removeAll { nowMillis - it > windowMillis }
        val perWindow = (perSecond * windowMillis / MILLIS_PER_SECOND).toInt().coerceAtLeast(1)
        val own = perWindow - begunAtMillis.size
        if (nowMillis - tookOverAtMillis > windowMillis) return own
        return minOf(own, TOLERATED_EXCESS - begunSinceTakeover)
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000

        /**
         * One below the three loads per window beyond the rate that the store's contract allows.
         */
        const val TOLERATED_EXCESS = 2
    }
}
