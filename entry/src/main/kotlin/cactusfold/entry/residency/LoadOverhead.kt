package cactusfold.entry.residency

/**
 * Estimates what a load takes beyond reading the weights, such as sending the order and the lag of
 * the runner's report, as a moving average over completed loads.
 */
public class LoadOverhead {
    /** The expected overhead of the next load, in milliseconds. */
    public var millis: Long = INITIAL_MILLIS
        private set

    /** Adds a load that took [tookMillis] in all, of which [weightMillis] to read the weights. */
    public fun record(weightMillis: Long, tookMillis: Long) {
        val overhead = (tookMillis - weightMillis).coerceIn(0, MAX_MILLIS)
        millis += (overhead - millis) / SMOOTHING_DIVISOR
    }

    private companion object {
        /** Estimate before the first load: delay after an order, report lag, and one poll. */
        const val INITIAL_MILLIS = 300L

        /** Bounds a sample: a longer overhead has a cause that need not affect the next load. */
        const val MAX_MILLIS = 1_000L
        const val SMOOTHING_DIVISOR = 4
    }
}
