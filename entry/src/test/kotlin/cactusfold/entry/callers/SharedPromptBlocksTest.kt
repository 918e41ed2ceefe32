package cactusfold.entry.callers

import cactusfold.decisions.suspect.CrashId
import cactusfold.entry.process.EventLog
import cactusfold.entry.upstream.Upstream
import cactusfold.ports.serving.UpstreamEntry
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

class SharedPromptBlocksTest {
    private var nowMillis = 0L
    private val first = member()
    private val second = member()

    private fun member() = SharedPromptBlocks({ nowMillis }, EventLog("vm", { nowMillis }, 100)) {}

    /** Passes the reports of [from] on to [to] as the coordinator does. */
    private fun share(from: SharedPromptBlocks, to: SharedPromptBlocks) {
        from.takeUnsentCrashes().forEach(to::reported)
        from.takeUnsentCompletions().forEach(to::reported)
    }

    private fun crash(member: SharedPromptBlocks, upstream: String, vararg blocks: String) =
        member.crashed(CrashId(upstream, 1), blocks.toList(), nowMillis)

    @Nested
    inner class Sharing {
        @Test
        fun `crashes that two members observed are refused by both`() {
            crash(first, "r1", "a", "bad")
            nowMillis = 1_000
            share(first, second)
            crash(second, "r2", "b", "bad")
            share(second, first)
            for (member in listOf(first, second)) {
                assertTrue(member.isRefused(listOf("bad")))
                assertFalse(member.isRefused(listOf("a", "b")))
            }
        }

        @Test
        fun `a crash is reported for a while in case a report is lost`() {
            crash(first, "r1", "bad")
            assertEquals(1, first.takeUnsentCrashes().size)
            nowMillis = 1_000
            assertEquals(1_000, first.takeUnsentCrashes().single().ageMillis)
            nowMillis = 1_001
            assertEquals(emptyList(), first.takeUnsentCrashes())
            assertEquals(1, first.knownCrashes().size)
        }

        @Test
        fun `a member that hears of a crash reports what it has seen completed before`() {
            second.completed(listOf("a"))
            nowMillis = 10_000
            crash(first, "r1", "a", "bad")
            share(first, second)
            val completed = second.takeUnsentCompletions().single()
            assertEquals("a" to 10_000L, completed.block to completed.ageMillis)
        }

        @Test
        fun `only a completion that clears a block is reported`() {
            first.completed(listOf("a"))
            assertEquals(emptyList(), first.takeUnsentCompletions())
            nowMillis = 10_000
            crash(first, "r1", "a", "bad")
            nowMillis = 10_100
            first.completed(listOf("a"))
            assertEquals(0, first.takeUnsentCompletions().single().ageMillis)
            nowMillis = 11_101
            first.completed(listOf("a"))
            assertEquals(emptyList(), first.takeUnsentCompletions())
        }

        @Test
        fun `a member that starts is told of crashes and of completions of their blocks`() {
            first.completed(listOf("a", "other"))
            nowMillis = 10_000
            crash(first, "r1", "a", "bad")
            assertEquals("r1", first.knownCrashes().single().upstream)
            assertEquals("a", first.knownCompletions().single().block)
        }

        @Test
        fun `a completion elsewhere clears a block`() {
            for (i in 1..2) {
                nowMillis = i * 1_000L
                crash(first, "r$i", "a")
            }
            assertTrue(first.isRefused(listOf("a")))
            share(first, second)
            second.completed(listOf("a"))
            share(second, first)
            assertFalse(first.isRefused(listOf("a")))
        }
    }

    @Nested
    inner class Detection {
        private val upstream = Upstream(
            UpstreamEntry(
                "r1", "s", "127.0.0.1", 1, "z", 4, false, 1, null,
                persistentMapOf(), persistentSetOf(), persistentSetOf(), "v1"
            )
        )

        private fun detect(answer: suspend () -> Boolean): List<Boolean> = runBlocking {
            coroutineScope {
                val detector = CrashDetector(CoroutineScope(coroutineContext), { 0 }, first) {
                    answer()
                }
                List(3) { async { detector.recordBroken(upstream, listOf("b$it")) } }.awaitAll()
            }
        }

        @Test
        fun `an upstream that refuses connections has crashed, found by one check`() {
            var checks = 0
            val refused = CompletableDeferred(true)
            val found = detect {
                checks++
                refused.await()
            }
            assertEquals(listOf(true, true, true), found)
            assertEquals(1, checks)
            assertTrue(upstream.isDown(0))
            assertEquals(setOf("b0", "b1", "b2"), first.knownCrashes().single().blocksList.toSet())
        }

        @Test
        fun `an upstream that closes its port after its connections has crashed`() {
            val answers = ArrayDeque(listOf(false, true))
            assertEquals(listOf(true, true, true), detect { answers.removeFirst() })
            assertEquals(1, first.knownCrashes().size)
        }

        @Test
        fun `an upstream that accepts connections has not crashed`() {
            assertEquals(listOf(false, false, false), detect { false })
            assertEquals(emptyList(), first.knownCrashes())
            assertFalse(upstream.isDown(0))
        }
    }
}
