package cactusfold.decisions.routing

/** The number of retries available. */
public data class RetryBudgetState(public val retries: Double)

/**
 * Limits retries to a share of the successful requests, so that retries do not multiply the load on
 * failing upstreams.
 *
 * @property share retries that one successful request adds to the budget.
 * @property maxRetries maximum of the budget.
 */
public class RetryBudget(private val share: Double, private val maxRetries: Double) {
    /** Returns the initial budget, which is full. */
    public fun start(): RetryBudgetState = RetryBudgetState(maxRetries)

    /** Returns the budget after a request has succeeded. */
    public fun succeeded(state: RetryBudgetState): RetryBudgetState =
        RetryBudgetState((state.retries + share).coerceAtMost(maxRetries))

    /** Returns the budget after one retry, or null if no retry is allowed. */
    public fun retry(state: RetryBudgetState): RetryBudgetState? =
        if (state.retries < 1) null else RetryBudgetState(state.retries - 1)
}
