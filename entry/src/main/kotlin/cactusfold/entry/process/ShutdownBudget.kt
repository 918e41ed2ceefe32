package cactusfold.entry.process

/** How the time that a process has to stop in is spent. */
public object ShutdownBudget {
    /**
     * Returns how long requests at work are waited for, of [stopMillis] in all. The rest is for closing
     * connections and for the JVM to end, which takes longer on a VM that is short of processor time.
     */
    public fun drainMillis(stopMillis: Long): Long = stopMillis - stopMillis / CLOSE_DIVISOR

    /** Share kept for closing: requests at work in the last sixth need not be finished, by contract. */
    private const val CLOSE_DIVISOR = 6
}
