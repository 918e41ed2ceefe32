package cactusfold.entry.rate

import cactusfold.decisions.rate.BucketMachine
import cactusfold.decisions.rate.BucketState
import cactusfold.decisions.rate.GrantResponse
import cactusfold.decisions.rate.RateLimit
import cactusfold.decisions.rate.RouterRegistry
import cactusfold.decisions.rate.TokenGrantSettings
import cactusfold.entry.config.RouteTable
import cactusfold.node.time.MonotonicClock
import cactusfold.protocol.TokenGrant
import cactusfold.protocol.TokenRequest

/**
 * Tolerated excess over a workspace's rate in any window, over all VMs.
 *
 * @property share tolerated share of what the rate allows: rate times window plus burst.
 * @property tokens tolerated in addition to the share.
 */
public data class RateTolerance(
    public val windowMillis: Long,
    public val share: Double,
    public val tokens: Double
) {
    /** Returns the tokens that a workspace with [limit] may be granted beyond its rate. */
    public fun of(limit: RateLimit): Double {
        val window = limit.rateTokensPerSecond * windowMillis / MILLIS_PER_SECOND
        return share * (window + limit.burstTokens) + tokens
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}

/** Token grant settings that the coordinator and the entry processes have in common. */
internal val sharedGrantSettings = TokenGrantSettings(
    contactMillis = 1_000,
    // Two reads of the member table may fail before the list of members counts as stale.
    registryFreshMillis = 8_000
)

/**
 * The fleet-wide token buckets of all workspaces, held by the coordinator. The routers of
 * [BucketMachine] are the entry processes here.
 */
public class FleetTokenBuckets(
    private val clock: MonotonicClock,
    private val tolerance: RateTolerance,
    private val table: () -> RouteTable?
) {
    private val buckets = HashMap<String, BucketState>()
    private var settings = sharedGrantSettings
    private var machine = BucketMachine(settings)
    private var registry = RouterRegistry(emptySet(), Long.MIN_VALUE / 2)
    private var isFirstCoordinator = false

    /**
     * Discards all buckets when this process becomes coordinator. They start full only for the
     * first [fence] ever, as no earlier coordinator can have granted tokens then.
     */
    public fun start(fence: Long) {
        buckets.clear()
        isFirstCoordinator = fence == FIRST_FENCE
    }

    /** Sets the entry processes that were registered when the table was read at [readAtMillis]. */
    public fun registered(members: Set<String>, readAtMillis: Long) {
        val slots = maxOf(MIN_ROUTER_SLOTS, members.size)
        registry = RouterRegistry(members, readAtMillis)
        if (slots != settings.routerSlots) {
            settings = settings.copy(routerSlots = slots)
            machine = BucketMachine(settings)
        }
        buckets.replaceAll { _, bucket -> machine.registered(bucket, registry, clock.nowMillis()) }
    }

    /** Records contact with [member], which does not spend its reserves while in contact. */
    public fun heard(member: String, incarnation: String) {
        table()?.config?.workspaces?.forEach { workspace ->
            if (workspace.ratePerSecond == null) return@forEach
            val bucket = bucketOf(workspace.name) ?: return@forEach
            buckets[workspace.name] = machine.heard(bucket, member, incarnation, clock.nowMillis())
        }
    }

    /** Applies the rates of a new configuration. */
    public fun configured() {
        buckets.keys.retainAll { limitOf(it) != null }
        buckets.replaceAll { name, bucket ->
            machine.reconfigure(bucket, limitOf(name)!!, clock.nowMillis())
        }
    }

    /** Returns the grant, or the time to wait, for [request]. */
    public fun ask(request: TokenRequest): TokenGrant {
        val bucket = bucketOf(request.workspace)
            ?: return TokenGrant.newBuilder().setOutcome(TokenGrant.Outcome.NOT_HOLDER).build()
        val step = machine.take(
            bucket,
            request.router,
            request.routerIncarnation,
            request.neededTokens,
            clock.nowMillis()
        )
        buckets[request.workspace] = step.state
        val grant = TokenGrant.newBuilder().setValidMillis(settings.grantValidMillis)
            .setContactMillis(settings.contactMillis)
        return when (val answer = step.answer) {
            is GrantResponse.Granted ->
                grant.setOutcome(TokenGrant.Outcome.GRANTED).setGrantedTokens(answer.tokens).build()
            is GrantResponse.Wait -> grant.setOutcome(TokenGrant.Outcome.WAIT)
                .setRetryAfterMillis(answer.retryAfterMillis).build()
        }
    }

    private fun bucketOf(workspace: String): BucketState? {
        val limit = limitOf(workspace) ?: return null
        return buckets.getOrPut(workspace) {
            if (isFirstCoordinator) {
                machine.startFull(limit, registry, clock.nowMillis())
            } else {
                val tolerated = tolerance.of(limit) * TOLERANCE_SHARE
                machine.startEmpty(limit, registry, tolerated, clock.nowMillis())
            }
        }
    }

    private fun limitOf(name: String): RateLimit? {
        val workspace = table()?.config?.workspaces?.find { it.name == name } ?: return null
        val rate = workspace.ratePerSecond ?: return null
        return RateLimit(rate, workspace.burst)
    }

    private companion object {
        const val FIRST_FENCE = 1L

        /** Minimum number of shares of a rate; the same as in [WorkspaceRateLimiter]. */
        const val MIN_ROUTER_SLOTS = 4

        /**
         * Share of the tolerance that a new coordinator may grant, as the coordinator may change
         * twice in one window.
         */
        const val TOLERANCE_SHARE = 0.4
    }
}
