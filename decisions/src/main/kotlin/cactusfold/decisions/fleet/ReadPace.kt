package cactusfold.decisions.fleet

/**
 * Intervals at which processes without contact to a coordinator read the store, so that the calls
 * of the whole fleet stay within what the store bears beside its other load.
 */
public object ReadPace {
    /**
     * Returns the pause between two reads of the upstreams' rows by one of [members] processes,
     * null if their number is not known. With the time that a read takes, it is below the least
     * bound after which a leaving upstream gets nothing more, which is 2,000 ms.
     */
    public fun rowsMillis(members: Int?): Long =
        ((members ?: 0) * ROWS_MILLIS_PER_MEMBER).coerceIn(MIN_ROWS_MILLIS, MAX_ROWS_MILLIS)

    /**
     * Returns the mean pause between two reads of the lease row. Some processes, spread evenly over
     * the [position]s, and more of those with a core of their own, look often enough that no time
     * is lost before a takeover; the others share a bounded rate.
     *
     * @param position of the process among [members], from zero; null if not known.
     */
    public fun leaseMillis(members: Int?, position: Int?, cores: Double): Long {
        val count = members ?: return FREQUENT_LEASE_MILLIS
        val frequent = if (cores >= 1) FREQUENT_READERS_OF_A_CORE else FREQUENT_READERS
        val isFrequent = position != null &&
            (position * frequent) / count != ((position - 1) * frequent).floorDiv(count)
        if (isFrequent) return FREQUENT_LEASE_MILLIS
        return (count * MILLIS_PER_SECOND / OTHER_LEASE_READS_PER_SECOND)
            .coerceIn(FREQUENT_LEASE_MILLIS, MAX_LEASE_MILLIS)
    }

    /**
     * Returns the time over which [members] processes spread their first reads of the rows when the
     * store answers all of them again.
     */
    public fun firstReadsMillis(members: Int?): Long =
        ((members ?: 0) * FIRST_READ_MILLIS_PER_MEMBER).coerceAtMost(MAX_FIRST_READS_MILLIS)

    /** Returns the pause after the [failures]th failed read in a row, from one. */
    public fun retryMillis(failures: Int, members: Int?): Long =
        (MIN_RETRY_MILLIS shl (failures - 1).coerceIn(0, 2)).coerceAtMost(rowsMillis(members))

    private const val MILLIS_PER_SECOND = 1_000L
    private const val ROWS_MILLIS_PER_MEMBER = 10L
    private const val MIN_ROWS_MILLIS = 800L
    private const val MAX_ROWS_MILLIS = 1_200L

    /** A snapshot of the largest deployment takes several calls. */
    private const val FIRST_READ_MILLIS_PER_MEMBER = 2L
    private const val MAX_FIRST_READS_MILLIS = 1_000L
    private const val FREQUENT_LEASE_MILLIS = 600L
    private const val FREQUENT_READERS = 8
    private const val FREQUENT_READERS_OF_A_CORE = 16
    private const val OTHER_LEASE_READS_PER_SECOND = 60L

    /** Requests that wait for a load need the address of the next coordinator. */
    private const val MAX_LEASE_MILLIS = 2_000L
    private const val MIN_RETRY_MILLIS = 250L
}
