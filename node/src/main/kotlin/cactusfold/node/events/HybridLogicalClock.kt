package cactusfold.node.events

import java.util.concurrent.atomic.AtomicLong

/**
 * A hybrid logical clock: wall-clock milliseconds in the upper 48 bits, a counter in the lower 16.
 *
 * Timestamps of one process increase strictly. After [observe], they are above the observed one.
 */
public class HybridLogicalClock(private val wallMillis: () -> Long) {
    private val last = AtomicLong()

    /** Returns the next timestamp. */
    public fun next(): Long = last.updateAndGet { maxOf(it + 1, wallMillis() shl COUNTER_BITS) }

    /** Advances the clock to at least [stamp], a timestamp received from another process. */
    public fun observe(stamp: Long) {
        last.updateAndGet { maxOf(it, stamp) }
    }

    public companion object {
        private const val COUNTER_BITS = 16

        /** Returns the wall-clock milliseconds of [stamp]. */
        public fun epochMillis(stamp: Long): Long = stamp ushr COUNTER_BITS

        /** Returns the lowest timestamp at [epochMillis]. */
        public fun stampAt(epochMillis: Long): Long = epochMillis shl COUNTER_BITS
    }
}
