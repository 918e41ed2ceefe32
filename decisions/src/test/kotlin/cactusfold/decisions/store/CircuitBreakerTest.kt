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
    fun `failures open the circuit and later a single trial call is admitted`() {
        assertNotNull(circuit.admit(failed(2), 0))
        assertNull(circuit.admit(failed(3), 50))
        val trial = assertNotNull(circuit.admit(failed(3), 100))
        assertNull(circuit.admit(trial, 100), "a second call was admitted during the trial")
        assertEquals(CircuitBreakerPhase.CLOSED, circuit.succeeded(trial, 5).phase)
    }

    @Test
    fun `slow responses do not open the circuit`() {
        val slow = (1..50).fold(CircuitBreakerState()) { state, _ -> circuit.succeeded(state, 900) }
        assertEquals(CircuitBreakerPhase.CLOSED, slow.phase)
    }

    @Test
    fun `bulk calls leave budget for lease renewals`() {
        val budget = CallBudget(callsPerSecond = 0.0, burstCalls = 16.0)
        var state = budget.start(0)
        while (true) state = budget.spend(state, StorePurpose.BULK, 0) ?: break
        assertNotNull(budget.spend(state, StorePurpose.RENEWAL, 0))
    }
}
