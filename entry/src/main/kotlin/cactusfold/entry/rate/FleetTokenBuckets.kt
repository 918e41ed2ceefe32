package cactusfold.entry.rate

import cactusfold.decisions.rate.BucketHolder
import cactusfold.decisions.rate.BucketState
import cactusfold.decisions.rate.ContactSettings
import cactusfold.decisions.rate.RateLimit
import cactusfold.decisions.rate.RouterRegistry
import cactusfold.decisions.rate.TokenAnswer
import cactusfold.entry.config.RouteTable
import cactusfold.node.time.MonotonicClock
import cactusfold.protocol.TokenGrant
import cactusfold.protocol.TokenRequest

/**
 * By how much a workspace may pass its rate in any window, over all VMs.
 *
 * @property share of the rate times the window plus the burst.
 */
public data class RateTolerance(
    public val windowMillis: Long,
    public val share: Double,
    public val tokens: Double
) {
    /** Returns the tokens that a workspace under [limit] may be granted over its rate. */
    public fun of(limit: RateLimit): Double {
        val window = limit.rateTokensPerSecond * windowMillis / MILLIS_PER_SECOND
        return share * (window + limit.burstTokens) + tokens
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}

/** Times of the contact between members and coordinator, the same on both sides. */
internal val contactSettings = ContactSettings(
    contactMillis = 1_000,
    // Two reads of the members' table may fail before its list counts as old.
    registryFreshMillis = 8_000
)

/** The fleet-wide buckets of all workspaces, at the coordinator. */
public class FleetTokenBuckets(
    private val clock: MonotonicClock,
    private val tolerance: RateTolerance,
    private val table: () -> RouteTable?
) {
    private val buckets = HashMap<String, BucketState>()
    private var settings = contactSettings
    private var holder = BucketHolder(settings)
    private var registry = RouterRegistry(emptySet(), Long.MIN_VALUE / 2)
    private var isFirst = false

    /** Begins anew; with full buckets when there was no coordinator before. */
    public fun start(fence: Long) {
        buckets.clear()
        isFirst = fence == FIRST_FENCE
    }

    /** Takes note of the members registered when the table was read at [readAtMillis]. */
    public fun registered(members: Set<String>, readAtMillis: Long) {
        val slots = maxOf(MIN_ROUTER_SLOTS, members.size)
        registry = RouterRegistry(members, readAtMillis)
        if (slots != settings.routerSlots) {
            settings = settings.copy(routerSlots = slots)
            holder = BucketHolder(settings)
        }
        buckets.replaceAll { _, bucket -> holder.registered(bucket, registry, clock.nowMillis()) }
    }

    /** Takes note that [member] was heard from: it spends nothing of its reserves meanwhile. */
    public fun heard(member: String, incarnation: String) {
        table()?.config?.workspaces?.forEach { workspace ->
            if (workspace.ratePerSecond == null) return@forEach
            val bucket = bucketOf(workspace.name) ?: return@forEach
            buckets[workspace.name] = holder.heard(bucket, member, incarnation, clock.nowMillis())
        }
    }

    /** Takes over the limits of a new configuration. */
    public fun configured() {
        buckets.keys.retainAll { limitOf(it) != null }
        buckets.replaceAll { name, bucket ->
            holder.reconfigure(bucket, limitOf(name)!!, clock.nowMillis())
        }
    }

    /** Answers [request]. */
    public fun ask(request: TokenRequest): TokenGrant {
        val bucket = bucketOf(request.workspace)
            ?: return TokenGrant.newBuilder().setOutcome(TokenGrant.Outcome.NOT_HOLDER).build()
        val step = holder.take(
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
            is TokenAnswer.Granted ->
                grant.setOutcome(TokenGrant.Outcome.GRANTED).setGrantedTokens(answer.tokens).build()
            is TokenAnswer.Wait -> grant.setOutcome(TokenGrant.Outcome.WAIT)
                .setRetryAfterMillis(answer.retryAfterMillis).build()
        }
    }

    private fun bucketOf(workspace: String): BucketState? {
        val limit = limitOf(workspace) ?: return null
        return buckets.getOrPut(workspace) {
            if (isFirst) {
                holder.startFirst(limit, registry, clock.nowMillis())
            } else {
                val tolerated = tolerance.of(limit) * TOLERANCE_SHARE
                holder.startAfter(limit, registry, tolerated, clock.nowMillis())
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
        const val MIN_ROUTER_SLOTS = 4

        /** Share of the tolerance that a new coordinator uses: two may follow within one window. */
        const val TOLERANCE_SHARE = 0.4
    }
}
