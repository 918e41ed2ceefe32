package cactusfold.entry.fleet

import cactusfold.protocol.entry.Departure

/**
 * Departures of upstreams that members may not have learned of yet. They are forgotten after a
 * while, since releases and reclaimed runners add to them for as long as the fleet runs.
 */
internal class RecentDepartures {
    private val noticedAtMillis = LinkedHashMap<Departure, Long>()

    /** Adds [departure] and returns true, or returns false if it is known already. */
    fun add(departure: Departure, nowMillis: Long): Boolean {
        val isNew = departure !in noticedAtMillis
        // A departure that is still reported stays; its upstream has not gone.
        noticedAtMillis.remove(departure)
        noticedAtMillis[departure] = nowMillis
        forgetOld(nowMillis)
        return isNew
    }

    /** Returns the departures that were noticed recently. */
    fun all(nowMillis: Long): List<Departure> {
        forgetOld(nowMillis)
        return noticedAtMillis.keys.toList()
    }

    private fun forgetOld(nowMillis: Long) {
        noticedAtMillis.values.removeIf { nowMillis - it > KEPT_MILLIS }
    }

    /** Forgets all departures. */
    fun clear(): Unit = noticedAtMillis.clear()

    private companion object {
        /** Several times the longest interval at which a member reads the upstreams itself. */
        const val KEPT_MILLIS = 60_000L
    }
}
