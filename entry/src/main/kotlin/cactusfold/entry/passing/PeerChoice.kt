package cactusfold.entry.passing

import kotlin.random.Random

/**
 * Chooses the peer that gets a request: one of the own [zone] if any can take it, with the fewest
 * requests in progress, at random among equals.
 */
public class PeerChoice(
    private val zone: String,
    private val maxInFlight: Int,
    private val random: Random = Random
) {
    /** Returns one of [peers] that may get a request at [nowMillis], or null. */
    public fun choose(peers: Collection<Peer>, nowMillis: Long): Peer? {
        val open = peers.filter { it.inFlight < maxInFlight && it.leftOutUntilMillis <= nowMillis }
        val near = open.filter { it.zone == zone }.ifEmpty { open }
        val least = near.minOfOrNull { it.inFlight }
        return near.filter { it.inFlight == least }.randomOrNull(random)
    }
}
