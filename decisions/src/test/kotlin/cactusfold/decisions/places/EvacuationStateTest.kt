package cactusfold.decisions.places

import kotlin.test.assertEquals
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

class EvacuationStateTest {
    private fun at(position: Long, era: Long = 1) = EvacuationRevision(era, position)

    private val evacuated = EvacuationState().snapshot(setOf("a"), at(10), 0)

    @Nested
    inner class Rows {
        @Test
        fun `a row begins an evacuation, and its removal ends it`() {
            val both = evacuated.changed(setOf("b"), emptySet(), at(11))
            assertEquals(setOf("a", "b"), both.evacuated)
            assertEquals(setOf("b"), both.changed(emptySet(), setOf("a"), at(12)).evacuated)
            assertEquals(setOf("b"), evacuated.snapshot(setOf("b"), at(13), 0).evacuated)
        }
    }

    /** Guards against a coordinator that was lost, and notices that arrive late. */
    @Nested
    inner class Messages {
        @Test
        fun `what an older coordinator knew does not end an evacuation`() {
            val older = EvacuationState().snapshot(emptySet(), at(9), 0)
            assertEquals(setOf("a"), evacuated.heard(older, 0).evacuated)
        }

        @Test
        fun `what the coordinator has read later applies`() {
            val ended = evacuated.changed(emptySet(), setOf("a"), at(12))
            assertEquals(emptySet(), evacuated.heard(ended, 0).evacuated)
            assertEquals(setOf("a"), EvacuationState().heard(evacuated, 0).evacuated)
        }
    }

    /** Guards against a store that comes back from an older copy and has lost the row. */
    @Nested
    inner class OtherEra {
        private val lost = evacuated.snapshot(emptySet(), at(5, era = 2), 0)

        @Test
        fun `a row that was lost does not end the evacuation for a long time`() {
            assertEquals(setOf("a"), lost.evacuated)
            val later = lost.snapshot(emptySet(), at(6, era = 2), 1_000)
            assertEquals(setOf("a"), later.expired(EvacuationState.HELD_MILLIS - 1).evacuated)
            assertEquals(emptySet(), later.expired(EvacuationState.HELD_MILLIS).evacuated)
        }

        @Test
        fun `a coordinator that has never seen the row does not end it, and takes it over`() {
            val newcomer = EvacuationState().snapshot(emptySet(), at(7, era = 2), 0)
            assertEquals(setOf("a"), lost.heard(newcomer, 0).evacuated)
            assertEquals(setOf("a"), evacuated.heard(newcomer, 0).evacuated)
            assertEquals(setOf("a"), newcomer.heard(lost, 0).evacuated)
        }

        @Test
        fun `a row that is written and removed again ends it for all`() {
            val written = lost.changed(setOf("a"), emptySet(), at(8, era = 2))
            val removed = written.changed(emptySet(), setOf("a"), at(9, era = 2))
            assertEquals(emptySet(), removed.evacuated)
            val removedAtOnce = lost.changed(emptySet(), setOf("a"), at(8, era = 2))
            assertEquals(emptySet(), removedAtOnce.evacuated)
            assertEquals(emptySet(), removedAtOnce.heard(lost, 0).evacuated)
            assertEquals(emptySet(), lost.heard(removedAtOnce, 0).evacuated)
        }
    }

    @Nested
    inner class Homes {
        @Test
        fun `the homes of a route and of a workspace both bind`() {
            val both = HomeRegions.of(setOf("east", "west"), setOf("west", "north"))
            assertEquals(setOf("west"), both.regions)
            assertEquals(
                listOf(true, false, false),
                listOf("west", "east", null).map(both::accepts)
            )
            assertEquals(true, HomeRegions.of(emptySet(), emptySet()).accepts(null))
            assertEquals(false, HomeRegions.of(setOf("east"), setOf("west")).accepts("east"))
        }
    }
}
