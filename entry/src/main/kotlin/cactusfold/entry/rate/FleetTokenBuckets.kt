package cactusfold.entry.rate

import cactusfold.decisions.queue.ServingCapacity
import cactusfold.decisions.rate.BucketMachine
import cactusfold.decisions.rate.BucketState
import cactusfold.decisions.rate.GrantResponse
import cactusfold.decisions.rate.RateLimit
import cactusfold.decisions.rate.RouterRegistry
import cactusfold.decisions.rate.TokenGrantSettings
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

/** Whether tokens asked for at [askedAtMillis] may be spent; not after a suspension. */
internal fun isGrantValid(askedAtMillis: Long, nowMillis: Long): Boolean =
    nowMillis - askedAtMillis < sharedGrantSettings.grantValidMillis

/**
 * The token buckets of all rates that the fleet shares, held by the coordinator. The routers of
 * [BucketMachine] are the entry processes here.
 */
public class FleetTokenBuckets(
    private val clock: MonotonicClock,
    private val tolerance: RateTolerance,
    private val limits: FleetLimits
) {
    private val buckets = HashMap<RateSubject, BucketState>()
    private var settings = sharedGrantSettings
    private var machine = BucketMachine(settings)
    private var registry = RouterRegistry(emptySet(), Long.MIN_VALUE / 2)
    private var isFirstCoordinator = false

    /**
     * Discards all buckets when this process becomes coordinator. Those of workspaces start full
     * only for the first [fence] ever, as no earlier coordinator can have granted tokens then.
     */
    public fun start(fence: Long) {
        buckets.clear()
        isFirstCoordinator = fence == FIRST_FENCE
    }

    /** Sets the entry processes that were registered when the table was read at [readAtMillis]. */
    public fun registered(members: Set<String>, readAtMillis: Long) {
        val slots = maxOf(MemberTokens.MIN_ROUTER_SLOTS, members.size)
        registry = RouterRegistry(members, readAtMillis)
        if (slots != settings.routerSlots) {
            settings = settings.copy(routerSlots = slots)
            machine = BucketMachine(settings)
        }
        buckets.replaceAll { _, bucket -> machine.registered(bucket, registry, clock.nowMillis()) }
    }

    /** Records contact with [member], which does not spend its reserves while in contact. */
    public fun heard(member: String, incarnation: String) {
        for (subject in limits.subjects()) {
            val bucket = bucketOf(subject) ?: continue
            buckets[subject] = machine.heard(bucket, member, incarnation, clock.nowMillis())
        }
    }

    /** Applies changed rates, and discards the buckets of those that have ended. */
    public fun configured() {
        buckets.keys.retainAll { limits.find(it) != null }
        buckets.replaceAll { subject, bucket ->
            // The limit of a cold upstream may have ended meanwhile.
            limits.find(subject)?.let { machine.reconfigure(bucket, it, clock.nowMillis()) }
                ?: bucket
        }
    }

    /** Returns the grant, or the time to wait, for [request]. */
    public fun ask(request: TokenRequest): TokenGrant {
        val subject = RateSubject.Workspace(request.workspace)
        val member = GrantMember(request.router, request.routerIncarnation)
        return grant(subject, member, request.neededTokens)
    }

    /** Returns the grant of [tokens] of [subject] to [member], or the time to wait for them. */
    internal fun grant(subject: RateSubject, member: GrantMember, tokens: Long): TokenGrant {
        val answer = take(subject, member, tokens)
            ?: return TokenGrant.newBuilder().setOutcome(TokenGrant.Outcome.NOT_HOLDER).build()
        val grant = TokenGrant.newBuilder().setValidMillis(settings.grantValidMillis)
            .setContactMillis(settings.contactMillis)
        return when (answer) {
            is GrantResponse.Granted ->
                grant.setOutcome(TokenGrant.Outcome.GRANTED).setGrantedTokens(answer.tokens).build()
            is GrantResponse.Wait -> grant.setOutcome(TokenGrant.Outcome.WAIT)
                .setRetryAfterMillis(answer.retryAfterMillis).build()
        }
    }

    /** Takes [tokens] of [subject] for [member]; returns null if it has no limit. */
    internal fun take(subject: RateSubject, member: GrantMember, tokens: Long): GrantResponse? {
        val bucket = bucketOf(subject) ?: return null
        val step = machine.take(bucket, member.vm, member.boot, tokens, clock.nowMillis())
        buckets[subject] = step.state
        return step.answer
    }

    /** Returns the tokens of [subject] that members can be granted; null if it has no limit. */
    internal fun capacity(subject: RateSubject): ServingCapacity? {
        val bucket = machine.refill(bucketOf(subject) ?: return null, clock.nowMillis())
        buckets[subject] = bucket
        return ServingCapacity(
            workPerSecond = machine.refillTokensPerSecond(bucket),
            availableWork = bucket.levelTokens + bucket.toleratedTokens,
            promisedWork = bucket.promisedTokens
        )
    }

    /** Whether the bucket of [subject] can hold [tokens] at a time, so that a wait is of use. */
    internal fun canHold(subject: RateSubject, tokens: Long): Boolean {
        val bucket = bucketOf(subject) ?: return true
        return tokens <= machine.capacityTokens(bucket) + bucket.toleratedTokens
    }

    /** Sets the tokens of [subject] that refused requests were told to come back for. */
    internal fun promised(subject: RateSubject, tokens: Double) {
        val bucket = bucketOf(subject) ?: return
        buckets[subject] = machine.promiseInAll(bucket, tokens)
    }

    /**
     * Removes a token of [subject] that was used without being asked for, such as by an order to a
     * runner, which does not wait.
     */
    public fun charge(subject: RateSubject) {
        val bucket = bucketOf(subject) ?: return
        buckets[subject] = machine.charge(bucket, 1.0, clock.nowMillis())
    }

    /**
     * Returns the time after which any of [subjects] has a token. If the request [joinsQueue], that
     * is after those who were told to come back, and later ones are told to come back after it.
     */
    internal fun waitMillis(subjects: List<RateSubject>, joinsQueue: Boolean): Long {
        val waiting = subjects.mapNotNull { subject -> bucketOf(subject)?.let { subject to it } }
        val states = waiting.map { it.second }
        val waitMillis = machine.waitMillis(states, 1.0, afterPromised = joinsQueue)
        if (joinsQueue) {
            val perSecond = states.sumOf { it.limit.rateTokensPerSecond }
            for ((subject, state) in waiting) {
                val share = state.limit.rateTokensPerSecond / perSecond
                buckets[subject] = machine.promise(state, share)
            }
        }
        return waitMillis
    }

    private fun bucketOf(subject: RateSubject): BucketState? {
        val limit = limits.find(subject) ?: return null
        return buckets.getOrPut(subject) { newBucket(subject, limit) }
    }

    private fun newBucket(subject: RateSubject, limit: RateLimit): BucketState = when (subject) {
        is RateSubject.Workspace -> if (isFirstCoordinator) {
            machine.startFull(limit, registry, clock.nowMillis())
        } else {
            val tolerated = tolerance.of(limit) * TOLERANCE_SHARE
            machine.startEmpty(limit, registry, tolerated, clock.nowMillis())
        }
        is RateSubject.Upstream -> machine.startEmpty(limit, registry, 0.0, clock.nowMillis())
    }

    private companion object {
        const val FIRST_FENCE = 1L

        /**
         * Share of the tolerance that a new coordinator may grant, as the coordinator may change
         * twice in one window.
         */
        const val TOLERANCE_SHARE = 0.4
    }
}

/** A member that asks for tokens; [boot] identifies the run of its process. */
public data class GrantMember(public val vm: String, public val boot: String)
