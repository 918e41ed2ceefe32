package cactusfold.decisions.residency

import kotlin.test.assertFalse
import kotlin.test.assertTrue
import org.junit.jupiter.api.Test

class PlanningGateTest {
    private val gate = PlanningGate()

    @Test
    fun `a holder that has just begun reads runners before it finds loads too late`() {
        assertFalse(gate.mayPlan(known = 0, reachable = 12, nowMillis = 5_000))
        assertTrue(gate.mayPlan(known = 6, reachable = 12, nowMillis = 5_050))
    }

    @Test
    fun `runners that cannot be read are not waited for long`() {
        assertFalse(gate.mayPlan(known = 1, reachable = 12, nowMillis = 5_000))
        assertTrue(gate.mayPlan(known = 1, reachable = 12, nowMillis = 6_000))
    }

    @Test
    fun `the wait begins anew with each time that the process holds the lease`() {
        gate.mayPlan(known = 0, reachable = 12, nowMillis = 5_000)
        gate.closed()
        assertFalse(gate.mayPlan(known = 0, reachable = 12, nowMillis = 60_000))
    }
}
