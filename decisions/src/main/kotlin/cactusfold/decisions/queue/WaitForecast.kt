package cactusfold.decisions.queue

import kotlin.math.ceil

/**
 * The capacity that waiting requests share, in units of work: tokens, or requests for places.
 *
 * @property workPerSecond work that becomes possible per second; zero if nothing is known of it.
 * @property availableWork work that is possible at once.
 * @property promisedWork work of requests that were refused and told when to come back.
 * @property offered what is asked for of the capacity.
 */
public data class ServingCapacity(
    public val workPerSecond: Double,
    public val availableWork: Double = 0.0,
    public val promisedWork: Double = 0.0,
    public val offered: OfferedWork = OfferedWork()
) {
    public companion object {
        /**
         * Returns the capacity of [busyPlaces] places, each of which becomes free after
         * [serviceMillis] on average.
         */
        public fun ofPlaces(
            busyPlaces: Int,
            serviceMillis: Long,
            offered: OfferedWork
        ): ServingCapacity = ServingCapacity(
            if (serviceMillis > 0) busyPlaces * MILLIS_PER_SECOND / serviceMillis else 0.0,
            offered = offered
        )

        private const val MILLIS_PER_SECOND = 1_000.0
    }
}

/** When a request can be served. */
public sealed interface WaitOutlook {
    /** Expected wait of the request, behind those that rank before it. */
    public val waitMillis: Long

    /** The request can be served before its limit. */
    public data class Servable(override val waitMillis: Long) : WaitOutlook

    /**
     * The request cannot be served before its limit.
     *
     * @property retryAfterMillis time until there is capacity for it, behind all that wait and
     *   those that were told to come back.
     * @property promisedWork the capacity's [ServingCapacity.promisedWork] after this refusal. It
     *   contains the request only if its caller can be expected to come back.
     */
    public data class Hopeless(
        override val waitMillis: Long,
        public val retryAfterMillis: Long,
        public val promisedWork: Double
    ) : WaitOutlook
}

/**
 * Forecasts when requests of a [WaitingList] are served.
 *
 * A request meets its target if what ranks before it can be served by then with the capacity that
 * more urgent requests leave. A request that cannot meet its target is passed by all that can. It
 * is served when these leave something, or from half of its time limit on with the share of the
 * capacity that is set aside for aged requests. If that is too late as well, it is hopeless.
 */
public object WaitForecast {
    /**
     * Callers honour a time to come back of up to their remaining time divided by this, so later
     * ones are not expected and nothing is set aside for them.
     */
    private const val RETURN_SHARE_DIVISOR = 3
    private const val MILLIS_PER_SECOND = 1_000.0

    /** Stands for a wait that does not end. */
    private const val NEVER_MILLIS = 3_600_000L

    /** Forecasts when [request] is served, which may be among those in [waiting]. */
    public fun of(
        waiting: List<WaitingRequest>,
        request: WaitingRequest,
        capacity: ServingCapacity,
        nowMillis: Long
    ): WaitOutlook {
        if (capacity.workPerSecond <= 0) return WaitOutlook.Servable(0)
        val rank = RequestRank.of(request, nowMillis)
        var aheadWork = 0L
        var lateWork = 0L
        var allWork = 0L
        for (other in waiting) {
            if (other.id == request.id) continue
            allWork += other.costTokens
            if (RequestRank.of(other, nowMillis) < rank) aheadWork += other.costTokens
            val isLate = other.priority >= request.priority || nowMillis > other.targetAtMillis
            if (isLate && other.deadlineMillis <= request.deadlineMillis) {
                lateWork += other.costTokens
            }
        }
        val own = request.costTokens
        val sharePerSecond = capacity.workPerSecond * WaitingList.AGED_WORK_SHARE
        val leftPerSecond = capacity.workPerSecond -
            capacity.offered.perSecondBefore(request.priority, nowMillis)
        val inTimeMillis = millisUntil(aheadWork + own, leftPerSecond, capacity)
        if (nowMillis + inTimeMillis <= request.targetAtMillis) {
            return WaitOutlook.Servable(inTimeMillis)
        }
        val sparePerSecond = capacity.workPerSecond -
            capacity.offered.perSecondBefore(request.priority + 1, nowMillis)
        val raisedMillis = RequestRank.raisedAtMillis(request) - nowMillis
        val lateMillis = maxOf(
            inTimeMillis.takeIf { it < NEVER_MILLIS } ?: 0,
            minOf(
                millisUntil(aheadWork + own, sparePerSecond, capacity),
                maxOf(raisedMillis, millisUntil(lateWork + own, sharePerSecond, capacity))
            )
        )
        if (nowMillis + lateMillis <= request.deadlineMillis) {
            return WaitOutlook.Servable(lateMillis)
        }
        // What waits is not promised yet, and what was promised is not waiting.
        val backlog = maxOf(capacity.promisedWork, allWork - capacity.availableWork)
        val promised = backlog.coerceAtLeast(0.0) + own
        val returnPerSecond = maxOf(leftPerSecond, sharePerSecond)
        val retryAfterMillis = (promised / returnPerSecond * MILLIS_PER_SECOND).toLong()
            .coerceIn(1, NEVER_MILLIS)
        val remainingMillis = request.deadlineMillis - nowMillis
        val returns = retryAfterMillis <= remainingMillis / RETURN_SHARE_DIVISOR
        return WaitOutlook.Hopeless(
            lateMillis,
            retryAfterMillis,
            if (returns) promised else capacity.promisedWork
        )
    }

    private fun millisUntil(work: Long, perSecond: Double, capacity: ServingCapacity): Long {
        val missing = work - capacity.availableWork
        return when {
            missing <= 0 -> 0
            perSecond <= 0 -> NEVER_MILLIS
            else -> ceil(
                missing / perSecond * MILLIS_PER_SECOND
            ).toLong().coerceAtMost(NEVER_MILLIS)
        }
    }
}
