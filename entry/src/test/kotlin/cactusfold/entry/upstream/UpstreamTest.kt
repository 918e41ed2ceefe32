package cactusfold.entry.upstream

import cactusfold.decisions.routing.StatedLoad
import cactusfold.ports.serving.ReportedLoad
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
        persistentMapOf("m" to persistentSetOf("a")), persistentSetOf(), persistentSetOf(), "v1"
    )
    private val upstream = Upstream(entry)

    @Nested
    inner class Holdings {
        @Test
        fun `an announcement that may predate the coordinator's update is ignored`() {
            upstream.holds(persistentMapOf("n" to persistentSetOf()), nowMillis = 1_000)
            upstream.updateAnnouncement(entry, nowMillis = 2_000)
            assertTrue(upstream.serves("n", null, NOW))
            upstream.updateAnnouncement(entry, nowMillis = 4_000)
            assertFalse(upstream.serves("n", null, NOW))
        }

        @Test
        fun `a missing adapter keeps its model listed, a missing model removes both`() {
            upstream.recordMissing("m", "a", NOW)
            assertTrue(upstream.serves("m", null, NOW))
            assertFalse(upstream.serves("m", "a", NOW))
            upstream.recordMissing("m", null, NOW)
            assertFalse(upstream.serves("m", null, NOW))
        }

        // Guards against an answer 421 about a load in progress that holds for ever.
        @Test
        fun `what was missing is asked for again after a pause that grows`() {
            upstream.recordMissing("m", "a", NOW)
            assertFalse(upstream.serves("m", "a", NOW + 90))
            assertTrue(upstream.serves("m", "a", NOW + 110))
            upstream.recordMissing("m", "a", NOW + 110)
            assertFalse(upstream.serves("m", "a", NOW + 290))
            assertTrue(upstream.serves("m", "a", NOW + 320))
        }

        // Guards against a model that is taken for unloaded since one of its adapters was missing.
        @Test
        fun `two answers about a missing adapter do not remove its model`() {
            repeat(2) { upstream.recordMissing("m", "a", NOW) }
            assertTrue(upstream.serves("m", null, NOW))
            assertEquals(setOf("m"), upstream.adaptersByModel.keys)
        }
    }

    @Nested
    inner class Leaving {
        @Test
        fun `an upstream that was announced as draining stays so for this start`() {
            upstream.updateAnnouncement(entry.copy(isDraining = true), nowMillis = 1_000)
            upstream.updateAnnouncement(entry, nowMillis = 2_000)
            assertFalse(upstream.isUsable, "the store may be restored from an older copy")
        }

        @Test
        fun `a departure names one start of an upstream, not the next one under its id`() {
            val next = Upstream(entry.copy(startedAtEpochMillis = 5))
            assertEquals(upstream.departure.upstream, next.departure.upstream)
            assertTrue(upstream.departure != next.departure)
        }

        @Test
        fun `an upstream is available again after the longest pause that it asked for`() {
            upstream.recordPause(3_000, nowMillis = 1_000)
            upstream.recordPause(500, nowMillis = 1_100)
            assertFalse(upstream.isAvailable(3_999))
            assertTrue(upstream.isAvailable(4_000))
        }
    }

    @Nested
    inner class Failures {
        @Test
        fun `an upstream that refuses connections is down for a while or until it answers`() {
            upstream.recordUnreachable(1_000)
            assertTrue(upstream.isDown(1_999))
            assertFalse(upstream.isDown(2_000))
            upstream.recordUnreachable(3_000)
            assertTrue(upstream.isDown(4_999), "longer after the second consecutive failure")
            upstream.recordAnswer(null, 1_500)
            assertFalse(upstream.isDown(3_001))
        }

        @Test
        fun `the backoff doubles with each consecutive failure`() {
            upstream.recordFailure(0)
            assertEquals(250, upstream.view(0).excludedUntilMillis)
            upstream.recordFailure(250)
            assertEquals(750, upstream.view(250).excludedUntilMillis)
        }

        @Test
        fun `a leaving upstream is not usable`() {
            upstream.isLeaving = true
            assertFalse(upstream.isUsable)
        }
    }

    /** An upstream that hangs keeps its connections open and sends no data on any of them. */
    @Nested
    inner class Silent {
        private val notified = mutableListOf<String>()

        private fun startSend(send: String, nowMillis: Long) {
            upstream.silence.sendStarted(send, nowMillis) { notified += send }
        }

        @Test
        fun `it is silent once no data came for longer than answers take`() {
            startSend("s1", 0)
            assertFalse(upstream.isSilent(500))
            assertTrue(upstream.isSilent(501))
            upstream.silence.notifyPending()
            assertEquals(listOf("s1"), notified)
        }

        @Test
        fun `data on any connection ends the silence`() {
            startSend("s1", 0)
            startSend("s2", 100)
            upstream.silence.dataReceived(400)
            assertFalse(upstream.isSilent(900))
        }

        @Test
        fun `without outstanding answers it is not silent`() {
            startSend("s1", 0)
            upstream.silence.sendEnded("s1")
            assertFalse(upstream.isSilent(9_000))
        }

        @Test
        fun `an upstream with a high usual latency is not silent within it`() {
            repeat(50) { upstream.recordLatency(400) }
            startSend("s1", 0)
            assertFalse(upstream.isSilent(1_500))
            assertTrue(upstream.isSilent(1_700))
        }

        @Test
        fun `the wait for an outstanding answer counts as latency`() {
            startSend("s1", 0)
            assertEquals(300.0, upstream.view(300).latencyMillis)
        }
    }

    @Nested
    inner class InFlight {
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

    @Nested
    inner class Load {
        @Test
        fun `a stated load is corrected by what this process has sent and ended since`() {
            upstream.requestStarted(null)
            upstream.recordAnswer(ReportedLoad(5, 2, 8, 250.0), nowMillis = 100)
            upstream.requestStarted(null)
            upstream.requestStarted(null)
            assertEquals(StatedLoad(9, 2.5, 50), upstream.load.stated(150))
            repeat(3) { upstream.requestEnded(null) }
            assertEquals(6, upstream.load.stated(150)?.requests)
        }

        // A plain service that was busy once was avoided until it answered again.
        @Test
        fun `a stated load fades at a plain service`() {
            upstream.recordAnswer(ReportedLoad(4, 4, 4), nowMillis = 0)
            assertEquals(8, upstream.view(0).expectedLoad)
            assertEquals(4, upstream.view(1_000).expectedLoad)
            assertEquals(0, upstream.view(10_000).expectedLoad)
        }
    }

    private companion object {
        const val NOW = 10_000L
    }
}
