package cactusfold.entry.callers

import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

class RetryLedgerTest {
    private val ledger = RetryLedger(ratio = 0.2, slack = 30.0, windowMillis = 10_000)

    @Nested
    inner class Budget {
        @Test
        fun `all members together keep to ratio and slack`() {
            val members = 3
            val ledgers = List(members) { RetryLedger(0.2, 30.0, 10_000) }
            ledgers.forEach { one -> repeat(50) { one.requested(0) } }
            val repeats = ledgers.sumOf { one -> (1..100).count { one.mayRepeat(members, 5) } }
            assertEquals(60, repeats)
        }

        @Test
        fun `a member that does not know how many there are uses the ratio alone`() {
            repeat(20) { ledger.requested(0) }
            assertEquals(4, (1..100).count { ledger.mayRepeat(null, 5) })
        }

        @Test
        fun `a retry storm spends no more than the budget`() {
            repeat(10) { ledger.requested(0) }
            assertEquals(32, (1..1_000).count { ledger.mayRepeat(1, 100) })
        }
    }

    @Nested
    inner class Window {
        @Test
        fun `repeats leave the window`() {
            repeat(30) { assertTrue(ledger.mayRepeat(1, 0)) }
            assertFalse(ledger.mayRepeat(1, 9_999))
            assertTrue(ledger.mayRepeat(1, 10_000))
        }
    }
}
