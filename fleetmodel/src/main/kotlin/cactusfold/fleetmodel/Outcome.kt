package cactusfold.fleetmodel

/** Results of one class of requests. */
public class RequestClassOutcome(public val name: String) {
    private val firstChunkMillis = mutableListOf<Double>()

    /** Number of requests, without retries. */
    public var requests: Int = 0
        internal set

    /** Number of responses whose first chunk met the latency target. */
    public var inTarget: Int = 0
        private set

    /** Number of responses whose first chunk missed the latency target. */
    public val late: Int get() = firstChunkMillis.size - inTarget

    /** Number of requests that were refused for good. */
    public var refused: Int = 0
        internal set

    /** Number of requests that were aborted or whose callers timed out. */
    public var failed: Int = 0
        internal set

    /** Total time that callers waited in attempts that were refused or timed out. */
    public var unservedWaitMillis: Double = 0.0
        internal set

    internal fun recordFirstChunk(tookMillis: Double, targetMillis: Long) {
        firstChunkMillis += tookMillis
        if (tookMillis <= targetMillis) inTarget++
    }

    /** Returns the [quantile] of the time to the first chunk, or NaN without responses. */
    public fun firstChunkMillis(quantile: Double): Double {
        if (firstChunkMillis.isEmpty()) return Double.NaN
        val sorted = firstChunkMillis.sorted()
        return sorted[((sorted.size - 1) * quantile).toInt()]
    }

    /** Share of the requests whose first chunk met the latency target. */
    public val inTargetShare: Double
        get() = if (requests == 0) 0.0 else inTarget / requests.toDouble()

    /** Share of the requests that got a first chunk. */
    public val servedShare: Double
        get() = if (requests == 0) 0.0 else firstChunkMillis.size / requests.toDouble()
}

/**
 * Results of a simulation run.
 *
 * @property responsesBySecond number of first chunks sent in each second.
 * @property arrivalsBySecond number of new requests in each second, without retries.
 * @property loadsBySource number of model loads started, by the name of their `WeightSource`.
 * @property responsesByModel number of responses by model.
 */
public class Outcome(
    public val classes: List<RequestClassOutcome>,
    public val arrivalsBySecond: List<Int>,
    public val responsesBySecond: List<Int>,
    public val loadsBySource: Map<String, Int>,
    public val responsesByModel: Map<String, Int>
) {
    /** Returns the results of request class [name]. */
    public fun of(name: String): RequestClassOutcome = classes.first { it.name == name }
}
