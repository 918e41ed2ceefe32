package cactusfold.node.time

/** Time that never goes back and has no relation to other VMs' clocks. */
public fun interface MonotonicClock {
    /** Returns milliseconds since an arbitrary moment. */
    public fun nowMillis(): Long

    public companion object {
        private const val NANOS_PER_MILLI = 1_000_000L

        /** The system's monotonic clock. */
        public val SYSTEM: MonotonicClock = MonotonicClock { System.nanoTime() / NANOS_PER_MILLI }
    }
}
