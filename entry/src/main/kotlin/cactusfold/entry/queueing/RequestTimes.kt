package cactusfold.entry.queueing

import cactusfold.decisions.queue.RequestRank
import cactusfold.decisions.queue.WaitingRequest
import cactusfold.ports.serving.RequestMetadata
import cactusfold.ports.serving.ServingRoute
import cactusfold.ports.serving.ServingWorkspace

/**
 * What the rank of one request depends on, in all lists that it may wait in.
 *
 * @property priority that of the workspace or, if it has none, of the route.
 * @property workTokens prompt and output tokens as stated by the caller; 1 if not stated.
 * @property targetAtMillis when the request has to be sent to meet its latency target.
 * @property latestAtMillis when the request has to be sent to be answered before its time limit
 *   and, if it is a stream, while its caller is patient. Half of the target after its arrival if
 *   the deployment has no different priorities.
 */
public class RequestTimes private constructor(
    public val priority: Int,
    public val workTokens: Long,
    public val arrivedAtMillis: Long,
    public val targetAtMillis: Long,
    public val latestAtMillis: Long,
    private val workspace: String
) {
    /** Returns the request [id] that waits for [costTokens] of a workspace, or one place. */
    public fun waiting(id: String, costTokens: Long): WaitingRequest = WaitingRequest(
        id = id,
        workspace = workspace,
        share = 1.0,
        deadlineMillis = latestAtMillis,
        costTokens = costTokens,
        workTokens = workTokens,
        priority = priority,
        arrivedAtMillis = arrivedAtMillis,
        targetAtMillis = targetAtMillis
    )

    /** Returns the rank of the request at [nowMillis]. */
    public fun rank(nowMillis: Long): RequestRank = RequestRank.of(waiting("", 1), nowMillis)

    /**
     * Returns the urgency of the request for upstreams at [nowMillis]: its rank if there are
     * several [priorities], in ascending order, and otherwise just its priority.
     */
    public fun urgency(nowMillis: Long, priorities: List<Int>): Int = if (priorities.size > 1) {
        rank(nowMillis).urgency(priorities)
    } else {
        priority.coerceIn(0, RequestRank.LEAST_URGENT)
    }

    public companion object {
        /**
         * Service times count for at most the target or limit divided by this. Under load they
         * grow, and without this bound a route whose requests are all refused would never be
         * measured again.
         */
        private const val MAX_SERVICE_DIVISOR = 2

        /**
         * Left of the limit at least, so that a request that was not served is refused as not run
         * before it times out.
         */
        private const val MIN_SERVICE_MILLIS = 150L

        /**
         * A request of a deployment without different priorities waits for up to its latency target
         * divided by this: nothing says that its callers would rather wait than try again.
         */
        private const val EQUAL_WAIT_DIVISOR = 2

        /**
         * Returns the times of a request that arrived at [arrivedAtMillis].
         *
         * @param priorities the different priorities of the deployment.
         */
        public fun of(
            facts: RequestMetadata,
            route: ServingRoute,
            workspace: ServingWorkspace?,
            arrivedAtMillis: Long,
            deadlineAtMillis: Long,
            observed: ServiceTimes,
            priorities: List<Int>
        ): RequestTimes {
            val firstMillis = observed.firstMillis(route.name)
            val totalMillis = observed.totalMillis(route.name)
            val limitMillis = deadlineAtMillis - arrivedAtMillis
            val inLimitMillis = limitMillis -
                bounded(maxOf(totalMillis, MIN_SERVICE_MILLIS), limitMillis)
            val inPatienceMillis = route.patienceMillis?.let { it - bounded(firstMillis, it) }
            val latestMillis = if (priorities.size > 1) {
                minOf(inLimitMillis, inPatienceMillis ?: inLimitMillis)
            } else {
                minOf(limitMillis, route.targetMillis / EQUAL_WAIT_DIVISOR)
            }
            val targetMillis = route.targetMillis - bounded(firstMillis, route.targetMillis)
            return RequestTimes(
                priority = workspace?.priority ?: route.priority,
                workTokens = facts.promptTokens?.let { it + (facts.outputTokens ?: 0) } ?: 1,
                arrivedAtMillis = arrivedAtMillis,
                targetAtMillis = arrivedAtMillis + minOf(targetMillis, latestMillis),
                latestAtMillis = arrivedAtMillis + latestMillis,
                workspace = workspace?.name.orEmpty()
            )
        }

        private fun bounded(serviceMillis: Long, withinMillis: Long): Long =
            minOf(serviceMillis, withinMillis / MAX_SERVICE_DIVISOR)
    }
}
