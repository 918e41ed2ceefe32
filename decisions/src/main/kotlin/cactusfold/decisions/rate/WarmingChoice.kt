package cactusfold.decisions.rate

/** Among which upstreams one is chosen for a request, if some of them are cold. */
public enum class WarmingPool {
    /** All of them. */
    ALL,

    /** The cold ones, so that they warm up with a request that can tolerate it. */
    COLD,

    /** The warm ones. */
    WARM
}

/**
 * Decides whether a request warms up a cold upstream, by the share of its latency target that is
 * left.
 */
public object WarmingChoice {
    /** A request with more of its target left than this goes to a cold upstream first. */
    private const val AMPLE_SHARE = 0.75

    /** A request with less of its target left goes to a warm upstream if there is one. */
    private const val SCARCE_SHARE = 0.5

    /**
     * Returns the pool for a request with [leftMillis] of its target of [targetMillis].
     *
     * @param hasCold whether a cold upstream accepts a request now.
     * @param hasWarm whether a warm upstream does.
     */
    public fun pool(
        leftMillis: Long,
        targetMillis: Long,
        hasCold: Boolean,
        hasWarm: Boolean
    ): WarmingPool = when {
        hasWarm && leftMillis < SCARCE_SHARE * targetMillis -> WarmingPool.WARM
        hasCold && leftMillis >= AMPLE_SHARE * targetMillis -> WarmingPool.COLD
        else -> WarmingPool.ALL
    }
}
