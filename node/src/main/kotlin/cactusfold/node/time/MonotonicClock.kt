package cactusfold.node.time

/** A clock that never goes back. Its readings can't be compared with those of other VMs. */
public fun interface MonotonicClock {
    /** Returns the milliseconds since an arbitrary but fixed origin. */
    public fun nowMillis(): Long

    public companion object {
        private const val NANOS_PER_MILLI = 1_000_000L

        /** The system's monotonic clock. */
        public val SYSTEM: MonotonicClock = MonotonicClock { System.nanoTime() / NANOS_PER_MILLI }
    }
}
