package cactusfold.decisions.reach

import cactusfold.decisions.rate.UpstreamStart
import cactusfold.decisions.reach.ReachFailureKind.NOT_CONNECTED
import cactusfold.decisions.reach.ReachFailureKind.PROBE_REFUSED
import cactusfold.decisions.reach.ReachFailureKind.PROBE_SILENT
import cactusfold.decisions.reach.ReachFailureKind.RESET
import cactusfold.decisions.reach.ReachLoop.Companion.upstreams
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

class ReachMachineTest {
    private fun failed(upstream: UpstreamStart, kind: ReachFailureKind = NOT_CONNECTED) =
        ReachEvent.Failed(upstream, kind)

    /** Waits until [loop] has found the cut, and returns how long that took. */
    private fun awaitCut(loop: ReachLoop): Long =
        assertNotNull(loop.until(10_000) { loop.isCut }, "no cut, ${loop.state}")

    @Nested
    inner class Cuts {
        @Test
        fun `one refusal leads to a cut within half a second where all refuse`() {
            for (count in 1..40) {
                val loop = ReachLoop(upstreams(count), { _, _ -> PROBE_REFUSED })
                loop.pass(1_000)
                loop.happens(failed(loop.usable.last()))
                val tookMillis = awaitCut(loop)
                assertTrue(tookMillis <= 500, "$count upstreams: $tookMillis ms")
            }
        }

        @Test
        fun `one failed connection leads to a cut within 1100 ms where several are silent`() {
            for (count in 2..40) {
                val loop = ReachLoop(upstreams(count), { _, _ -> PROBE_SILENT })
                loop.pass(1_000)
                loop.happens(failed(loop.usable.last()))
                val tookMillis = awaitCut(loop)
                assertTrue(tookMillis <= 1_100, "$count upstreams: $tookMillis ms")
            }
        }

        // Connections live on without data, and there are no new ones.
        @Test
        fun `silence alone leads to a cut within two seconds of the last data`() {
            for (count in 1..40) {
                val loop = ReachLoop(upstreams(count), { _, _ -> PROBE_SILENT }, { it })
                loop.happens(ReachEvent.Data(loop.usable.first()))
                val tookMillis = awaitCut(loop)
                assertTrue(tookMillis <= 2_000, "$count upstreams: $tookMillis ms")
            }
        }

        @Test
        fun `the effect names the failed upstreams and the time without data`() {
            val loop = ReachLoop(upstreams(3), { _, _ -> PROBE_REFUSED })
            loop.happens(ReachEvent.Data(loop.usable.first()))
            loop.pass(300)
            loop.happens(failed(loop.usable.first()))
            awaitCut(loop)
            val cut = loop.effects.filterIsInstance<ReachEffect.Cut>().single()
            assertEquals(loop.usable.toSet(), cut.failed.toSet())
            assertEquals(loop.nowMillis, cut.quietMillis)
        }

        @Test
        fun `probes in progress and in all are bounded`() {
            val loop = ReachLoop(upstreams(40), { _, _ -> PROBE_SILENT })
            loop.happens(failed(loop.usable.first()))
            loop.until(5_000) {
                assertTrue(loop.state.probing.size <= 4, "${loop.state.probing}")
                loop.isCut
            }
            val before = loop.probes
            assertTrue(before <= 12, "$before probes for a cut")
            loop.pass(3_000)
            assertTrue(loop.probes - before <= 20, "${loop.probes - before} probes while cut")
        }
    }

    @Nested
    inner class NoCuts {
        @Test
        fun `one silent or refusing upstream of several is no cut`() {
            for (kind in listOf(PROBE_SILENT, PROBE_REFUSED)) {
                for (count in 2..12) {
                    val all = upstreams(count)
                    val loop =
                        ReachLoop(all, { u, _ -> kind.takeIf { u == all.first() } }, { it })
                    repeat(20) {
                        loop.happens(failed(all.first()))
                        assertNull(loop.until(300) { loop.isCut })
                    }
                }
            }
        }

        @Test
        fun `data from one upstream keeps the service reached whatever the others do`() {
            val all = upstreams(4)
            val loop = ReachLoop(all, { _, _ -> PROBE_REFUSED })
            repeat(50) {
                loop.happens(ReachEvent.Data(all[3]))
                all.take(3).forEach { loop.happens(failed(it)) }
                assertNull(loop.until(350) { loop.isCut })
            }
        }

        // Guards against an only upstream that counts as cut off in a short pause of its own.
        @Test
        fun `a second of silence of the only upstream is no cut`() {
            val loop = ReachLoop(
                upstreams(1),
                { _, atMillis -> PROBE_SILENT.takeIf { atMillis < 1_000 } },
                { it.coerceAtMost(1_000) }
            )
            loop.happens(ReachEvent.Data(loop.usable.single()))
            assertNull(loop.until(5_000) { loop.isCut })
        }

        @Test
        fun `closed connections are no cut while probes are answered`() {
            val loop = ReachLoop(upstreams(2), { _, _ -> null })
            repeat(20) {
                loop.usable.forEach { loop.happens(failed(it, RESET)) }
                assertNull(loop.until(300) { loop.isCut })
            }
        }

        // Guards against time limits that passed while the process was suspended.
        @Test
        fun `failures of requests alone are no cut`() {
            val loop = ReachLoop(upstreams(3), { _, _ -> null })
            loop.usable.forEach { loop.happens(failed(it)) }
            assertNull(loop.until(5_000) { loop.isCut })
        }

        @Test
        fun `failures from before a suspension are forgotten`() {
            val loop = ReachLoop(upstreams(2), { _, _ -> PROBE_SILENT })
            loop.happens(failed(loop.usable.first()))
            loop.pass(250)
            loop.happens(ReachEvent.Suspended)
            assertNull(loop.until(5_000) { loop.isCut })
        }

        @Test
        fun `a service without upstreams is not cut off`() {
            val loop = ReachLoop(emptyList(), { _, _ -> PROBE_REFUSED })
            loop.happens(failed(UpstreamStart("u", 1)))
            assertNull(loop.until(5_000) { loop.isCut })
        }

        @Test
        fun `slow answers cost at most one probe in a second and a half`() {
            val loop = ReachLoop(upstreams(8), { _, _ -> null }, { it })
            loop.pass(15_000)
            assertTrue(loop.probes in 1..10, "${loop.probes} probes")
        }

        @Test
        fun `nothing is probed while data arrives`() {
            val loop = ReachLoop(upstreams(3), { _, _ -> null })
            repeat(50) {
                loop.happens(failed(loop.usable.first()))
                loop.pass(50)
                loop.happens(ReachEvent.Data(loop.usable.last()))
                loop.pass(50)
            }
            assertEquals(0, loop.probes)
        }
    }

    @Nested
    inner class Ends {
        private fun cut(
            count: Int,
            answerOf: (UpstreamStart, Long) -> ReachFailureKind?
        ): ReachLoop {
            val loop = ReachLoop(upstreams(count), answerOf)
            loop.happens(failed(loop.usable.first()))
            awaitCut(loop)
            return loop
        }

        @Test
        fun `a cut ends within a second of its cause`() {
            for (kind in listOf(PROBE_SILENT, PROBE_REFUSED)) {
                for (count in 1..40) {
                    val loop = cut(count) { _, atMillis -> kind.takeIf { atMillis < 5_000 } }
                    loop.pass(5_000 - loop.nowMillis)
                    assertTrue(loop.isCut)
                    val tookMillis = assertNotNull(loop.until(5_000) { !loop.isCut })
                    assertTrue(tookMillis <= 700, "$count upstreams: $tookMillis ms")
                    assertFalse(loop.effects.none { it is ReachEffect.Reached })
                }
            }
        }

        @Test
        fun `a single sign of reach does not end a cut`() {
            val loop = cut(5) { _, _ -> PROBE_REFUSED }
            loop.happens(ReachEvent.Data(loop.usable[1]))
            assertNull(loop.until(5_000) { !loop.isCut })
        }

        @Test
        fun `data from two upstreams ends a cut`() {
            val loop = cut(5) { _, _ -> PROBE_REFUSED }
            loop.usable.take(2).forEach { loop.happens(ReachEvent.Data(it)) }
            assertNotNull(loop.until(200) { !loop.isCut })
        }

        // Guards against a service that stays cut off although one of its upstreams is reached.
        @Test
        fun `a cut ends with the only upstream that has returned`() {
            val loop = cut(6) { u, at -> PROBE_REFUSED.takeIf { u.id != "u4" || at < 2_000 } }
            loop.pass(2_000 - loop.nowMillis)
            assertNotNull(loop.until(2_000) { !loop.isCut })
            assertNull(loop.until(5_000) { loop.isCut })
        }

        @Test
        fun `a cut ends with an upstream that is new`() {
            val loop = cut(1) { u, _ -> PROBE_REFUSED.takeIf { u.startedAtEpochMillis == 1L } }
            loop.pass(1_000)
            loop.usable = listOf(UpstreamStart("u1", 2))
            assertNotNull(loop.until(700) { !loop.isCut })
        }

        @Test
        fun `a cut ends when no upstream is left`() {
            val loop = cut(2) { _, _ -> PROBE_REFUSED }
            loop.usable = emptyList()
            assertNotNull(loop.until(200) { !loop.isCut })
        }
    }
}
