package cactusfold.decisions.routing

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull

class RetryBudgetTest {
    private val budget = RetryBudget(share = 0.25, maxRetries = 2.0)

    @Test
    fun `without successes retries end, and successes earn a share of them`() {
        val one = assertNotNull(budget.retry(budget.start()))
        val none = assertNotNull(budget.retry(one))
        assertNull(budget.retry(none))
        val earned = (1..4).fold(none) { state, _ -> budget.succeeded(state) }
        assertNotNull(budget.retry(earned))
    }

    @Test
    fun `no more is saved up than the bound`() {
        val saved = (1..100).fold(budget.start()) { state, _ -> budget.succeeded(state) }
        assertEquals(2.0, saved.retries)
    }
}
