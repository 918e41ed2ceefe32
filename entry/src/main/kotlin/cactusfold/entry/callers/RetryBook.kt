package cactusfold.entry.callers

import cactusfold.entry.EntryBounds
import cactusfold.node.time.MonotonicClock

/** The retry budgets of all services at this process. */
public class RetryBook(
    private val bounds: EntryBounds,
    private val clock: MonotonicClock,
    private val members: () -> Int?
) {
    private val ledgers = HashMap<String, RetryLedger>()

    /** Counts a caller's request for [service]. */
    public fun requested(service: String): Unit = ledgerOf(service).requested(clock.nowMillis())

    /** Counts a repeated send to [service] and returns whether the budget allows it. */
    public fun mayRepeat(service: String): Boolean =
        ledgerOf(service).mayRepeat(members(), clock.nowMillis())

    private fun ledgerOf(service: String): RetryLedger = ledgers.getOrPut(service) {
        RetryLedger(bounds.retryRatio, bounds.retrySlack, bounds.retryWindowMillis)
    }
}
