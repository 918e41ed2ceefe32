package cactusfold.entry.callers

/**
 * Retry budget of one service over a sliding window.
 *
 * The budget of the whole fleet is [ratio] retries per request plus [slack] retries per window. All
 * VMs together stay within it without coordination: each applies [ratio] to the requests that it
 * received itself and uses an equal part of [slack].
 */
public class ServiceRetryBudget(
    private val ratio: Double,
    private val slack: Double,
    private val windowMillis: Long
) {
    private val requestsAtMillis = ArrayDeque<Long>()
    private val retriesAtMillis = ArrayDeque<Long>()

    /** Counts a request that arrived from a caller. */
    public fun recordRequest(nowMillis: Long) {
        requestsAtMillis.addLast(nowMillis)
        trim(requestsAtMillis, nowMillis)
    }

    /**
     * Counts a retry and returns true, or returns false when the budget is spent.
     *
     * @param memberCount VMs that share the slack; null when unknown, and then no slack is used.
     */
    public fun tryAcquireRetry(memberCount: Int?, nowMillis: Long): Boolean {
        trim(requestsAtMillis, nowMillis)
        trim(retriesAtMillis, nowMillis)
        val ownSlack = if (memberCount == null) 0.0 else slack / memberCount
        val allowed = requestsAtMillis.size * ratio + ownSlack
        if (retriesAtMillis.size + 1 > allowed) return false
        retriesAtMillis.addLast(nowMillis)
        return true
    }

    private fun trim(times: ArrayDeque<Long>, nowMillis: Long) {
        while (times.isNotEmpty() && nowMillis - times.first() >= windowMillis) times.removeFirst()
    }
}
