package cactusfold.entry.passing

import kotlin.random.Random

/**
 * Chooses the peer that gets a request: one that reaches its service as far as is known, with the
 * fewest requests in progress, at random among equals. Peers of other zones than the own [zone]
 * count as having some requests more.
 */
public class PeerChoice(
    private val zone: String,
    private val maxInFlight: Int,
    private val random: Random = Random
) {
    /**
     * Returns one of [peers] that may get a request for [service] at [nowMillis], or null. The own
     * zone comes last if it [leavesZone], since the peers there may be cut off too.
     */
    public fun choose(
        peers: Collection<Peer>,
        service: String,
        nowMillis: Long,
        leavesZone: Boolean = false
    ): Peer? {
        val open = peers.filter { it.inFlight < maxInFlight && it.leftOutUntilMillis <= nowMillis }
        val reaching = open.filter { !it.isCutFrom(service, nowMillis) }.ifEmpty { open }
        val least = reaching.minOfOrNull { cost(it, leavesZone) }
        return reaching.filter { cost(it, leavesZone) == least }.randomOrNull(random)
    }

    private fun cost(peer: Peer, leavesZone: Boolean): Int {
        val isNear = (peer.zone == zone) != leavesZone
        return if (isNear) peer.inFlight else peer.inFlight + FAR_REQUESTS
    }

    private companion object {
        /** Keeps a peer of the own zone that is slow or silent from getting all requests. */
        const val FAR_REQUESTS = 4
    }
}
