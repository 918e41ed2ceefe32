package cactusfold.entry.callers

import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

class ServiceRetryBudgetTest {
    private val budget = ServiceRetryBudget(ratio = 0.2, slack = 30.0, windowMillis = 10_000)

    @Nested
    inner class Budget {
        @Test
        fun `all VMs together stay within ratio and slack`() {
            val memberCount = 3
            val budgets = List(memberCount) { ServiceRetryBudget(0.2, 30.0, 10_000) }
            budgets.forEach { one -> repeat(50) { one.recordRequest(0) } }
            val retries = budgets.sumOf { one ->
                (1..100).count { one.tryAcquireRetry(memberCount, 5) }
            }
            assertEquals(60, retries)
        }

        @Test
        fun `without a known member count only the ratio applies`() {
            repeat(20) { budget.recordRequest(0) }
            assertEquals(4, (1..100).count { budget.tryAcquireRetry(null, 5) })
        }

        @Test
        fun `a retry storm cannot exceed the budget`() {
            repeat(10) { budget.recordRequest(0) }
            assertEquals(32, (1..1_000).count { budget.tryAcquireRetry(1, 100) })
        }
    }

    @Nested
    inner class Window {
        @Test
        fun `retries older than the window no longer count`() {
            repeat(30) { assertTrue(budget.tryAcquireRetry(1, 0)) }
            assertFalse(budget.tryAcquireRetry(1, 9_999))
            assertTrue(budget.tryAcquireRetry(1, 10_000))
        }
    }
}
