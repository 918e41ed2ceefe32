package cactusfold.entry.callers

import cactusfold.entry.EntryBounds
import cactusfold.node.time.MonotonicClock

/** This process's retry budget for each service. */
public class RetryBudgets(
    private val bounds: EntryBounds,
    private val clock: MonotonicClock,
    private val memberCount: () -> Int?
) {
    private val budgets = HashMap<String, ServiceRetryBudget>()

    /** Counts a caller's request to [service], which adds to the budget. */
    public fun recordRequest(service: String): Unit =
        budgetOf(service).recordRequest(clock.nowMillis())

    /** Counts a retry to [service] and returns true, or returns false if the budget is spent. */
    public fun tryAcquireRetry(service: String): Boolean =
        budgetOf(service).tryAcquireRetry(memberCount(), clock.nowMillis())

    private fun budgetOf(service: String): ServiceRetryBudget = budgets.getOrPut(service) {
        ServiceRetryBudget(bounds.retryRatio, bounds.retrySlack, bounds.retryWindowMillis)
    }
}
