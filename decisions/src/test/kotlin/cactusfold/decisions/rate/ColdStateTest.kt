package cactusfold.decisions.rate

import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

class ColdStateTest {
    private val unknown = ColdState()

    private fun row(version: Long, begunAt: Long, writtenAfter: Long, era: Long = 1) =
        RowReading(RowVersion(era, version), begunAt, writtenAfter)

    @Nested
    inner class Rows {
        @Test
        fun `the time left counts from when the row was read, and a second read adds nothing`() {
            val read = unknown.rowRead(30_000, row(1, 900, 0), nowMillis = 1_000)
            assertEquals(31_000, read.coldUntilMillis)
            val again = read.rowRead(30_000, row(1, 5_900, 900), nowMillis = 6_000)
            assertEquals(31_000, again.coldUntilMillis)
            assertFalse(again.isCold(31_000))
        }

        @Test
        fun `a row that may be older than an answer does not end what the answer states`() {
            val answered = unknown.answered(20_000, sentAtMillis = 1_000, nowMillis = 1_100)
            assertTrue(answered.rowRead(0, row(1, 1_200, 600), 1_210).isCold(1_300))
            assertFalse(answered.rowRead(0, row(2, 1_600, 1_200), 1_610).isCold(1_700))
        }

        @Test
        fun `the rows of a system that starts say that nothing is cold`() {
            assertFalse(unknown.rowRead(0, row(1, 0, Long.MIN_VALUE / 2), 10).isCold(10))
        }
    }

    /** Guards against a start that came back under the same id before its row was read. */
    @Nested
    inner class Suspicion {
        private val warm = unknown.rowRead(0, row(1, 900, 0), 1_000)
        private val suspected = warm.suspected(2_000)

        @Test
        fun `a row that was there before does not end it`() {
            assertTrue(suspected.rowRead(0, row(1, 2_400, 900), 2_410).isSuspected)
            // Written between two reads, and perhaps before the connection failed.
            assertTrue(suspected.rowRead(0, row(2, 2_400, 1_900), 2_410).isSuspected)
        }

        @Test
        fun `a row that was written later ends it, and so does one that would have expired`() {
            assertFalse(suspected.rowRead(0, row(3, 2_800, 2_400), 2_810).isSuspected)
            assertFalse(suspected.rowRead(0, row(1, 7_100, 6_000), 7_110).isSuspected)
        }

        @Test
        fun `a row of a restored store does not end it`() {
            val restored = row(2, 2_400, Long.MIN_VALUE / 2, era = 2)
            assertTrue(suspected.rowRead(0, restored, 2_410).isSuspected)
        }

        @Test
        fun `an answer does not end it`() {
            assertTrue(suspected.answered(0, 2_500, 2_600).isSuspected)
        }

        @Test
        fun `it is taken over from others, and ends when another process has read the row`() {
            val heard = warm.heard(suspected, isCoordinator = true)
            assertTrue(heard.isSuspected)
            val cleared = suspected.rowRead(0, row(3, 2_800, 2_400), 2_810)
            assertFalse(heard.heard(cleared, isCoordinator = true).isSuspected)
            assertFalse(
                cleared.heard(suspected, isCoordinator = false).isSuspected,
                "an old report must not renew it"
            )
        }

        @Test
        fun `a member that has not heard of it does not end it at the coordinator`() {
            val unaware = warm.rowRead(0, row(2, 2_400, 1_900), 2_410)
            assertTrue(suspected.heard(unaware, isCoordinator = false).isSuspected)
        }
    }

    @Nested
    inner class Limits {
        @Test
        fun `a burst, the tokens of a second and late ones keep the bound`() {
            for (perSecond in listOf(0.1, 1.0, 5.7, 40.0)) {
                val bounds = ColdBounds(1.5, 5.0)
                val limit = ColdState.limit(perSecond, bounds)
                val most = limit.burstTokens + 1.5 * limit.rateTokensPerSecond
                assertTrue(most <= 1.5 * perSecond + 5, "$perSecond: $limit")
            }
        }

        @Test
        fun `the lower of a stated limit and a cold start applies`() {
            val cold = ColdState.limit(5.7, ColdBounds())
            assertEquals(2.0, RateLimit.ofRequests(2.0).lowerOf(cold).rateTokensPerSecond)
            assertEquals(5.7, RateLimit.ofRequests(50.0).lowerOf(cold).rateTokensPerSecond)
            assertEquals(500, RateLimit.ofRequests(50.0).lowerOf(cold).useWithinMillis)
        }
    }

    @Nested
    inner class Warming {
        private fun pool(left: Long, hasCold: Boolean = true, hasWarm: Boolean = true) =
            WarmingChoice.pool(left, targetMillis = 1_000, hasCold, hasWarm)

        @Test
        fun `requests with much of their target left warm up, others go to a warm upstream`() {
            assertEquals(WarmingPool.COLD, pool(900))
            assertEquals(WarmingPool.ALL, pool(900, hasCold = false))
            assertEquals(WarmingPool.WARM, pool(100))
            assertEquals(WarmingPool.ALL, pool(100, hasWarm = false))
        }
    }
}
