package cactusfold.decisions.places

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet

/** How far the rows of evacuations were read: up to [position] of the store's [era]. */
public data class EvacuationRevision(public val era: Long, public val position: Long) :
    Comparable<EvacuationRevision> {
    override fun compareTo(other: EvacuationRevision): Int =
        compareValuesBy(this, other, { it.era }, { it.position })
}

/**
 * The evacuated availability zones as one process knows them.
 *
 * A row that is missing after the store's era has changed may be lost, so its zone stays evacuated:
 * until the row is written and removed again, its removal is read, or [HELD_MILLIS] have passed.
 *
 * @property revision null before anything is known.
 * @property zones zones with a row as of [revision].
 * @property heldUntilMillis zones whose row was lost with an era, with the time at which they return.
 * @property released zones that were held in this era until their row was removed.
 */
public data class EvacuationState(
    public val revision: EvacuationRevision? = null,
    public val zones: PersistentSet<String> = persistentSetOf(),
    public val heldUntilMillis: PersistentMap<String, Long> = persistentMapOf(),
    public val released: PersistentSet<String> = persistentSetOf()
) {
    /** The zones to which nothing is sent. */
    public val evacuated: Set<String> get() = zones + heldUntilMillis.keys

    /** Returns the state after a read at [next] that showed all rows, those of [present] zones. */
    public fun snapshot(
        present: Set<String>,
        next: EvacuationRevision,
        nowMillis: Long
    ): EvacuationState {
        if (isOlder(next)) return this
        val entered = enter(next, present, nowMillis)
        // A row that was seen in this era and is gone was removed, unlike one that was lost.
        return entered.copy(
            zones = present.toPersistentSet(),
            heldUntilMillis = entered.heldUntilMillis.withoutAll(present)
        )
    }

    /** Returns the state after a read at [next] of the zones [added] and [removed] since. */
    public fun changed(
        added: Set<String>,
        removed: Set<String>,
        next: EvacuationRevision
    ): EvacuationState {
        if (isOlder(next)) return this
        val wasHeld = removed.filter { it in heldUntilMillis }
        return copy(
            revision = next,
            zones = ((zones - removed) + added).toPersistentSet(),
            heldUntilMillis = heldUntilMillis.withoutAll(added + removed),
            released = (released + wasHeld).toPersistentSet()
        )
    }

    /** Returns the state after another process told its [other], whose times are on this clock. */
    public fun heard(other: EvacuationState, nowMillis: Long): EvacuationState {
        val next = other.revision ?: return this
        val isOlder = isOlder(next)
        val entered = if (isOlder) this else enter(next, other.zones, nowMillis)
        val isSameEra = next.era == entered.revision?.era
        val ended = if (isSameEra) entered.released + other.released else entered.released
        val rows = if (isOlder) entered.zones else other.zones
        // What is nearly over is not taken up again, or processes would tell each other forever.
        val taken = other.heldUntilMillis.filter { (zone, untilMillis) ->
            isSameEra &&
                zone !in entered.heldUntilMillis &&
                untilMillis - nowMillis > MIN_HEARD_MILLIS
        }
        val held = (entered.heldUntilMillis + taken).filterKeys { it !in ended && it !in rows }
        return entered.copy(
            zones = rows,
            heldUntilMillis = held.toPersistentMap(),
            released = ended.toPersistentSet()
        )
    }

    /** Returns the state without zones that were held for long enough. */
    public fun expired(nowMillis: Long): EvacuationState {
        if (heldUntilMillis.values.none { it <= nowMillis }) return this
        return copy(
            heldUntilMillis = heldUntilMillis.filterValues { it > nowMillis }.toPersistentMap()
        )
    }

    private fun isOlder(next: EvacuationRevision) = revision != null && next < revision

    /** Holds the zones that are missing in [present], if [next] is the first read of its era. */
    private fun enter(
        next: EvacuationRevision,
        present: Set<String>,
        nowMillis: Long
    ): EvacuationState {
        if (revision == null || revision.era == next.era) return copy(revision = next)
        val lost = (zones - present).associateWith { nowMillis + HELD_MILLIS }
        return copy(
            revision = next,
            heldUntilMillis = (lost + heldUntilMillis).toPersistentMap(),
            released = persistentSetOf()
        )
    }

    private fun PersistentMap<String, Long>.withoutAll(keys: Set<String>) =
        filterKeys { it !in keys }.toPersistentMap()

    public companion object {
        /** Time for an operator to write the row again; a zone is not out of use for ever. */
        public const val HELD_MILLIS: Long = 600_000

        private const val MIN_HEARD_MILLIS = 1_000L
    }
}
