package cactusfold.decisions.fleet

/**
 * Tells rows that lapsed together, in an outage of the store, from the row of an upstream that has
 * left. Rows that lapsed are written again soon after the store is back.
 */
public object RowLapse {
    /** Whether [missing] of [registered] upstreams of one service are too many to have left. */
    public fun isLapse(missing: Int, registered: Int): Boolean = missing * 2 > registered
}
