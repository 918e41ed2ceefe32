package cactusfold.entry.residency

/** What loads take beside the weights, learnt from those that ended: orders, and runners' reports. */
public class LoadOverhead {
    /** The overhead of the next load, in milliseconds. */
    public var millis: Long = INITIAL_MILLIS
        private set

    /** Books a load of weights that take [weightMillis] and was there after [tookMillis]. */
    public fun took(weightMillis: Long, tookMillis: Long) {
        val overhead = (tookMillis - weightMillis).coerceIn(0, MAX_MILLIS)
        millis += (overhead - millis) / SMOOTHING_DIVISOR
    }

    private companion object {
        /** Until a load has ended: a pause after an order, the lag of reports, and one poll. */
        const val INITIAL_MILLIS = 300L

        /** A load that took longer was held up by something that the next need not meet. */
        const val MAX_MILLIS = 1_000L
        const val SMOOTHING_DIVISOR = 4
    }
}
