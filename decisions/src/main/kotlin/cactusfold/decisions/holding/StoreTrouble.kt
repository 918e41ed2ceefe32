package cactusfold.decisions.holding

/**
 * Tells a store that this process can't reach from a call that was lost.
 *
 * A holder that can't renew gives up before its lease has lapsed, so that another process, which may
 * reach the store, begins that much sooner.
 */
public class StoreTrouble {
    private var failures = 0
    private var sinceMillis = 0L

    /** Books a call sent at [sentAtMillis] that failed. */
    public fun failed(sentAtMillis: Long) {
        if (failures++ == 0) sinceMillis = sentAtMillis
    }

    /** Books a call that the store answered. */
    public fun reached() {
        failures = 0
    }

    /** Returns whether the store has been out of reach for some calls and some time. */
    public fun isLasting(nowMillis: Long): Boolean =
        failures >= FAILURES && nowMillis - sinceMillis >= LASTING_MILLIS

    private companion object {
        /** A lost answer and a lost reading back of it are no outage. */
        const val FAILURES = 3

        /** Longer than a connection takes to be made anew, a quarter of the lease. */
        const val LASTING_MILLIS = 500L
    }
}
