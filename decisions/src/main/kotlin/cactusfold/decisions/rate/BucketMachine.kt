package cactusfold.decisions.rate

import cactusfold.decisions.invariant
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * What the holder of a bucket knows of a router that it is in contact with.
 *
 * @property incarnation the run of the router that the counters belong to.
 * @property lastSequence number of the last request processed.
 * @property spentTokens cumulative count of spent tokens as last reported.
 * @property returnedTokens cumulative count of returned tokens as last reported.
 * @property outstandingTokens tokens granted that are neither reported as spent or returned nor
 *   expired: the router may still spend them.
 * @property contactUntilMillis until when the router does not use its reserve.
 */
public data class RouterContact(
    public val incarnation: String,
    public val lastSequence: Long,
    public val spentTokens: Long,
    public val returnedTokens: Long,
    public val outstandingTokens: Double,
    public val grantedAtMillis: Long,
    public val contactUntilMillis: Long
)

/**
 * The token bucket of one rate limit, kept by the process that holds the lease for it.
 *
 * Granted tokens occupy the capacity of the bucket until they are reported as spent or returned or
 * have expired, and the reserve of a router out of contact is set aside. The tokens that all
 * routers together may spend therefore never exceed the burst and grow no faster than the rate:
 * over all VMs the workspace sees a single token bucket, whichever messages are lost.
 *
 * @property levelTokens tokens available for grants.
 * @property refillFromMillis when refilling begins.
 * @property toleratedTokens tokens that may still be taken beyond the level.
 * @property promisedTokens tokens that refused requests were told to come back for and that have
 *   not been refilled since.
 * @property contacts the routers in contact or with outstanding tokens, by name.
 */
public data class BucketState(
    public val limit: RateLimit,
    public val levelTokens: Double,
    public val refilledAtMillis: Long,
    public val refillFromMillis: Long,
    public val registry: RouterRegistry,
    public val toleratedTokens: Double = 0.0,
    public val promisedTokens: Double = 0.0,
    public val contacts: PersistentMap<String, RouterContact> = persistentMapOf()
)

/**
 * The routers that may have a reserve.
 *
 * @property routers names of the registered routers.
 * @property readAtMillis when the table was last read; an old registry may lack new routers.
 */
public data class RouterRegistry(public val routers: Set<String>, public val readAtMillis: Long)

/**
 * A router's request for tokens, with a report of the tokens it has spent and returned. The
 * counters are cumulative, so that a repeated request does no harm.
 */
public data class GrantRequest(
    public val router: String,
    public val incarnation: String,
    public val sequence: Long,
    public val neededTokens: Long,
    public val prefetchTokens: Long,
    public val spentTokens: Long,
    public val returnedTokens: Long
)

/** The holder's response to a request for tokens. */
public sealed interface GrantResponse {
    /** [tokens] may be spent until the grant expires. */
    public data class Granted(public val tokens: Long) : GrantResponse

    /** The bucket has too few tokens; enough are expected after [retryAfterMillis]. */
    public data class Wait(public val retryAfterMillis: Long) : GrantResponse
}

/** The response to a request, with the state that follows. */
public data class BucketStep(public val state: BucketState, public val answer: GrantResponse)

/** Grants tokens of a bucket to routers. */
public class BucketMachine(private val settings: TokenGrantSettings) {

    /**
     * Returns the bucket of a process that has just acquired the shard. It is empty and refills
     * only after all grants of a previous holder have expired. Every registered router counts as
     * out of contact.
     */
    public fun start(limit: RateLimit, registry: RouterRegistry, nowMillis: Long): BucketState {
        val grantsExpiredAtMillis = nowMillis + settings.grantValidMillis + settings.skewMillis
        return BucketState(limit, 0.0, nowMillis, grantsExpiredAtMillis, registry)
    }

    /**
     * Returns the bucket of a holder whose predecessor left no outstanding grants, as is the case
     * if all tokens are taken with [take]. The bucket is empty and refills at once.
     * [toleratedTokens], the excess over the rate that operators tolerate, may be taken in
     * addition, once. No reserve is set aside from them.
     */
    public fun startEmpty(
        limit: RateLimit,
        registry: RouterRegistry,
        toleratedTokens: Double,
        nowMillis: Long
    ): BucketState = BucketState(limit, 0.0, nowMillis, nowMillis, registry, toleratedTokens)

    /** Returns the bucket of the first holder ever. No grants exist, so the bucket is full. */
    public fun startFull(limit: RateLimit, registry: RouterRegistry, nowMillis: Long): BucketState {
        val full = BucketState(limit, limit.burstTokens, nowMillis, nowMillis, registry)
        return full.copy(levelTokens = clip(full))
    }

    /** Returns the bucket after the registered routers were read from the table. */
    public fun registered(
        state: BucketState,
        registry: RouterRegistry,
        nowMillis: Long
    ): BucketState {
        val next = refill(state, nowMillis).copy(registry = registry)
        return next.copy(levelTokens = clip(next))
    }

    /** Returns the bucket under a changed [limit]; tokens above a lower burst are dropped. */
    public fun reconfigure(state: BucketState, limit: RateLimit, nowMillis: Long): BucketState =
        refill(state, nowMillis).copy(limit = limit).let { it.copy(levelTokens = clip(it)) }

    /** Processes the report in [request] and grants its tokens if the bucket has enough. */
    public fun ask(state: BucketState, request: GrantRequest, nowMillis: Long): BucketStep {
        val refilled = refill(state, nowMillis)
        val settled = settle(refilled, request, nowMillis)
        val known = settled.contacts.getValue(request.router)
        if (request.sequence <= known.lastSequence) {
            return BucketStep(settled, GrantResponse.Wait(settings.skewMillis))
        }
        return grant(settled, known.copy(lastSequence = request.sequence), request, nowMillis)
    }

    /**
     * Takes [tokens] that [router] spends immediately. Unlike granted tokens they are removed from
     * the bucket for good, so they do not occupy its capacity until they are reported.
     */
    public fun take(
        state: BucketState,
        router: String,
        incarnation: String,
        tokens: Long,
        nowMillis: Long
    ): BucketStep {
        val current = heard(state, router, incarnation, nowMillis)
        val missingTokens = (tokens - current.levelTokens).coerceAtLeast(0.0)
        if (missingTokens > current.toleratedTokens) {
            return BucketStep(current, GrantResponse.Wait(waitMillis(current, tokens)))
        }
        val next = current.copy(
            levelTokens = (current.levelTokens - tokens).coerceAtLeast(0.0),
            toleratedTokens = current.toleratedTokens - missingTokens
        )
        checkInvariants(next)
        return BucketStep(next, GrantResponse.Granted(tokens))
    }

    /**
     * Returns the bucket after a message from [router] other than a request for tokens. This also
     * starts the contact with a router that has not requested tokens yet, so that no reserve is set
     * aside for it.
     */
    public fun heard(
        state: BucketState,
        router: String,
        incarnation: String,
        nowMillis: Long
    ): BucketState {
        val untilMillis = nowMillis + settings.contactMillis
        val known = state.contacts[router]?.takeIf { it.incarnation == incarnation }
            ?: RouterContact(incarnation, 0, 0, 0, 0.0, nowMillis, untilMillis)
        val renewed = known.copy(contactUntilMillis = untilMillis)
        return refill(state.copy(contacts = state.contacts.put(router, renewed)), nowMillis)
    }

    /** Records that a request was told to come back when [tokens] more have been refilled. */
    public fun promise(state: BucketState, tokens: Double): BucketState {
        val maxTokens = state.limit.rateTokensPerSecond * MAX_PROMISED_SECONDS
        return state.copy(promisedTokens = minOf(state.promisedTokens + tokens, maxTokens))
    }

    /** Sets what is promised to [tokens], of which the caller has added up what came before. */
    public fun promiseInAll(state: BucketState, tokens: Double): BucketState =
        promise(state.copy(promisedTokens = 0.0), tokens)

    /** Removes [tokens] that were used without being asked for, as far as there are any. */
    public fun charge(state: BucketState, tokens: Double, nowMillis: Long): BucketState {
        val current = refill(state, nowMillis)
        return current.copy(levelTokens = (current.levelTokens - tokens).coerceAtLeast(0.0))
    }

    /**
     * Returns the time until [tokens] are available in all of [states] together; after those that
     * were promised if [afterPromised].
     */
    public fun waitMillis(states: List<BucketState>, tokens: Double, afterPromised: Boolean): Long {
        val perSecond = states.sumOf(::refillTokensPerSecond)
            .coerceAtLeast(MIN_REFILL_TOKENS_PER_SECOND)
        val promised = if (afterPromised) states.sumOf { it.promisedTokens } else 0.0
        val missing = tokens + promised - states.sumOf { it.levelTokens }
        return (missing / perSecond * MILLIS_PER_SECOND).toLong().coerceAtLeast(1)
    }

    private fun grant(
        state: BucketState,
        contact: RouterContact,
        request: GrantRequest,
        nowMillis: Long
    ): BucketStep {
        val renewed = contact.copy(contactUntilMillis = nowMillis + settings.contactMillis)
        val available = state.levelTokens.toLong()
        if (available < request.neededTokens) {
            val waiting = state.copy(contacts = state.contacts.put(request.router, renewed))
            return BucketStep(waiting, GrantResponse.Wait(waitMillis(state, request.neededTokens)))
        }
        val spare = ((available - request.neededTokens) / PREFETCH_DIVISOR).coerceAtLeast(0)
        val tokens = request.neededTokens + minOf(request.prefetchTokens, spare)
        val granted = renewed.copy(
            outstandingTokens = renewed.outstandingTokens + tokens,
            grantedAtMillis = if (tokens > 0) nowMillis else renewed.grantedAtMillis
        )
        val next = state.copy(
            levelTokens = state.levelTokens - tokens,
            contacts = state.contacts.put(request.router, granted)
        )
        checkInvariants(next)
        return BucketStep(next, GrantResponse.Granted(tokens))
    }

    /** Accounts for the tokens that [request] reports as spent or returned. */
    private fun settle(state: BucketState, request: GrantRequest, nowMillis: Long): BucketState {
        val known = state.contacts[request.router]?.takeIf { it.incarnation == request.incarnation }
            ?: return state.copy(
                contacts = state.contacts.put(request.router, contactOf(request, nowMillis))
            )
        if (request.sequence <= known.lastSequence) return state
        val spent = (request.spentTokens - known.spentTokens).coerceAtLeast(0)
        val returned = (request.returnedTokens - known.returnedTokens).coerceAtLeast(0)
        val credited = minOf(returned.toDouble(), known.outstandingTokens)
        val settled = known.copy(
            spentTokens = maxOf(known.spentTokens, request.spentTokens),
            returnedTokens = maxOf(known.returnedTokens, request.returnedTokens),
            outstandingTokens = (known.outstandingTokens - spent - returned).coerceAtLeast(0.0)
        )
        val next = state.copy(contacts = state.contacts.put(request.router, settled))
        return next.copy(levelTokens = clip(next.copy(levelTokens = next.levelTokens + credited)))
    }

    private fun contactOf(request: GrantRequest, nowMillis: Long): RouterContact = RouterContact(
        incarnation = request.incarnation,
        lastSequence = request.sequence - 1,
        spentTokens = request.spentTokens,
        returnedTokens = request.returnedTokens,
        outstandingTokens = 0.0,
        grantedAtMillis = nowMillis,
        contactUntilMillis = nowMillis + settings.contactMillis
    )

    /** Adds the tokens gained since the last refill, less the reserves set aside. */
    public fun refill(state: BucketState, nowMillis: Long): BucketState {
        val expired = expire(state, nowMillis)
        val from = maxOf(state.refilledAtMillis, state.refillFromMillis)
        if (nowMillis <= from) return expired
        val seconds = (nowMillis - from) / MILLIS_PER_SECOND
        val gained = seconds * refillTokensPerSecond(expired)
        val next = expired.copy(
            refilledAtMillis = nowMillis,
            promisedTokens = (expired.promisedTokens - gained).coerceAtLeast(0.0)
        )
        return next.copy(levelTokens = clip(next.copy(levelTokens = next.levelTokens + gained)))
    }

    private fun expire(state: BucketState, nowMillis: Long): BucketState {
        val grantLifetimeMillis = settings.grantValidMillis + settings.skewMillis
        val isDue = state.contacts.values.any { contact ->
            val isExpired = nowMillis - contact.grantedAtMillis >= grantLifetimeMillis
            val hasNoTokens = isExpired || contact.outstandingTokens == 0.0
            isExpired &&
                contact.outstandingTokens != 0.0 ||
                hasNoTokens &&
                nowMillis >= contact.contactUntilMillis
        }
        if (!isDue) return state
        val kept = state.contacts.mapNotNull { (router, contact) ->
            val isExpired = nowMillis - contact.grantedAtMillis >= grantLifetimeMillis
            val outstanding = if (isExpired) 0.0 else contact.outstandingTokens
            val isRemovable = outstanding == 0.0 && nowMillis >= contact.contactUntilMillis
            if (isRemovable) null else router to contact.copy(outstandingTokens = outstanding)
        }
        return state.copy(contacts = persistentMapOf<String, RouterContact>().putAll(kept.toMap()))
    }

    /**
     * Counts the slots whose router may be using its reserve. If the registry is too old, a free
     * slot may belong to a router that is not in it and counts as well.
     */
    private fun reservedSlots(state: BucketState): Int {
        val age = state.refilledAtMillis - state.registry.readAtMillis
        val outOfContact = state.registry.routers.count { it !in state.contacts }
        val possiblyTaken = settings.routerSlots - state.contacts.size
        val reserved = if (age <= settings.registryFreshMillis) outOfContact else possiblyTaken
        return reserved.coerceIn(0, settings.routerSlots)
    }

    /** Returns the rate at which tokens become available for grants, less the reserves. */
    public fun refillTokensPerSecond(state: BucketState): Double = state.limit.rateTokensPerSecond *
        (1 - reservedSlots(state) / settings.routerSlots.toDouble())

    /** The capacity left for the level: the burst less reserves and outstanding tokens. */
    public fun capacityTokens(state: BucketState): Double {
        val reserved = state.limit.burstTokens * reservedSlots(state) / settings.routerSlots
        val outstanding = state.contacts.values.sumOf { it.outstandingTokens }
        return (state.limit.burstTokens - reserved - outstanding)
            .coerceAtLeast(minOf(state.limit.unitTokens, state.limit.burstTokens))
    }

    private fun clip(state: BucketState): Double =
        state.levelTokens.coerceAtMost(capacityTokens(state))

    private fun waitMillis(state: BucketState, tokens: Long): Long =
        waitMillis(listOf(state), tokens.toDouble(), afterPromised = false)

    private fun checkInvariants(state: BucketState) {
        val outstanding = state.contacts.values.sumOf { it.outstandingTokens }
        invariant(state.levelTokens >= 0) { "the level of a token bucket must not be negative" }
        invariant(state.levelTokens + outstanding <= state.limit.burstTokens + ROUNDING_TOKENS) {
            "tokens available and outstanding must not exceed the burst"
        }
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /** A grant prefetches at most the tokens that remain beyond the need, divided by this. */
        const val PREFETCH_DIVISOR = 4

        /** Callers do not come back later than this. */
        const val MAX_PROMISED_SECONDS = 30

        /** Avoids a division by zero when all slots are reserved. */
        const val MIN_REFILL_TOKENS_PER_SECOND = 0.001

        /** Tolerance for rounding errors of floating-point sums. */
        const val ROUNDING_TOKENS = 0.001
    }
}
