package cactusfold.entry.rate

import cactusfold.decisions.rate.BrittlePlaces
import cactusfold.decisions.rate.RateLimit
import cactusfold.decisions.rate.UpstreamStart
import cactusfold.entry.upstream.Upstream
import cactusfold.entry.upstream.UpstreamLimits
import cactusfold.node.time.MonotonicClock
import cactusfold.protocol.entry.SendGrant
import cactusfold.protocol.entry.SendRequest
import cactusfold.protocol.entry.UpstreamLimit

/**
 * Permission to send one request to an upstream that limits the requests of all VMs together, or is
 * brittle.
 *
 * @property askedAtMillis when the token was asked for, from which its validity counts.
 * @property useWithinMillis how long it is valid, if that is less than for other limits.
 * @property hasPlace whether it includes a place at a brittle upstream.
 */
public class SendPermit internal constructor(
    internal val start: UpstreamStart,
    internal val askedAtMillis: Long,
    internal val useWithinMillis: Long? = null,
    internal val hasPlace: Boolean = false
) {
    internal var isUsed = false

    /** Whether the place counts as one of a request in flight, or was given up. */
    internal var isPlaceLeft = false
}

/** Whether a request may be sent to an upstream that limits the requests of all VMs together. */
public sealed interface SendDecision {
    /** The request may be sent to [upstream] while [permit] is valid. */
    public data class Permitted(public val upstream: Upstream, public val permit: SendPermit) :
        SendDecision

    /** No candidate accepts a request now; one will after [retryAfterMillis]. */
    public data class Limited(public val retryAfterMillis: Long) : SendDecision

    /** The coordinator could not be reached, and it is not this process's turn to send. */
    public data object Undecided : SendDecision
}

/**
 * Applies the limits of upstreams on the requests of all VMs together, at this process.
 *
 * A token is taken from the coordinator for each send. While the coordinator cannot be reached, the
 * process spends its reserve. It never waits for tokens, so that the request can move on.
 */
public class UpstreamRateLimiter(
    private val member: GrantMember,
    private val clock: MonotonicClock,
    private val limits: UpstreamLimits,
    place: () -> FleetPlace,
    private val ask: suspend (SendRequest) -> SendGrant?
) {
    private val held = MemberTokens(clock, place)
    private val places = PlaceSends(limits.brittle, place)

    /** Records that this process is registered; [wasRegistered] if its VM was so before. */
    public fun registered(wasRegistered: Boolean): Unit = held.registered(wasRegistered)

    /** Records contact with the coordinator, which suspends the use of the reserves. */
    public fun heard() {
        held.heard()
        places.heard()
        held.retain { it is RateSubject.Upstream && limits.find(it.start) != null }
    }

    /** Returns the limit of [upstream], or null if it has none. */
    public fun limitOf(upstream: Upstream): RateLimit? = limits.find(upstream.start)

    /** Whether [upstream] is brittle, so that requests need a place that is granted. */
    public fun isBrittle(upstream: Upstream): Boolean = places.isBrittle(upstream)

    /** Whether a request needs a permit to be sent to [upstream]. */
    public fun needsPermit(upstream: Upstream): Boolean =
        limitOf(upstream) != null || isBrittle(upstream)

    /**
     * Takes a token of one of [candidates], the preferred one first, and a place if it is brittle.
     *
     * @param joinsQueue whether later requests are told to come back after this one if there is no
     *   token; not if it asked before, or can move on to another upstream.
     * @param needsPlace whether the request occupies a place.
     */
    public suspend fun acquire(
        candidates: List<Upstream>,
        joinsQueue: Boolean,
        needsPlace: Boolean = true
    ): SendDecision {
        val brittle = if (needsPlace) candidates.filter(::isBrittle) else emptyList()
        candidates.filter { it !in brittle }.firstNotNullOfOrNull(::trySpend)?.let { return it }
        val askedAtMillis = clock.nowMillis()
        val request = SendRequest.newBuilder().setVm(member.vm).setBoot(member.boot)
            .addAllCandidates(
                candidates.mapNotNull { limits.message(it.start) ?: unlimited(it, it in brittle) }
            )
            .setJoinsQueue(joinsQueue)
            .addAllBrittle(brittle.map { limits.brittle.message(it.start) })
            .build()
        val grant = ask(request)
        return when (grant?.outcome) {
            SendGrant.Outcome.GRANTED -> {
                val upstream = candidates.find { it.entry.id == grant.upstream }
                    ?: return SendDecision.Undecided
                held.heard(subjectOf(upstream))
                if (upstream in brittle) places.granted(upstream, grant.placeGrant)
                permitted(upstream, askedAtMillis, upstream in brittle)
            }
            SendGrant.Outcome.WAIT -> {
                candidates.forEach { held.heard(subjectOf(it)) }
                brittle.forEach(places::refused)
                SendDecision.Limited(grant.retryAfterMillis)
            }
            else -> brittle.firstNotNullOfOrNull(::tryAlone) ?: SendDecision.Undecided
        }
    }

    /** Names a brittle upstream without a limit, for which the coordinator needs a candidate. */
    private fun unlimited(upstream: Upstream, isBrittle: Boolean): UpstreamLimit? {
        if (!isBrittle) return null
        return UpstreamLimit.newBuilder().setUpstream(upstream.entry.id)
            .setStartedAtEpochMillis(upstream.entry.startedAtEpochMillis ?: 0)
            .setHasNoStatement(true).build()
    }

    private fun tryAlone(upstream: Upstream): SendDecision.Permitted? {
        if (!places.takeAlone(upstream)) return null
        val limit = limitOf(upstream)
        if (limit != null && !held.trySpend(subjectOf(upstream), limit, 1)) {
            places.left(upstream.start, isSent = false)
            return null
        }
        return permitted(upstream, clock.nowMillis(), hasPlace = true)
    }

    /**
     * Uses [permit] for the request that is about to be written. Returns false if it has expired,
     * such as after a suspension of this process.
     */
    public fun use(permit: SendPermit): Boolean {
        val nowMillis = clock.nowMillis()
        val isInTime =
            permit.useWithinMillis?.let { nowMillis - permit.askedAtMillis < it } ?: true
        permit.isUsed = isInTime && isGrantValid(permit.askedAtMillis, nowMillis)
        return permit.isUsed
    }

    /**
     * Whether a request for [upstream], with its [permit] if it needed one, may be written now. The
     * upstream may have become cold or brittle since.
     */
    public fun mayWrite(upstream: Upstream, permit: SendPermit?): Boolean = when {
        permit?.hasPlace != true && isBrittle(upstream) -> false
        permit == null -> limits.cold.limitOf(upstream.start) == null
        else -> use(permit)
    }

    /** Records that the request of [permit] counts as in flight at its upstream. */
    public fun started(permit: SendPermit): Unit = leavePlace(permit, isSent = true)

    /** Records that [upstream] has completed a request. */
    public fun completed(upstream: Upstream): Unit = places.completed(upstream)

    /** Records that a request was given up on which [upstream] may still be at work. */
    public fun givenUp(upstream: Upstream): Unit = places.givenUp(upstream)

    /** Records that [upstream] had no place for [request], and holds others back. */
    public fun turnedAway(upstream: Upstream, request: String?): Unit =
        places.turnedAway(upstream, request, clock.nowMillis())

    /** Whether [upstream] states that it is cold, so that requests warm it up. */
    public fun isWarming(upstream: Upstream): Boolean = limits.cold.isWarming(upstream.start)

    /** Records that a connection to [upstream] failed, after which it may be cold. */
    public fun connectionFailed(upstream: Upstream): Unit =
        limits.cold.suspect(upstream.start, "connection")

    /** Keeps the token of [permit] for another request, unless it was used. */
    public fun release(permit: SendPermit) {
        leavePlace(permit, isSent = false)
        // A token for a cold upstream is lost rather than used late.
        if (permit.isUsed || permit.useWithinMillis != null) return
        held.keep(RateSubject.Upstream(permit.start), 1, permit.askedAtMillis)
    }

    private fun leavePlace(permit: SendPermit, isSent: Boolean) {
        if (!permit.hasPlace || permit.isPlaceLeft) return
        permit.isPlaceLeft = true
        places.left(permit.start, isSent)
    }

    private fun permitted(upstream: Upstream, askedAtMillis: Long, hasPlace: Boolean = false) =
        SendDecision.Permitted(
            upstream,
            SendPermit(
                upstream.start,
                askedAtMillis,
                limitOf(upstream)?.useWithinMillis
                    ?: BrittlePlaces.USE_WITHIN_MILLIS.takeIf { hasPlace },
                hasPlace
            )
        )

    private fun trySpend(upstream: Upstream): SendDecision.Permitted? {
        val subject = subjectOf(upstream)
        // A kept token does not become valid for longer.
        val askedAtMillis = held.keptSinceMillis(subject) ?: clock.nowMillis()
        val limit = limitOf(upstream) ?: return permitted(upstream, askedAtMillis)
        if (!held.trySpend(subject, limit, 1)) return null
        return permitted(upstream, askedAtMillis)
    }

    private fun subjectOf(upstream: Upstream) = RateSubject.Upstream(upstream.start)
}
