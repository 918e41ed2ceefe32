package cactusfold.decisions.rate

import cactusfold.decisions.invariant
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * What a router may still spend, as its holder knows it.
 *
 * @property outstandingTokens granted and neither reported as spent or returned, nor expired.
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
 * The bucket of one workspace at the holder of its shard.
 *
 * Granted tokens go on occupying the bucket's capacity until they are reported as spent, returned or
 * expired, and a router out of contact has its reserve set aside. So at any moment the tokens that
 * anybody may spend are at most the burst, and they grow at most at the rate: over all VMs together
 * the workspace sees one token bucket, whatever is lost on the way.
 */
public data class BucketState(
    public val limit: RateLimit,
    public val levelTokens: Double,
    public val refilledAtMillis: Long,
    public val refillFromMillis: Long,
    public val registry: RouterRegistry,
    public val toleratedTokens: Double = 0.0,
    public val contacts: PersistentMap<String, RouterContact> = persistentMapOf()
)

/**
 * The routers that may own a reserve.
 *
 * @property routers names of the registered routers.
 * @property readAtMillis when the table was last read; an old registry may lack routers.
 */
public data class RouterRegistry(public val routers: Set<String>, public val readAtMillis: Long)

/** A router's report and wish. Cumulative counters make a repeated request harmless. */
public data class GrantRequest(
    public val router: String,
    public val incarnation: String,
    public val sequence: Long,
    public val neededTokens: Long,
    public val prefetchTokens: Long,
    public val spentTokens: Long,
    public val returnedTokens: Long
)

/** The holder's answer. */
public sealed interface GrantResponse {
    /** [tokens] may be spent within the validity of grants. */
    public data class Granted(public val tokens: Long) : GrantResponse

    /** The bucket lacks tokens; enough will be there after [retryAfterMillis]. */
    public data class Wait(public val retryAfterMillis: Long) : GrantResponse
}

/** What the holder decided. */
public data class BucketStep(public val state: BucketState, public val answer: GrantResponse)

/** Grants tokens of a workspace's bucket to routers. */
public class BucketMachine(private val settings: TokenGrantSettings) {

    /**
     * Returns the bucket of a holder that has just begun. It is empty, and refills only once grants
     * of an earlier holder have expired. Every registered router counts as out of contact.
     */
    public fun start(limit: RateLimit, registry: RouterRegistry, nowMillis: Long): BucketState {
        val quietUntil = nowMillis + settings.grantValidMillis + settings.skewMillis
        return BucketState(limit, 0.0, nowMillis, quietUntil, registry)
    }

    /**
     * Returns the bucket of a holder whose predecessor granted nothing that is still to be spent, as
     * when all tokens are taken by [take]. The bucket is empty; [toleratedTokens] may be taken beyond
     * it, once, since the operators tolerate as much over the rate. No reserve is set aside of them.
     */
    public fun startEmpty(
        limit: RateLimit,
        registry: RouterRegistry,
        toleratedTokens: Double,
        nowMillis: Long
    ): BucketState = BucketState(limit, 0.0, nowMillis, nowMillis, registry, toleratedTokens)

    /** Returns the bucket of the first holder there ever was: nobody holds grants, so it is full. */
    public fun startFull(limit: RateLimit, registry: RouterRegistry, nowMillis: Long): BucketState {
        val full = BucketState(limit, limit.burstTokens, nowMillis, nowMillis, registry)
        return full.copy(levelTokens = clip(full))
    }

    /** Returns the bucket after the table was read. */
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

    /** Returns what follows from [ask]. */
    public fun ask(state: BucketState, ask: GrantRequest, nowMillis: Long): BucketStep {
        val refilled = refill(state, nowMillis)
        val settled = settle(refilled, ask, nowMillis)
        val known = settled.contacts.getValue(ask.router)
        if (ask.sequence <= known.lastSequence) {
            return BucketStep(settled, GrantResponse.Wait(settings.skewMillis))
        }
        return grant(settled, known.copy(lastSequence = ask.sequence), ask, nowMillis)
    }

    /**
     * Takes [tokens] that [router] spends at once. Unlike a grant they leave the bucket for good, so
     * they occupy none of its capacity until they are reported.
     */
    public fun take(
        state: BucketState,
        router: String,
        incarnation: String,
        tokens: Long,
        nowMillis: Long
    ): BucketStep {
        val current = heard(state, router, incarnation, nowMillis)
        val lacking = (tokens - current.levelTokens).coerceAtLeast(0.0)
        if (lacking > current.toleratedTokens) {
            return BucketStep(current, GrantResponse.Wait(timeUntil(current, tokens)))
        }
        val next = current.copy(
            levelTokens = (current.levelTokens - tokens).coerceAtLeast(0.0),
            toleratedTokens = current.toleratedTokens - lacking
        )
        check(next)
        return BucketStep(next, GrantResponse.Granted(tokens))
    }

    /**
     * Returns the bucket after [router] was heard from without an ask. A router that has asked for
     * nothing yet gets into contact too, so that no reserve is set aside for it.
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

    private fun grant(
        state: BucketState,
        contact: RouterContact,
        ask: GrantRequest,
        nowMillis: Long
    ): BucketStep {
        val renewed = contact.copy(contactUntilMillis = nowMillis + settings.contactMillis)
        val available = state.levelTokens.toLong()
        if (available < ask.neededTokens) {
            val waiting = state.copy(contacts = state.contacts.put(ask.router, renewed))
            return BucketStep(waiting, GrantResponse.Wait(timeUntil(state, ask.neededTokens)))
        }
        val spare = ((available - ask.neededTokens) / PREFETCH_DIVISOR).coerceAtLeast(0)
        val tokens = ask.neededTokens + minOf(ask.prefetchTokens, spare)
        val granted = renewed.copy(
            outstandingTokens = renewed.outstandingTokens + tokens,
            grantedAtMillis = if (tokens > 0) nowMillis else renewed.grantedAtMillis
        )
        val next = state.copy(
            levelTokens = state.levelTokens - tokens,
            contacts = state.contacts.put(ask.router, granted)
        )
        check(next)
        return BucketStep(next, GrantResponse.Granted(tokens))
    }

    /** Books the tokens that [ask] reports as spent and returned. */
    private fun settle(state: BucketState, ask: GrantRequest, nowMillis: Long): BucketState {
        val known = state.contacts[ask.router]?.takeIf { it.incarnation == ask.incarnation }
            ?: return state.copy(contacts = state.contacts.put(ask.router, first(ask, nowMillis)))
        if (ask.sequence <= known.lastSequence) return state
        val spent = (ask.spentTokens - known.spentTokens).coerceAtLeast(0)
        val returned = (ask.returnedTokens - known.returnedTokens).coerceAtLeast(0)
        val credited = minOf(returned.toDouble(), known.outstandingTokens)
        val settled = known.copy(
            spentTokens = maxOf(known.spentTokens, ask.spentTokens),
            returnedTokens = maxOf(known.returnedTokens, ask.returnedTokens),
            outstandingTokens = (known.outstandingTokens - spent - returned).coerceAtLeast(0.0)
        )
        val next = state.copy(contacts = state.contacts.put(ask.router, settled))
        return next.copy(levelTokens = clip(next.copy(levelTokens = next.levelTokens + credited)))
    }

    private fun first(ask: GrantRequest, nowMillis: Long): RouterContact = RouterContact(
        incarnation = ask.incarnation,
        lastSequence = ask.sequence - 1,
        spentTokens = ask.spentTokens,
        returnedTokens = ask.returnedTokens,
        outstandingTokens = 0.0,
        grantedAtMillis = nowMillis,
        contactUntilMillis = nowMillis + settings.contactMillis
    )

    /** Adds what the time since the last refill brought, less the reserves set aside. */
    public fun refill(state: BucketState, nowMillis: Long): BucketState {
        val expired = expire(state, nowMillis)
        val from = maxOf(state.refilledAtMillis, state.refillFromMillis)
        if (nowMillis <= from) return expired
        val seconds = (nowMillis - from) / MILLIS_PER_SECOND
        val gained = seconds * refillTokensPerSecond(expired)
        val next = expired.copy(refilledAtMillis = nowMillis)
        return next.copy(levelTokens = clip(next.copy(levelTokens = next.levelTokens + gained)))
    }

    private fun expire(state: BucketState, nowMillis: Long): BucketState {
        val lapseMillis = settings.grantValidMillis + settings.skewMillis
        val kept = state.contacts.mapNotNull { (router, contact) ->
            val lapsed = nowMillis - contact.grantedAtMillis >= lapseMillis
            val outstanding = if (lapsed) 0.0 else contact.outstandingTokens
            val gone = outstanding == 0.0 && nowMillis >= contact.contactUntilMillis
            if (gone) null else router to contact.copy(outstandingTokens = outstanding)
        }
        if (kept.size == state.contacts.size && kept.all { (r, c) -> state.contacts[r] == c }) {
            return state
        }
        return state.copy(contacts = persistentMapOf<String, RouterContact>().putAll(kept.toMap()))
    }

    /** Slots whose router may be using its reserve: an old registry leaves free slots in doubt. */
    private fun reservedSlots(state: BucketState): Int {
        val age = state.refilledAtMillis - state.registry.readAtMillis
        val silent = state.registry.routers.count { it !in state.contacts }
        val unknown = settings.routerSlots - state.contacts.size
        val reserved = if (age <= settings.registryFreshMillis) silent else unknown
        return reserved.coerceIn(0, settings.routerSlots)
    }

    private fun refillTokensPerSecond(state: BucketState): Double =
        state.limit.rateTokensPerSecond *
            (1 - reservedSlots(state) / settings.routerSlots.toDouble())

    /** Tokens the holder may keep: the burst less reserves and less what is outstanding. */
    private fun capacityTokens(state: BucketState): Double {
        val reserved = state.limit.burstTokens * reservedSlots(state) / settings.routerSlots
        val outstanding = state.contacts.values.sumOf { it.outstandingTokens }
        return (state.limit.burstTokens - reserved - outstanding).coerceAtLeast(0.0)
    }

    private fun clip(state: BucketState): Double =
        state.levelTokens.coerceAtMost(capacityTokens(state))

    private fun timeUntil(state: BucketState, tokens: Long): Long {
        val perSecond = refillTokensPerSecond(state).coerceAtLeast(MIN_REFILL_TOKENS_PER_SECOND)
        val seconds = (tokens - state.levelTokens) / perSecond
        return (seconds * MILLIS_PER_SECOND).toLong().coerceAtLeast(1)
    }

    private fun check(state: BucketState) {
        val outstanding = state.contacts.values.sumOf { it.outstandingTokens }
        invariant(state.levelTokens >= 0) { "a bucket never goes below empty" }
        invariant(state.levelTokens + outstanding <= state.limit.burstTokens + ROUNDING_TOKENS) {
            "tokens that may be spent never pass the burst"
        }
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
        const val PREFETCH_DIVISOR = 4
        const val MIN_REFILL_TOKENS_PER_SECOND = 0.001
        const val ROUNDING_TOKENS = 0.001
    }
}
