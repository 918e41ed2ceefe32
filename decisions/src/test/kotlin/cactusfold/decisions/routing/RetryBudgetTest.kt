package cactusfold.decisions.routing

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull

class RetryBudgetTest {
    private val budget = RetryBudget(share = 0.25, maxRetries = 2.0)

    @Test
    fun `retries exhaust the budget and successes replenish it`() {
        val one = assertNotNull(budget.retry(budget.start()))
        val exhausted = assertNotNull(budget.retry(one))
        assertNull(budget.retry(exhausted))
        val replenished = (1..4).fold(exhausted) { state, _ -> budget.succeeded(state) }
        assertNotNull(budget.retry(replenished))
    }

    @Test
    fun `the budget does not exceed its maximum`() {
        val full = (1..100).fold(budget.start()) { state, _ -> budget.succeeded(state) }
        assertEquals(2.0, full.retries)
    }
}
