package cactusfold.decisions.rate

import kotlin.test.assertEquals
import kotlin.test.assertNull
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

class UpstreamLimitTest {
    private val known = UpstreamLimit(2.0, observedAtMillis = 1_000, learnedAtMillis = 1_000)

    @Nested
    inner class Answers {
        @Test
        fun `a limit that is stated for the first time applies at once`() {
            val limit = UpstreamLimit.answered(null, 2.0, sentAtMillis = 10, nowMillis = 1_000)
            assertEquals(known, limit)
        }

        @Test
        fun `without a limit nothing is known`() {
            assertNull(UpstreamLimit.answered(null, null, sentAtMillis = 10, nowMillis = 1_000))
        }

        @Test
        fun `a lower limit applies at once`() {
            val next = UpstreamLimit.answered(known, 0.5, sentAtMillis = 10, nowMillis = 2_000)
            assertEquals(UpstreamLimit(0.5, 2_000, 2_000), next)
        }

        @Test
        fun `a request that was sent before the limit was learned does not end or raise it`() {
            assertEquals(known, UpstreamLimit.answered(known, null, 1_000, 2_000))
            assertEquals(known, UpstreamLimit.answered(known, 9.0, 1_000, 2_000))
        }

        @Test
        fun `a request that was sent after the limit was learned ends or raises it`() {
            val ended = UpstreamLimit.answered(known, null, 1_001, 2_000)
            assertEquals(UpstreamLimit(null, 2_000, 2_000), ended)
            val raised = UpstreamLimit.answered(known, 9.0, 1_001, 2_000)
            assertEquals(UpstreamLimit(9.0, 2_000, 2_000), raised)
        }
    }

    @Nested
    inner class Reports {
        @Test
        fun `a newer observation of another process applies`() {
            val next = UpstreamLimit.heard(known, null, observedAtMillis = 1_500, nowMillis = 1_600)
            assertEquals(UpstreamLimit(null, 1_500, 1_600), next)
        }

        @Test
        fun `an older observation of another process does not apply`() {
            assertEquals(known, UpstreamLimit.heard(known, null, 1_000, 1_600))
        }

        @Test
        fun `an end that another process reports is known even if the limit was not`() {
            val next = UpstreamLimit.heard(null, null, observedAtMillis = 1_500, nowMillis = 1_600)
            assertEquals(UpstreamLimit(null, 1_500, 1_600), next)
        }

        @Test
        fun `the same limit stays learned when it was`() {
            val next = UpstreamLimit.heard(known, 2.0, 1_500, 1_600)
            assertEquals(known.copy(observedAtMillis = 1_500), next)
        }
    }
}
