package cactusfold.decisions.rate

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap

/**
 * What a member states of its requests at one start of a brittle upstream.
 *
 * @property boot the run of the member's process.
 * @property sequence rises with each statement of the process.
 * @property held requests that may occupy a place there, also those that are yet to be sent.
 * @property lastGrant number of the last grant that is part of [held], or was used up before.
 * @property turnedAway requests that the upstream has turned away so far.
 */
public data class PlaceUse(
    public val boot: String,
    public val sequence: Long,
    public val held: Int,
    public val lastGrant: Long,
    public val turnedAway: Long
)

/**
 * What the coordinator knows of one member.
 *
 * @property peak the most requests that the member has stated to this coordinator.
 * @property pendingGrants when each grant was made that the member has not stated yet, by number.
 */
public data class MemberPlaces(
    public val use: PlaceUse,
    public val heardAtMillis: Long,
    public val peak: Int = use.held,
    public val pendingGrants: PersistentMap<Long, Long> = persistentMapOf()
) {
    /** Places that the member uses, at most. */
    public val count: Int get() = use.held + pendingGrants.size
}

/**
 * The places of one start of a brittle upstream, as counted by the coordinator.
 *
 * @property slots places that the upstream says it has.
 * @property turnAwaysPerSecond requests that it can turn away without falling over.
 * @property ceiling places that are granted: fewer than [slots] if others may use some that are not
 * counted. It rises by the sends that the upstream may have to turn away.
 * @property raisedAtMillis when [ceiling] was computed.
 * @property isSettled whether the members have had time to tell what they use.
 */
public data class BrittlePlaces(
    public val slots: Int,
    public val turnAwaysPerSecond: Double,
    public val ceiling: Double,
    public val raisedAtMillis: Long,
    public val isSettled: Boolean,
    public val members: PersistentMap<String, MemberPlaces> = persistentMapOf()
) {
    /** Places that the members use, at most. */
    public val count: Int get() = members.values.sumOf { it.count }

    private val hasPlace: Boolean get() = count < ceiling.toInt()

    /**
     * Whether a place can be granted to [member]; null if it is not known yet. Until then a member
     * is granted places that it has used itself.
     */
    public fun hasPlace(member: String): Boolean? {
        val own = members[member]
        return when {
            isSettled -> hasPlace
            hasPlace && own != null && own.count < own.peak -> true
            else -> null
        }
    }

    /**
     * Returns the places once the members have had time to tell what they use. The others of
     * [memberCount] may use as much as these.
     */
    public fun settled(memberCount: Int): BrittlePlaces {
        if (isSettled) return this
        val share = (members.size.toDouble() / memberCount.coerceAtLeast(1)).coerceAtMost(1.0)
        val known = maxOf(slots * share, members.values.sumOf { it.peak }.toDouble())
        return copy(ceiling = known.coerceAtMost(slots.toDouble()), isSettled = true)
    }

    /** Returns the places after a suspension, in which the members have used others. */
    public fun unsettled(): BrittlePlaces = copy(isSettled = false, members = persistentMapOf())

    /** Returns the places at [nowMillis], without what members can no longer use. */
    public fun at(nowMillis: Long): BrittlePlaces {
        val gained = rate(turnAwaysPerSecond) * (nowMillis - raisedAtMillis) / MILLIS_PER_SECOND
        val current = copy(members = current(nowMillis))
        // What lost contact may still occupy its places.
        val lost = count - current.count
        return current.copy(
            ceiling = (ceiling + gained - lost).coerceIn(0.0, slots.toDouble()),
            raisedAtMillis = maxOf(nowMillis, raisedAtMillis)
        )
    }

    private fun current(nowMillis: Long): PersistentMap<String, MemberPlaces> {
        val isDue = members.values.any { member ->
            nowMillis - member.heardAtMillis >= MEMBER_MILLIS ||
                member.pendingGrants.values.any { nowMillis - it >= GRANT_MILLIS }
        }
        if (!isDue) return members
        return members.filterValues { nowMillis - it.heardAtMillis < MEMBER_MILLIS }
            .mapValues { (_, member) ->
                val open = member.pendingGrants.filterValues { nowMillis - it < GRANT_MILLIS }
                member.copy(pendingGrants = open.toPersistentMap())
            }
            .toPersistentMap()
    }

    /** Returns the places with what the upstream states now. */
    public fun stated(slots: Int, turnAwaysPerSecond: Double): BrittlePlaces {
        val wasLowered = ceiling < this.slots
        return copy(
            slots = slots,
            turnAwaysPerSecond = turnAwaysPerSecond,
            ceiling = if (wasLowered) minOf(ceiling, slots.toDouble()) else slots.toDouble()
        )
    }

    /**
     * Returns the places after [member] stated [use]. If the upstream has turned its requests away,
     * others that this process knows nothing of occupy places: as many as are counted are granted
     * from then on, and one more from time to time.
     */
    public fun heard(member: String, use: PlaceUse, nowMillis: Long): BrittlePlaces {
        val current = at(nowMillis)
        val known = current.members[member]?.takeIf { it.use.boot == use.boot }
        if (known != null && use.sequence <= known.use.sequence) return current
        val pending = known?.pendingGrants?.filterKeys { it > use.lastGrant }.orEmpty()
        val peak = maxOf(use.held, known?.peak ?: 0)
        val places = MemberPlaces(use, nowMillis, peak, pending.toPersistentMap())
        val next = current.copy(members = current.members.put(member, places))
        if (known == null || use.turnedAway <= known.use.turnedAway) return next
        val lowered = maxOf(next.count.toDouble(), next.ceiling / 2)
        return next.copy(ceiling = minOf(next.ceiling, lowered))
    }

    /** Returns the places after a place was granted to [member], which has stated its use. */
    public fun granted(member: String, grant: Long, nowMillis: Long): BrittlePlaces {
        val places = members[member] ?: return this
        val pending = places.pendingGrants.put(grant, nowMillis)
        return copy(members = members.put(member, places.copy(pendingGrants = pending)))
    }

    /** Returns the time after which a member may ask again; all together ask at a bounded rate. */
    public fun retryAfterMillis(): Long =
        (MILLIS_PER_MEMBER * members.size).coerceIn(MIN_RETRY_MILLIS, MAX_RETRY_MILLIS)

    public companion object {
        /** A grant is used within this time after it was asked for, or not at all. */
        public const val USE_WITHIN_MILLIS: Long = 500

        /** Time after a new coordinator's start in which the members tell what they use. */
        public const val SETTLE_MILLIS: Long = 1_500

        /** A grant has been used and stated by then, or was lost. */
        private const val GRANT_MILLIS = 2 * USE_WITHIN_MILLIS

        /** Several times the silence after which the coordinator counts as lost. */
        private const val MEMBER_MILLIS = 4_000L
        private const val MILLIS_PER_MEMBER = 10L
        private const val MIN_RETRY_MILLIS = 50L
        private const val MAX_RETRY_MILLIS = 400L
        private const val MILLIS_PER_SECOND = 1_000.0
        private const val RISKED_SHARE = 1 / 3.0

        /** An upstream that can turn nothing away would never be found to have more places. */
        private const val MIN_RATE = 0.1

        /** Sends per second, of all members, that the upstream may have to turn away. */
        internal fun rate(turnAwaysPerSecond: Double): Double =
            (turnAwaysPerSecond * RISKED_SHARE).coerceIn(MIN_RATE, Int.MAX_VALUE.toDouble())

        /** Returns the places of an upstream of which no member has stated anything yet. */
        public fun start(
            slots: Int,
            turnAwaysPerSecond: Double,
            isSettled: Boolean,
            nowMillis: Long
        ): BrittlePlaces =
            BrittlePlaces(slots, turnAwaysPerSecond, slots.toDouble(), nowMillis, isSettled)
    }
}
