package cactusfold.decisions.store

/** The purposes of store calls, from the most to the least urgent. */
public enum class StorePurpose { RENEWAL, CONFIGURATION, CLAIM, BULK }

/** The number of store calls available to a process at [refilledAtMillis]. */
public data class CallBudgetState(public val calls: Double, public val refilledAtMillis: Long)

/**
 * Limits the rate of store calls of one process. A part of the budget is reserved for urgent
 * purposes, so that a lease renewal does not have to wait behind bulk writes.
 */
public class CallBudget(private val callsPerSecond: Double, private val burstCalls: Double) {
    /** Returns the initial budget, which is full. */
    public fun start(nowMillis: Long): CallBudgetState = CallBudgetState(burstCalls, nowMillis)

    /** Returns the budget after a call for [purpose], or null if the call has to wait. */
    public fun spend(
        state: CallBudgetState,
        purpose: StorePurpose,
        nowMillis: Long
    ): CallBudgetState? {
        val seconds = (nowMillis - state.refilledAtMillis) / MILLIS_PER_SECOND
        val calls = (state.calls + seconds * callsPerSecond).coerceAtMost(burstCalls)
        // Reserved for more urgent purposes: from nothing for RENEWAL to 3/8 of the burst for BULK.
        val reserved = burstCalls * purpose.ordinal / StorePurpose.entries.size / 2
        return if (calls - 1 < reserved) null else CallBudgetState(calls - 1, nowMillis)
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
