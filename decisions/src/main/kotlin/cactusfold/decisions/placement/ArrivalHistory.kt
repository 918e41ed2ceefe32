package cactusfold.decisions.placement

/**
 * Histogram of the time between bursts of requests for one model, in buckets of powers of two.
 *
 * It takes a few dozen bytes, so that histories of thousands of idle adapters can be kept.
 *
 * @property counts number of gaps per bucket: bucket i counts gaps from 2^i to 2^(i+1) seconds.
 */
public data class ArrivalHistory(
    public val lastAtMillis: Long? = null,
    public val counts: List<Int> = emptyList()
) {
    /** Returns the history after an arrival at [nowMillis]. Gaps below 1 s belong to one burst. */
    public fun arrived(nowMillis: Long): ArrivalHistory {
        val last = lastAtMillis ?: return copy(lastAtMillis = nowMillis)
        val gapSeconds = (nowMillis - last) / MILLIS_PER_SECOND
        if (gapSeconds < 1) return copy(lastAtMillis = nowMillis)
        val bucket = (Long.SIZE_BITS - 1 - gapSeconds.countLeadingZeroBits())
            .coerceAtMost(BUCKETS - 1)
        val grown = List(maxOf(counts.size, bucket + 1)) { i ->
            val count = counts.getOrElse(i) { 0 } + if (i == bucket) 1 else 0
            count
        }
        val aged = if (grown.sum() > MAX_SAMPLES) grown.map { it / 2 } else grown
        return ArrivalHistory(nowMillis, aged)
    }

    /**
     * Returns how long to keep the model loaded after its last use.
     *
     * That is the upper bound of the bucket that covers [quantile] of the past gaps, but at least
     * [minMillis]. With too few samples, or if the bound exceeds [maxMillis], it is [minMillis].
     */
    public fun keepAliveMillis(quantile: Double, minMillis: Long, maxMillis: Long): Long {
        val total = counts.sum()
        if (total < MIN_SAMPLES) return minMillis
        var covered = 0
        counts.forEachIndexed { i, count ->
            covered += count
            val upperMillis = (2L shl i) * MILLIS_PER_SECOND
            if (upperMillis > maxMillis) return minMillis
            if (covered >= quantile * total) return upperMillis.coerceAtLeast(minMillis)
        }
        return minMillis
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L
        const val BUCKETS = 20

        /** Number of samples above which all counts are halved, so that recent gaps weigh more. */
        const val MAX_SAMPLES = 256

        /** Number of samples below which the quantile is not used. */
        const val MIN_SAMPLES = 4
    }
}
