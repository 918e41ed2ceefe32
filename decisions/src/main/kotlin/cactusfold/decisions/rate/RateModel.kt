package cactusfold.decisions.rate

/**
 * The rate limit of one workspace, which applies to all VMs together.
 *
 * @property rateTokensPerSecond tokens added to the bucket per second.
 * @property burstTokens capacity of the bucket.
 */
public data class RateLimit(public val rateTokensPerSecond: Double, public val burstTokens: Double)

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
