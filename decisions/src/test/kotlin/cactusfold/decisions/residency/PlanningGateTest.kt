package cactusfold.decisions.residency

import kotlin.test.assertFalse
import kotlin.test.assertTrue
import org.junit.jupiter.api.Test

class PlanningGateTest {
    private val gate = PlanningGate()

    @Test
    fun `a new lease holder does not plan before half of the runners were read`() {
        assertFalse(gate.mayPlan(known = 0, reachable = 12, nowMillis = 5_000))
        assertTrue(gate.mayPlan(known = 6, reachable = 12, nowMillis = 5_050))
    }

    @Test
    fun `planning starts after the maximum wait if runners cannot be read`() {
        assertFalse(gate.mayPlan(known = 1, reachable = 12, nowMillis = 5_000))
        assertTrue(gate.mayPlan(known = 1, reachable = 12, nowMillis = 6_000))
    }

    @Test
    fun `the wait restarts each time that the process acquires the lease`() {
        gate.mayPlan(known = 0, reachable = 12, nowMillis = 5_000)
        gate.closed()
        assertFalse(gate.mayPlan(known = 0, reachable = 12, nowMillis = 60_000))
    }
}
