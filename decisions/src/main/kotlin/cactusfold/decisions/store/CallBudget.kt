package cactusfold.decisions.store

/** What a store call is for, the most urgent first. */
public enum class StorePurpose { RENEWAL, CONFIGURATION, CLAIM, BULK }

/** Calls that a process may still make. */
public data class CallBudgetState(public val calls: Double, public val refilledAtMillis: Long)

/**
 * Limits the calls of one process to the store, and keeps a part of them for urgent purposes, so
 * that a renewal never waits behind a bulk write.
 */
public class CallBudget(private val callsPerSecond: Double, private val burstCalls: Double) {
    /** Returns the budget at the beginning. */
    public fun start(nowMillis: Long): CallBudgetState = CallBudgetState(burstCalls, nowMillis)

    /** Returns the budget after a call for [purpose], or null when the call has to wait. */
    public fun spend(
        state: CallBudgetState,
        purpose: StorePurpose,
        nowMillis: Long
    ): CallBudgetState? {
        val seconds = (nowMillis - state.refilledAtMillis) / MILLIS_PER_SECOND
        val calls = (state.calls + seconds * callsPerSecond).coerceAtMost(burstCalls)
        val kept = burstCalls * purpose.ordinal / StorePurpose.entries.size / 2
        return if (calls - 1 < kept) null else CallBudgetState(calls - 1, nowMillis)
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
