package cactusfold.decisions.routing

/** Retries that may still be made. */
public data class RetryBudgetState(public val retries: Double)

/**
 * Bounds retries to a share of the requests that succeed, so that failing upstreams don't get a
 * multiple of the load.
 *
 * @property share retries earned by one success.
 * @property maxRetries retries that may be saved up.
 */
public class RetryBudget(private val share: Double, private val maxRetries: Double) {
    /** Returns the budget at the beginning, which is full. */
    public fun start(): RetryBudgetState = RetryBudgetState(maxRetries)

    /** Books a success. */
    public fun succeeded(state: RetryBudgetState): RetryBudgetState =
        RetryBudgetState((state.retries + share).coerceAtMost(maxRetries))

    /** Returns the budget after one retry, or null when none may be made. */
    public fun retry(state: RetryBudgetState): RetryBudgetState? =
        if (state.retries < 1) null else RetryBudgetState(state.retries - 1)
}
