package cactusfold.decisions.placement

/**
 * Inter-arrival times of one model's bursts in a histogram of powers of two seconds.
 *
 * Takes a few dozen bytes, so that thousands of idle adapters can be kept.
 *
 * @property counts number of gaps in each bucket: bucket i holds gaps from 2^i to 2^(i+1) seconds.
 */
public data class ArrivalHistory(
    public val lastAtMillis: Long? = null,
    public val counts: List<Int> = emptyList()
) {
    /** Returns the history after an arrival at [nowMillis]. Gaps below a second are one burst. */
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
     * Returns how long the model is worth keeping after its last use: the shortest time that covers
     * [quantile] of the past gaps, between [minMillis] and [maxMillis].
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
        const val MAX_SAMPLES = 256
        const val MIN_SAMPLES = 4
    }
}
