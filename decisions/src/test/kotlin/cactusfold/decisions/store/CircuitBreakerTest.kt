package cactusfold.decisions.store

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull

class CircuitBreakerTest {
    private val circuit = CircuitBreaker(maxFailures = 3, openMillis = 100)

    private fun failed(times: Int): CircuitBreakerState =
        (1..times).fold(CircuitBreakerState()) { state, _ -> circuit.failed(state, 0) }

    @Test
    fun `an outage opens the circuit and one call tries again later`() {
        assertNotNull(circuit.admit(failed(2), 0))
        assertNull(circuit.admit(failed(3), 50))
        val trial = assertNotNull(circuit.admit(failed(3), 100))
        assertNull(circuit.admit(trial, 100), "a second call went through beside the trial")
        assertEquals(CircuitBreakerPhase.CLOSED, circuit.succeeded(trial, 5).phase)
    }

    @Test
    fun `slow answers do not open it`() {
        val slow = (1..50).fold(CircuitBreakerState()) { state, _ -> circuit.succeeded(state, 900) }
        assertEquals(CircuitBreakerPhase.CLOSED, slow.phase)
    }

    @Test
    fun `bulk calls leave room for renewals`() {
        val budget = CallBudget(callsPerSecond = 0.0, burstCalls = 16.0)
        var state = budget.start(0)
        while (true) state = budget.spend(state, StorePurpose.BULK, 0) ?: break
        assertNotNull(budget.spend(state, StorePurpose.RENEWAL, 0))
    }
}
