package cactusfold.decisions.queue

/**
 * The place of a request among others that wait for the same capacity; the lowest goes first.
 *
 * The order is by class, by whether the target can still be met, by slack and by work. Slack counts
 * in bands that double, and within a band the request with the least work goes first, so that a
 * millisecond of slack does not outweigh a thousand tokens.
 *
 * @property level the priority, raised by age; [AGED_LEVEL] precedes every priority.
 * @property isTargetLost whether the latency target can no longer be met.
 * @property slackMillis time left until the request has to be dispatched to meet its target or, if
 *   that is lost, its limit.
 * @property workTokens tokens that the request needs.
 */
public data class RequestRank(
    public val level: Int,
    public val isTargetLost: Boolean,
    public val slackMillis: Long,
    public val workTokens: Long,
    private val arrivedAtMillis: Long,
    private val id: String
) : Comparable<RequestRank> {
    private val slackBand: Int
        get() = if (level == AGED_LEVEL) {
            // The aged are served by deadline alone: small requests must not pass large ones again.
            0
        } else {
            Long.SIZE_BITS -
                (slackMillis.coerceAtLeast(0) / FIRST_BAND_MILLIS + 1).countLeadingZeroBits()
        }

    override fun compareTo(other: RequestRank): Int {
        if (level != other.level) return level.compareTo(other.level)
        if (isTargetLost != other.isTargetLost) return isTargetLost.compareTo(other.isTargetLost)
        val band = slackBand
        val byBand = band.compareTo(other.slackBand)
        if (byBand != 0) return byBand
        val byWork = if (level == AGED_LEVEL) 0 else workTokens.compareTo(other.workTokens)
        if (byWork != 0) return byWork
        val bySlack = slackMillis.compareTo(other.slackMillis)
        if (bySlack != 0) return bySlack
        val byArrival = arrivedAtMillis.compareTo(other.arrivedAtMillis)
        return if (byArrival != 0) byArrival else id.compareTo(other.id)
    }

    /**
     * Returns the urgency for upstreams, from 0 to [LEAST_URGENT], over which [priorities] are
     * spread. Slack does not count: a runner that is short of memory preempts what is less urgent,
     * also in the middle of a stream, and the work done is lost.
     *
     * @param priorities the different priorities in use, in ascending order.
     */
    public fun urgency(priorities: List<Int>): Int {
        if (level == AGED_LEVEL) return 0
        val index = priorities.indexOfLast { it <= level }.coerceAtLeast(0)
        val width = ((LEAST_URGENT + 1) / priorities.size).coerceAtLeast(1)
        return (index * width).coerceAtMost(LEAST_URGENT)
    }

    override fun toString(): String =
        "$level${if (isTargetLost) " late" else ""} ${slackMillis}ms ${workTokens}t"

    public companion object {
        /** Level of requests that have waited for three quarters of their time limit. */
        public const val AGED_LEVEL: Int = -1

        /** The least urgent level that upstreams know. */
        public const val LEAST_URGENT: Int = 9

        private const val FIRST_BAND_MILLIS = 100L

        private const val RAISED_AGE_SHARE = 0.5
        private const val AGED_SHARE = 0.75

        /** Returns when [request] is raised by its age. */
        public fun raisedAtMillis(request: WaitingRequest): Long {
            val limitMillis = request.deadlineMillis - request.arrivedAtMillis
            return request.arrivedAtMillis + (limitMillis * RAISED_AGE_SHARE).toLong()
        }

        /** Returns the rank of [request] at [nowMillis], raised by its age if [isRaised]. */
        public fun of(
            request: WaitingRequest,
            nowMillis: Long,
            isRaised: Boolean = true
        ): RequestRank {
            val isTargetLost = nowMillis > request.targetAtMillis
            val dueAtMillis = if (isTargetLost) request.deadlineMillis else request.targetAtMillis
            return RequestRank(
                level = if (isRaised) level(request, nowMillis) else request.priority,
                isTargetLost = isTargetLost,
                slackMillis = dueAtMillis - nowMillis,
                workTokens = request.workTokens,
                arrivedAtMillis = request.arrivedAtMillis,
                id = request.id
            )
        }

        private fun level(request: WaitingRequest, nowMillis: Long): Int {
            val limitMillis = request.deadlineMillis - request.arrivedAtMillis
            val ageMillis = nowMillis - request.arrivedAtMillis
            return when {
                ageMillis >= limitMillis * AGED_SHARE -> AGED_LEVEL
                ageMillis >= limitMillis * RAISED_AGE_SHARE -> maxOf(0, request.priority - 1)
                else -> request.priority
            }
        }
    }
}
