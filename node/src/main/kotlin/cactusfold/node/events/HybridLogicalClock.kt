package cactusfold.node.events

import java.util.concurrent.atomic.AtomicLong

/**
 * A hybrid logical clock: wall-clock milliseconds in the upper 48 bits, a counter in the lower 16.
 *
 * Stamps of one process rise strictly, and a stamp given after [observe] is above the one observed.
 */
public class HybridLogicalClock(private val wallMillis: () -> Long) {
    private val last = AtomicLong()

    /** Returns the next stamp. */
    public fun next(): Long = last.updateAndGet { maxOf(it + 1, wallMillis() shl COUNTER_BITS) }

    /** Takes note of a stamp that came with a message. */
    public fun observe(stamp: Long) {
        last.updateAndGet { maxOf(it, stamp) }
    }

    public companion object {
        private const val COUNTER_BITS = 16

        /** Returns the wall-clock milliseconds of [stamp]. */
        public fun epochMillis(stamp: Long): Long = stamp ushr COUNTER_BITS

        /** Returns the lowest stamp of [epochMillis]. */
        public fun stampAt(epochMillis: Long): Long = epochMillis shl COUNTER_BITS
    }
}
