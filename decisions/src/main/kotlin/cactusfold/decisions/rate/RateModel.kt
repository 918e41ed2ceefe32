package cactusfold.decisions.rate

/**
 * The rate of one workspace over all VMs together.
 *
 * @property rateTokensPerSecond tokens that the bucket gains each second.
 * @property burstTokens what the bucket holds at most.
 */
public data class RateLimit(public val rateTokensPerSecond: Double, public val burstTokens: Double)

/**
 * Times of the contact between routers and the holder of a bucket.
 *
 * @property grantValidMillis how long prefetched tokens may be spent, counted at the router from
 *   before it sent the request.
 * @property contactMillis how long after a grant the holder counts on the router not to use its
 *   reserve.
 * @property skewMillis what each side waits longer, in the safe direction.
 * @property registryFreshMillis how old the holder's list of registered routers may be before every
 *   free slot counts as taken. A router uses no reserve before it has been registered this long.
 * @property routerSlots how many routers may exist; each one's reserve is 1/routerSlots of the rate.
 */
public data class TokenGrantSettings(
    public val grantValidMillis: Long = 1_000,
    public val contactMillis: Long = 3_000,
    public val skewMillis: Long = 250,
    public val registryFreshMillis: Long = 240_000,
    public val routerSlots: Int = 16
)
