package cactusfold.decisions.rate

/**
 * A rate limit, of a workspace or an upstream, which applies to all VMs together.
 *
 * @property rateTokensPerSecond tokens added to the bucket per second.
 * @property burstTokens capacity of the bucket.
 * @property unitTokens tokens of one spend, which cannot be divided: the bucket can always fill up
 *   to this, and routers whose share of the burst is less take turns in using their reserves. Zero
 *   if any number of tokens may be spent.
 * @property reserveShare share of its reserve that a router uses while it is out of contact.
 * @property useWithinMillis how long after they were asked for tokens may be used, if that is less
 *   than for other limits.
 */
public data class RateLimit(
    public val rateTokensPerSecond: Double,
    public val burstTokens: Double,
    public val unitTokens: Double = 0.0,
    public val reserveShare: Double = 1.0,
    public val useWithinMillis: Long? = null
) {
    /** Returns the limit that keeps both this one and [other]. */
    public fun lowerOf(other: RateLimit): RateLimit = RateLimit(
        minOf(rateTokensPerSecond, other.rateTokensPerSecond),
        minOf(burstTokens, other.burstTokens),
        maxOf(unitTokens, other.unitTokens),
        minOf(reserveShare, other.reserveShare),
        listOfNotNull(useWithinMillis, other.useWithinMillis).minOrNull()
    )

    public companion object {
        /**
         * Returns the limit of an upstream that accepts [requestsPerSecond] from all VMs together.
         * Each request takes one token. A second's worth of requests and one more may arrive at
         * once, so that callers who come in bursts can use the whole rate.
         *
         * Even an upstream that wants no requests gets one every 10 s, since only an answer can
         * state that its limit has risen or ended.
         */
        public fun ofRequests(requestsPerSecond: Double): RateLimit {
            val rate = requestsPerSecond.coerceAtLeast(MIN_REQUESTS_PER_SECOND)
            return RateLimit(rate, rate + 1, unitTokens = 1.0)
        }

        private const val MIN_REQUESTS_PER_SECOND = 0.1
    }
}

/**
 * Settings shared by the holder of a bucket, which grants tokens, and the routers that spend them.
 *
 * @property grantValidMillis how long granted tokens may be spent, counted at the router from
 *   before it sent the request.
 * @property contactMillis how long after the holder last heard from a router it may rely on that
 *   router not to use its reserve.
 * @property skewMillis safety margin that each side adds to its waits for clock skew.
 * @property registryFreshMillis how old the holder's list of registered routers may be before every
 *   free slot counts as taken. A router does not use its reserve before it has been registered for
 *   this long.
 * @property routerSlots maximum number of routers; the reserve of each is 1/routerSlots of the rate
 *   and of the burst.
 */
public data class TokenGrantSettings(
    public val grantValidMillis: Long = 1_000,
    public val contactMillis: Long = 3_000,
    public val skewMillis: Long = 250,
    public val registryFreshMillis: Long = 240_000,
    public val routerSlots: Int = 16
)
