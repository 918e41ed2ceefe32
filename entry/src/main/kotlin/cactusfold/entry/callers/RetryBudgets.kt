package cactusfold.entry.callers

import cactusfold.entry.EntryBounds
import cactusfold.node.time.MonotonicClock

/** The retry budgets of all services at this process. */
public class RetryBudgets(
    private val bounds: EntryBounds,
    private val clock: MonotonicClock,
    private val memberCount: () -> Int?
) {
    private val budgets = HashMap<String, ServiceRetryBudget>()

    /** Counts a caller's request for [service]. */
    public fun recordRequest(service: String): Unit =
        budgetOf(service).recordRequest(clock.nowMillis())

    /** Counts a repeated send to [service] and returns whether the budget allows it. */
    public fun tryAcquireRetry(service: String): Boolean =
        budgetOf(service).tryAcquireRetry(memberCount(), clock.nowMillis())

    private fun budgetOf(service: String): ServiceRetryBudget = budgets.getOrPut(service) {
        ServiceRetryBudget(bounds.retryRatio, bounds.retrySlack, bounds.retryWindowMillis)
    }
}
