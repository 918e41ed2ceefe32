package cactusfold.entry.upstream

import cactusfold.ports.serving.UpstreamEntry
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

class UpstreamTest {
    private val entry = UpstreamEntry(
        "r1", "s", "127.0.0.1", 1, "z", 4, false, 1, null,
        persistentMapOf("m" to persistentSetOf("a")), persistentSetOf(), persistentSetOf()
    )
    private val upstream = Upstream(entry)

    @Nested
    inner class Holdings {
        @Test
        fun `an announcement older than the coordinator's word does not undo it`() {
            upstream.holds(persistentMapOf("n" to persistentSetOf()), nowMillis = 1_000)
            upstream.updateAnnouncement(entry, nowMillis = 2_000)
            assertTrue(upstream.serves("n", null))
            upstream.updateAnnouncement(entry, nowMillis = 4_000)
            assertFalse(upstream.serves("n", null))
        }

        @Test
        fun `a missing adapter leaves its model, a missing model leaves nothing`() {
            upstream.recordMissing("m", "a", 0)
            assertTrue(upstream.serves("m", null))
            assertFalse(upstream.serves("m", "a"))
            upstream.recordMissing("m", null, 0)
            assertFalse(upstream.serves("m", null))
        }
    }

    @Nested
    inner class Failures {
        @Test
        fun `an upstream that refuses connections is down for a while, and an answer ends that`() {
            upstream.recordUnreachable(1_000)
            assertTrue(upstream.isDown(1_999))
            assertFalse(upstream.isDown(2_000))
            upstream.recordUnreachable(3_000)
            assertTrue(upstream.isDown(4_999), "longer the second time in a row")
            upstream.recordAnswer(null)
            assertFalse(upstream.isDown(3_001))
        }

        @Test
        fun `it is put aside longer with each failure in a row`() {
            upstream.recordFailure(0)
            assertEquals(250, upstream.view(0).asideUntilMillis)
            upstream.recordFailure(250)
            assertEquals(750, upstream.view(250).asideUntilMillis)
        }

        @Test
        fun `one that leaves is used no more`() {
            upstream.isLeaving = true
            assertFalse(upstream.isUsable)
        }
    }

    /** An upstream that has gone dark keeps its connections open and sends nothing on any. */
    @Nested
    inner class GoneDark {
        private val told = mutableListOf<String>()

        private fun ask(send: String, nowMillis: Long) {
            upstream.silence.sendStarted(send, nowMillis) { told += send }
        }

        @Test
        fun `it is silent once nothing came for longer than its answers take`() {
            ask("s1", 0)
            assertFalse(upstream.isSilent(500))
            assertTrue(upstream.isSilent(501))
            upstream.silence.notifyPending()
            assertEquals(listOf("s1"), told)
        }

        @Test
        fun `a piece on any connection shows that it lives`() {
            ask("s1", 0)
            ask("s2", 100)
            upstream.silence.dataReceived(400)
            assertFalse(upstream.isSilent(900))
        }

        @Test
        fun `one that owes nothing is not silent`() {
            ask("s1", 0)
            upstream.silence.sendEnded("s1")
            assertFalse(upstream.isSilent(9_000))
        }

        @Test
        fun `one that is slow as always is not silent`() {
            repeat(50) { upstream.recordLatency(400) }
            ask("s1", 0)
            assertFalse(upstream.isSilent(1_500))
            assertTrue(upstream.isSilent(1_700))
        }

        @Test
        fun `what it owes counts as its latency before it counts as silent`() {
            ask("s1", 0)
            assertEquals(300.0, upstream.view(300).latencyMillis)
        }
    }

    @Nested
    inner class Counting {
        @Test
        fun `requests are counted by model and adapter until they end`() {
            val use = ModelUse("m", "a")
            upstream.requestStarted(use)
            upstream.requestStarted(use)
            upstream.requestStarted(null)
            assertEquals(3 to mapOf(use to 2), upstream.inFlight to upstream.uses)
            upstream.requestEnded(use)
            upstream.requestEnded(use)
            upstream.requestEnded(null)
            assertEquals(0 to emptyMap(), upstream.inFlight to upstream.uses)
        }
    }
}
