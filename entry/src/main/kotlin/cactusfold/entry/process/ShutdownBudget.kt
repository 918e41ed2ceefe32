package cactusfold.entry.process

/** Division of the time that a process has to shut down. */
public object ShutdownBudget {
    /**
     * Returns how long to drain in-flight requests out of [stopMillis]. The rest is for closing
     * connections and the exit of the JVM, which takes longer on a VM that is short of CPU time.
     */
    public fun drainMillis(stopMillis: Long): Long = stopMillis - stopMillis / CLOSE_DIVISOR

    /** Returns how long new requests are accepted, out of [stopMillis]. */
    public fun acceptMillis(stopMillis: Long): Long =
        minOf(BALANCER_REMOVAL_MILLIS, drainMillis(stopMillis))

    /** Returns how long callers may read answers after the drain, out of [stopMillis]. */
    public fun closeMillis(stopMillis: Long): Long = stopMillis / CLOSE_DIVISOR / 2

    /**
     * The load balancer checks every second and removes a process after two failures. Requests that
     * are sent later than 3 s after the signal have to end in time by contract.
     */
    private const val BALANCER_REMOVAL_MILLIS = 2_400L

    /** Reserves the last sixth: requests still in flight then need not complete, by contract. */
    private const val CLOSE_DIVISOR = 6
}
