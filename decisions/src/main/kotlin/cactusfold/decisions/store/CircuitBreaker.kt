package cactusfold.decisions.store

/** Whether a store may be called. */
public enum class CircuitBreakerPhase { CLOSED, OPEN, HALF_OPEN }

/**
 * What is known of a store's health.
 *
 * @property averageLatencyMillis moving average of the time that successful calls took.
 */
public data class CircuitBreakerState(
    public val phase: CircuitBreakerPhase = CircuitBreakerPhase.CLOSED,
    public val failures: Int = 0,
    public val openedAtMillis: Long = 0,
    public val averageLatencyMillis: Double = 0.0
)

/**
 * Stops calls to a store that is down, and lets one through now and then to see whether it is back.
 * A slow store is not taken for one that is down: only failures open the circuit.
 */
public class CircuitBreaker(private val maxFailures: Int, private val openMillis: Long) {

    /** Returns the state in which a call may be made at [nowMillis], or null when it may not. */
    public fun admit(state: CircuitBreakerState, nowMillis: Long): CircuitBreakerState? =
        when (state.phase) {
            CircuitBreakerPhase.CLOSED -> state
            CircuitBreakerPhase.HALF_OPEN -> null
            CircuitBreakerPhase.OPEN -> state.copy(phase = CircuitBreakerPhase.HALF_OPEN)
                .takeIf { nowMillis - state.openedAtMillis >= openMillis }
        }

    /** Books a call that succeeded in [tookMillis]. */
    public fun succeeded(state: CircuitBreakerState, tookMillis: Long): CircuitBreakerState =
        CircuitBreakerState(
            averageLatencyMillis =
            state.averageLatencyMillis + (tookMillis - state.averageLatencyMillis) * SMOOTHING
        )

    /** Books a call that failed. */
    public fun failed(state: CircuitBreakerState, nowMillis: Long): CircuitBreakerState {
        val failures = state.failures + 1
        val opens = state.phase == CircuitBreakerPhase.HALF_OPEN || failures >= maxFailures
        if (!opens) return state.copy(failures = failures)
        return state.copy(
            phase = CircuitBreakerPhase.OPEN,
            failures = failures,
            openedAtMillis = nowMillis
        )
    }

    private companion object {
        const val SMOOTHING = 0.2
    }
}
