package cactusfold.decisions.suspect

import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

class PromptBlockTrackerTest {
    private val tracker = PromptBlockTracker(PromptBlockSettings())
    private var state = PromptBlockState()

    private fun crash(upstream: String, atMillis: Long, vararg blocks: String, start: Long = 1) {
        state =
            tracker.crashed(state, CrashId(upstream, start), blocks.toList(), atMillis, atMillis)
    }

    private fun complete(atMillis: Long, vararg blocks: String) {
        state = tracker.completed(state, blocks.toList(), atMillis, atMillis)
    }

    private fun isRefused(atMillis: Long, vararg blocks: String): Boolean =
        tracker.judge(state, blocks.toList(), atMillis) != null

    @Nested
    inner class Blame {
        @Test
        fun `one crash blames nothing`() {
            crash("r1", 0, "a", "bad")
            assertFalse(isRefused(1, "a", "bad"))
        }

        @Test
        fun `after two crashes of one prompt only prompts with all its blocks are refused`() {
            crash("r1", 0, "a", "b", "bad")
            crash("r2", 1_000, "a", "b", "bad")
            assertTrue(isRefused(1_001, "bad", "x", "b", "a"))
            assertFalse(isRefused(1_001, "a", "b"))
        }

        @Test
        fun `after two crashes of different prompts the common block alone is blamed`() {
            crash("r1", 0, "a", "bad")
            crash("r2", 1_000, "b", "bad")
            assertTrue(isRefused(1_001, "c", "bad"))
            assertFalse(isRefused(1_001, "a", "b"))
        }

        @Test
        fun `crashes that a block explains do not count against others`() {
            crash("r1", 0, "a", "bad")
            crash("r2", 1_000, "a", "bad")
            crash("r3", 2_000, "b", "bad")
            assertTrue(isRefused(2_001, "bad"))
            assertFalse(isRefused(2_001, "a"))
        }

        @Test
        fun `two poison blocks are both blamed`() {
            crash("r1", 0, "a", "bad")
            crash("r2", 1_000, "b", "worse")
            crash("r3", 2_000, "c", "bad")
            crash("r4", 3_000, "d", "worse")
            assertTrue(isRefused(3_001, "bad"))
            assertTrue(isRefused(3_001, "worse"))
        }

        @Test
        fun `reports of several processes about one crash are one crash`() {
            crash("r1", 1_000, "bad")
            crash("r1", 0, "bad", "a")
            assertFalse(isRefused(1_001, "bad"))
            assertEquals(setOf("a", "bad"), state.crashes.values.single().blocks.toSet())
        }

        @Test
        fun `an upstream that crashes again after a restart has crashed twice`() {
            crash("r1", 0, "bad", start = 1)
            crash("r1", 3_000, "bad", start = 2)
            assertTrue(isRefused(3_001, "bad"))
        }
    }

    @Nested
    inner class Soundness {
        @Test
        fun `a completion clears a block at once and leaves the others blamed`() {
            crash("r1", 0, "a", "bad")
            crash("r2", 1_000, "a", "bad")
            complete(1_100, "a")
            assertTrue(isRefused(1_101, "bad"))
            complete(1_200, "bad")
            assertFalse(isRefused(1_201, "a", "bad"))
        }

        @Test
        fun `a completion before the crashes only asks for more of them`() {
            complete(0, "a")
            for (i in 1..3) crash("r$i", 10_000L + i * 1_000, "a")
            assertFalse(isRefused(13_001, "a"))
            crash("r4", 14_000, "a")
            assertTrue(isRefused(14_001, "a"))
        }

        @Test
        fun `a block with a completion is not in the group of one without`() {
            complete(0, "a")
            crash("r1", 10_000, "a", "bad")
            crash("r2", 11_000, "a", "bad")
            assertTrue(isRefused(11_001, "bad"))
            assertFalse(isRefused(11_001, "a"))
        }

        @Test
        fun `crashes at one moment blame nothing`() {
            for (i in 1..9) crash("r$i", i * 50L, "a", "b$i")
            assertFalse(isRefused(451, "a"))
        }
    }

    @Nested
    inner class Retention {
        private fun blameOnce() {
            crash("r1", 0, "bad")
            crash("r2", 1_000, "bad")
        }

        @Test
        fun `a blame ends 60 s after the last crash, and the next one takes one crash`() {
            blameOnce()
            assertTrue(isRefused(60_999, "bad"))
            assertFalse(isRefused(61_000, "bad"))
            crash("r3", 61_500, "bad")
            assertTrue(isRefused(61_501, "bad"))
            assertNotNull(tracker.judge(state, listOf("bad"), 181_499))
            assertNull(tracker.judge(state, listOf("bad"), 181_500))
        }

        @Test
        fun `a blame that began with a crash long ago does not end early`() {
            crash("r1", 0, "bad")
            crash("r2", 55_000, "bad")
            crash("r3", 70_000, "other")
            assertTrue(isRefused(114_999, "bad"))
        }

        @Test
        fun `after a completion a block is blamed like any other`() {
            blameOnce()
            crash("r3", 61_500, "bad")
            complete(62_000, "bad")
            assertFalse(isRefused(62_001, "bad"))
            crash("r4", 70_000, "bad")
            assertFalse(isRefused(70_001, "bad"))
        }

        @Test
        fun `everything is bounded`() {
            val settings = PromptBlockSettings(
                maxCrashes = 3,
                maxBlocksPerCrash = 4,
                maxCompletedBlocks = 5
            )
            val small = PromptBlockTracker(settings)
            var bounded = PromptBlockState()
            for (i in 1..20) {
                val blocks = (1..9).map { "b$i-$it" }
                val now = i * 1_000L
                bounded = small.crashed(bounded, CrashId("r$i", 1), blocks, now, now)
                bounded = small.completed(bounded, blocks, now, now)
            }
            assertTrue(bounded.crashes.size <= 3)
            assertTrue(bounded.crashes.values.all { it.blocks.size <= 4 })
            assertTrue(bounded.completedAtMillis.size <= 5)
        }
    }
}
