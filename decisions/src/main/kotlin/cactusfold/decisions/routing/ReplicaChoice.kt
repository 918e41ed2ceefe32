package cactusfold.decisions.routing

/**
 * The state of a replica as known to a router.
 *
 * @property slots number of requests that the replica can process concurrently.
 * @property reportedRunning running requests according to the last report of the upstream, which
 *   lags behind.
 * @property reportedWaiting queued requests according to the same report.
 * @property inFlight requests of this router that are in flight at the replica.
 * @property latencyMillis moving average of the time to first byte measured by this router.
 * @property excludedUntilMillis until when the replica is not selected because of failures. It is
 *   selectable if this is not in the future.
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
    /** The estimated number of requests: the delayed report, corrected by [inFlight]. */
    public val expectedLoad: Int get() = maxOf(reportedRunning, inFlight) + reportedWaiting
}

/**
 * Chooses the replica for a request by the power of two random choices: the cheaper of two replicas
 * that are picked with random numbers of the caller. A replica with the prompt's prefix in its
 * cache is preferred unless it is much busier.
 *
 * @property zoneCrossingMillis cost of a request to another availability zone.
 * @property affinityLoadGap how much higher the load of the replica with the cached prefix may be,
 *   as a fraction of its slots.
 */
public class ReplicaChoice(
    private val zoneCrossingMillis: Double,
    private val affinityLoadGap: Double
) {
    /**
     * Returns one of [replicas], or null if all of them are excluded or full.
     *
     * @param zone availability zone of the router.
     * @param prefixHolder the upstream that probably has the prefix of the prompt in its cache.
     * @param firstPick uniformly distributed random integer, zero or more, as is [secondPick].
     */
    public fun choose(
        replicas: List<ReplicaView>,
        zone: String,
        prefixHolder: String?,
        firstPick: Int,
        secondPick: Int,
        nowMillis: Long
    ): ReplicaView? {
        val candidates = replicas.filter {
            it.excludedUntilMillis <= nowMillis && it.inFlight < it.slots
        }
        if (candidates.isEmpty()) return null
        val a = candidates[Math.floorMod(firstPick, candidates.size)]
        val b = candidates[Math.floorMod(secondPick, candidates.size)]
        val best = if (cost(a, zone) <= cost(b, zone)) a else b
        val cached = candidates.find { it.upstream == prefixHolder } ?: return best
        val loadGap = (cached.expectedLoad - best.expectedLoad) / cached.slots.toDouble()
        return if (loadGap <= affinityLoadGap) cached else best
    }

    private fun cost(replica: ReplicaView, zone: String): Double {
        val crossing = if (replica.zone == zone) 0.0 else zoneCrossingMillis
        val utilization = replica.expectedLoad.toDouble() / replica.slots
        return (replica.latencyMillis + ADDED_LATENCY_MILLIS) * (1 + utilization) + crossing
    }

    private companion object {
        /** Added to the latency, so that the load counts even before anything was measured. */
        const val ADDED_LATENCY_MILLIS = 1.0
    }
}
