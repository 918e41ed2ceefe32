package cactusfold.entry.residency

/**
 * When a runner that failed to execute an order may get the next one.
 *
 * A runner whose count of accepted orders is not the expected one has executed nothing and serves
 * as before: it is read again as soon as its report includes all orders accepted so far. One that
 * refused an order, or stopped answering during a load, gets no orders for a while, which doubles
 * with each failure in a row, so that a model is not held back for a runner that never loads it.
 */
internal class OrderAvailability {
    private var backoffUntilMillis = 0L
    private var silentUntilMillis = 0L
    private var syncNotBeforeMillis = 0L
    private var unsyncedSinceMillis: Long? = null
    private var failures = 0

    /** Records a failure; [lastResult] is the result of the last order, accepted or not. */
    fun failed(nowMillis: Long, lastResult: OrderResult) {
        when (lastResult) {
            OrderResult.OUT_OF_SYNC -> syncNotBeforeMillis = nowMillis + REPORT_LAG_MILLIS
            OrderResult.ACCEPTED -> {
                silentUntilMillis = nowMillis + BACKOFF_MILLIS
                backOff(nowMillis)
            }
            OrderResult.NOT_ACCEPTED -> backOff(nowMillis)
        }
    }

    /** Records an order that the runner has executed. */
    fun completed() {
        failures = 0
    }

    /** Records that the runner's state has been read. */
    fun synced() {
        unsyncedSinceMillis = null
    }

    /** Records that the runner's state is not known. */
    fun unsynced(nowMillis: Long) {
        if (unsyncedSinceMillis == null) unsyncedSinceMillis = nowMillis
    }

    /** Whether the runner's report includes all orders that it had accepted at the failure. */
    fun maySync(nowMillis: Long): Boolean = nowMillis >= syncNotBeforeMillis

    /** Whether no order may be sent. */
    fun isBackingOff(nowMillis: Long): Boolean = nowMillis < backoffUntilMillis

    /** Whether the runner stopped answering during its last load, and may be down. */
    fun isSilent(nowMillis: Long): Boolean = nowMillis < silentUntilMillis

    /** Returns when the runner should take orders again, or 0 if that is not known. */
    fun freeAtMillis(nowMillis: Long): Long {
        val since = unsyncedSinceMillis
        if (since != null && nowMillis - since > MAX_SYNC_MILLIS) return 0
        val syncedAtMillis = if (since == null) {
            0
        } else {
            maxOf(nowMillis, syncNotBeforeMillis) +
                SYNC_MILLIS
        }
        return maxOf(backoffUntilMillis, syncedAtMillis)
    }

    private fun backOff(nowMillis: Long) {
        backoffUntilMillis = nowMillis + (BACKOFF_MILLIS shl failures)
        failures = (failures + 1).coerceAtMost(MAX_DOUBLINGS)
    }

    private companion object {
        /** How long a runner gets no further orders after it failed to execute one. */
        const val BACKOFF_MILLIS = 1_000L

        /** 16 s, which is longer than a load from the store takes. */
        const val MAX_DOUBLINGS = 4

        /** Maximum age of a report on arrival, by the engines' contract. */
        const val REPORT_LAG_MILLIS = 800L

        /** Expected time to read a report. */
        const val SYNC_MILLIS = 200L

        /** A runner that has not been read for this long is not expected to be free soon. */
        const val MAX_SYNC_MILLIS = 2_500L
    }
}
