package cactusfold.decisions.routing

/**
 * A replica as a router sees it.
 *
 * @property reportedRunning requests running by the upstream's last report, which lags.
 * @property inFlight requests that this router itself has sent there and not seen the end of.
 * @property latencyMillis moving average of the time to the first byte seen by this router.
 * @property excludedUntilMillis until when the replica is put aside after failures; 0 when it is not.
 */
public data class ReplicaView(
    public val upstream: String,
    public val zone: String,
    public val slots: Int,
    public val reportedRunning: Int,
    public val reportedWaiting: Int,
    public val inFlight: Int,
    public val latencyMillis: Double,
    public val excludedUntilMillis: Long
) {
    /** Requests expected there: the lagged report, corrected by what this router knows. */
    public val expectedLoad: Int get() = maxOf(reportedRunning, inFlight) + reportedWaiting
}

/**
 * Chooses the replica for a request, from two picked by the caller's random numbers.
 *
 * @property zoneCrossingMillis what a crossing between availability zones costs.
 * @property affinityLoadGap up to how much more load the replica with the cached prefix may have.
 */
public class ReplicaChoice(
    private val zoneCrossingMillis: Double,
    private val affinityLoadGap: Double
) {
    /**
     * Returns one of [replicas], or null when all are put aside or full.
     *
     * @param zone the router's availability zone.
     * @param prefixHolder the upstream that likely holds the prompt's prefix in its cache.
     * @param firstPick and [secondPick] uniform random integers, zero or more.
     */
    public fun choose(
        replicas: List<ReplicaView>,
        zone: String,
        prefixHolder: String?,
        firstPick: Int,
        secondPick: Int,
        nowMillis: Long
    ): ReplicaView? {
        val usable = replicas.filter {
            it.excludedUntilMillis <= nowMillis && it.inFlight < it.slots
        }
        if (usable.isEmpty()) return null
        val a = usable[Math.floorMod(firstPick, usable.size)]
        val b = usable[Math.floorMod(secondPick, usable.size)]
        val best = if (cost(a, zone) <= cost(b, zone)) a else b
        val holder = usable.find { it.upstream == prefixHolder } ?: return best
        val gap = (holder.expectedLoad - best.expectedLoad) / holder.slots.toDouble()
        return if (gap <= affinityLoadGap) holder else best
    }

    private fun cost(replica: ReplicaView, zone: String): Double {
        val crossing = if (replica.zone == zone) 0.0 else zoneCrossingMillis
        val busy = replica.expectedLoad.toDouble() / replica.slots
        return (replica.latencyMillis + MIN_LATENCY_MILLIS) * (1 + busy) + crossing
    }

    private companion object {
        const val MIN_LATENCY_MILLIS = 1.0
    }
}
