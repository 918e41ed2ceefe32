package cactusfold.decisions.store

/** Whether a store may be called. */
public enum class CircuitPhase { CLOSED, OPEN, HALF_OPEN }

/**
 * What is known of a store's health.
 *
 * @property slowMillis moving average of the time that successful calls took.
 */
public data class CircuitState(
    public val phase: CircuitPhase = CircuitPhase.CLOSED,
    public val failures: Int = 0,
    public val openedAtMillis: Long = 0,
    public val slowMillis: Double = 0.0
)

/**
 * Stops calls to a store that is down, and lets one through now and then to see whether it is back.
 * A slow store is not taken for one that is down: only failures open the circuit.
 */
public class Circuit(private val maxFailures: Int, private val openMillis: Long) {

    /** Returns the state in which a call may be made at [nowMillis], or null when it may not. */
    public fun admit(state: CircuitState, nowMillis: Long): CircuitState? = when (state.phase) {
        CircuitPhase.CLOSED -> state
        CircuitPhase.HALF_OPEN -> null
        CircuitPhase.OPEN -> state.copy(phase = CircuitPhase.HALF_OPEN)
            .takeIf { nowMillis - state.openedAtMillis >= openMillis }
    }

    /** Books a call that succeeded in [tookMillis]. */
    public fun succeeded(state: CircuitState, tookMillis: Long): CircuitState = CircuitState(
        slowMillis = state.slowMillis + (tookMillis - state.slowMillis) * SMOOTHING
    )

    /** Books a call that failed. */
    public fun failed(state: CircuitState, nowMillis: Long): CircuitState {
        val failures = state.failures + 1
        val opens = state.phase == CircuitPhase.HALF_OPEN || failures >= maxFailures
        if (!opens) return state.copy(failures = failures)
        return state.copy(
            phase = CircuitPhase.OPEN,
            failures = failures,
            openedAtMillis = nowMillis
        )
    }

    private companion object {
        const val SMOOTHING = 0.2
    }
}
