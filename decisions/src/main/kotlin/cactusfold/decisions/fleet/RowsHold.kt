package cactusfold.decisions.fleet

/**
 * Whether requests are held because upstreams may have left while the store was not read: the
 * process has contact with the store again, and has not been shown the rows since.
 *
 * Without contact the rows that are known go on to be used, and so do they if the store answers but
 * fails to return the rows.
 *
 * @property contactSinceMillis since when the store answers other reads; null if it does not.
 * @property shownAtMillis when the last read began that showed the rows.
 * @property failedReads reads of the rows that began since there is contact, and failed.
 */
public data class RowsHold(
    public val contactSinceMillis: Long? = null,
    public val shownAtMillis: Long = Long.MIN_VALUE / 2,
    public val failedReads: Int = 0
) {
    /** Whether requests are held until the rows have been read. */
    public val isHeld: Boolean
        get() = contactSinceMillis != null &&
            shownAtMillis < contactSinceMillis - MAX_AGE_MILLIS &&
            failedReads < MAX_FAILED_READS

    /** The store has answered at [nowMillis]. */
    public fun contactRegained(nowMillis: Long): RowsHold = if (contactSinceMillis ==
        null
    ) {
        copy(contactSinceMillis = nowMillis, failedReads = 0)
    } else {
        this
    }

    /** The store has failed to answer. */
    public fun contactLost(): RowsHold = copy(contactSinceMillis = null)

    /** A read that began at [beganAtMillis] or later has shown the rows. */
    public fun shown(beganAtMillis: Long): RowsHold =
        copy(shownAtMillis = maxOf(shownAtMillis, beganAtMillis))

    /** A read of the rows that began at [beganAtMillis] has failed. */
    public fun readFailed(beganAtMillis: Long): RowsHold {
        val since = contactSinceMillis ?: return this
        return if (beganAtMillis < since) this else copy(failedReads = failedReads + 1)
    }

    private companion object {
        /** The least bound after which a leaving upstream gets nothing more. */
        const val MAX_AGE_MILLIS = 2_000L

        /** One read may be lost with a connection that was opened before the contact. */
        const val MAX_FAILED_READS = 2
    }
}
