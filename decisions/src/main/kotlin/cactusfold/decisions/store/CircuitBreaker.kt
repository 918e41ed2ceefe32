package cactusfold.decisions.store

/** The phases of a circuit breaker; while it is half-open, a single trial call is in progress. */
public enum class CircuitBreakerPhase { CLOSED, OPEN, HALF_OPEN }

/**
 * The state of the circuit breaker of a store.
 *
 * @property failures consecutive failed calls.
 * @property averageLatencyMillis moving average of the duration of successful calls.
 */
public data class CircuitBreakerState(
    public val phase: CircuitBreakerPhase = CircuitBreakerPhase.CLOSED,
    public val failures: Int = 0,
    public val openedAtMillis: Long = 0,
    public val averageLatencyMillis: Double = 0.0
)

/**
 * Rejects calls to a store that is down, except for a trial call once it has been open for
 * `openMillis`. Only failures open the circuit: a slow store is not considered down.
 */
public class CircuitBreaker(private val maxFailures: Int, private val openMillis: Long) {

    /** Returns the state after a call is admitted at [nowMillis], or null if it is rejected. */
    public fun admit(state: CircuitBreakerState, nowMillis: Long): CircuitBreakerState? =
        when (state.phase) {
            CircuitBreakerPhase.CLOSED -> state
            CircuitBreakerPhase.HALF_OPEN -> null
            CircuitBreakerPhase.OPEN -> state.copy(phase = CircuitBreakerPhase.HALF_OPEN)
                .takeIf { nowMillis - state.openedAtMillis >= openMillis }
        }

    /** Returns the state after a call succeeded that took [tookMillis]. */
    public fun succeeded(state: CircuitBreakerState, tookMillis: Long): CircuitBreakerState =
        CircuitBreakerState(
            averageLatencyMillis =
            state.averageLatencyMillis + (tookMillis - state.averageLatencyMillis) * LATENCY_WEIGHT
        )

    /** Returns the state after a call failed at [nowMillis]. */
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
        /** Weight of a new measurement in the moving average of the latency. */
        const val LATENCY_WEIGHT = 0.2
    }
}
