package cactusfold.entry.callers

/**
 * Counts requests and repeated sends of one service over a sliding window, so that all VMs together
 * stay within the fleet's budget: each keeps the ratio for its own requests and an equal part of the
 * slack, without asking the others.
 */
public class RetryLedger(
    private val ratio: Double,
    private val slack: Double,
    private val windowMillis: Long
) {
    private val requestsAtMillis = ArrayDeque<Long>()
    private val repeatsAtMillis = ArrayDeque<Long>()

    /** Counts a request of a caller. */
    public fun requested(nowMillis: Long) {
        requestsAtMillis.addLast(nowMillis)
        trim(requestsAtMillis, nowMillis)
    }

    /**
     * Counts a repeated send and returns true, or returns false when the budget is spent.
     *
     * @param members among whom the slack is divided; null when not known, and then none is used.
     */
    public fun mayRepeat(members: Int?, nowMillis: Long): Boolean {
        trim(requestsAtMillis, nowMillis)
        trim(repeatsAtMillis, nowMillis)
        val ownSlack = if (members == null) 0.0 else slack / members
        val allowed = requestsAtMillis.size * ratio + ownSlack
        if (repeatsAtMillis.size + 1 > allowed) return false
        repeatsAtMillis.addLast(nowMillis)
        return true
    }

    private fun trim(times: ArrayDeque<Long>, nowMillis: Long) {
        while (times.isNotEmpty() && nowMillis - times.first() >= windowMillis) times.removeFirst()
    }
}
