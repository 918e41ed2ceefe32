package cactusfold.decisions.rate

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList

/**
 * What a member may send to one start of a brittle upstream while nobody grants places: as much as
 * it has just seen complete there, and in its turn one request more.
 *
 * @property freedAtMillis when requests of the member were completed whose places were not used
 *   since, nor left to the coordinator.
 * @property aloneSinceMillis when the member first asked in vain; null if it was answered since.
 * @property lastTurn the last turn that was used since then.
 */
public data class PlacesAlone(
    public val freedAtMillis: PersistentList<Long> = persistentListOf(),
    public val aloneSinceMillis: Long? = null,
    public val lastTurn: Long = -1
) {
    /** Returns the state after a request was completed, so that its place is free. */
    public fun freed(nowMillis: Long): PlacesAlone = copy(
        freedAtMillis = (freedAtMillis.takeLast(MAX_FREED - 1) + nowMillis).toPersistentList()
    )

    /** Returns the state after a sign of the coordinator, which may have granted free places. */
    public fun heard(): PlacesAlone =
        if (freedAtMillis.isEmpty()) this else copy(freedAtMillis = persistentListOf())

    /** Returns the state after the coordinator has granted or refused a place. */
    public fun answered(): PlacesAlone =
        if (aloneSinceMillis == null && freedAtMillis.isEmpty()) this else PlacesAlone()

    /**
     * Returns the state after a place was taken, or null if there is none.
     *
     * @param members number of members of the fleet; null if not known.
     * @param position of this member among them, from zero; null if not known.
     */
    public fun take(
        turnAwaysPerSecond: Double,
        members: Int?,
        position: Int?,
        nowMillis: Long
    ): PlacesAlone? {
        val fresh = freedAtMillis.filter { nowMillis - it < FREED_MILLIS }
        if (fresh.isNotEmpty()) return copy(freedAtMillis = fresh.drop(1).toPersistentList())
        if (members == null || position == null) return null
        val turn = turn(turnAwaysPerSecond, members, position, nowMillis) ?: return null
        return if (turn > lastTurn) copy(lastTurn = turn) else null
    }

    /** Returns the state after the coordinator was asked in vain. */
    public fun unanswered(nowMillis: Long): PlacesAlone =
        if (aloneSinceMillis == null) copy(aloneSinceMillis = nowMillis) else this

    /**
     * Returns the number of this member's turn that it is now, or null. Members take turns one after
     * the other, beginning when they lose the coordinator.
     */
    private fun turn(
        turnAwaysPerSecond: Double,
        members: Int,
        position: Int,
        nowMillis: Long
    ): Long? {
        val turnMillis = MILLIS_PER_SECOND / (BrittlePlaces.rate(turnAwaysPerSecond) * SHARE)
        val aloneMillis = nowMillis - (aloneSinceMillis ?: nowMillis)
        val number = (aloneMillis / turnMillis).toLong() - 1
        return (number / members).takeIf { number >= 0 && number % members == position.toLong() }
    }

    private companion object {
        /** A place that is free for longer may have been granted by another coordinator. */
        const val FREED_MILLIS = 600L

        /** More than the places that one member has at an upstream. */
        const val MAX_FREED = 256

        /** Members that lost contact at different times may take their turns at the same time. */
        const val SHARE = 0.5
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
