package cactusfold.entry.callers

import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

class StreamPositionTest {
    private val new = StreamPosition()
    private val resumed = StreamPosition(resumesAfter = "12")

    private fun StreamPosition.after(vararg ids: String) = apply { sent(ids.toList()) }

    @Nested
    inner class NewStreams {
        @Test
        fun `a stream may begin with any event`() {
            assertTrue(new.isContinuedBy("7"))
            assertTrue(new.isContinuedBy(null))
            assertNull(new.lastEventId)
        }

        @Test
        fun `numbered events go on with the next number`() {
            val position = new.after("1", "2")
            assertEquals("2", position.lastEventId)
            assertEquals(
                listOf(false, true, false),
                listOf("2", "3", "4").map(position::isContinuedBy)
            )
        }

        @Test
        fun `ids that count something else only have to increase`() {
            val position = new.after("3", "6", "8")
            assertEquals(
                listOf(false, true, true),
                listOf("8", "9", "11").map(position::isContinuedBy)
            )
        }

        @Test
        fun `ids that are no numbers only have to differ`() {
            val position = new.after("a", "b")
            assertEquals(listOf(false, true), listOf("b", "c").map(position::isContinuedBy))
        }

        @Test
        fun `an event without id continues nothing`() =
            assertFalse(new.after("1").isContinuedBy(null))
    }

    @Nested
    inner class ResumedStreams {
        @Test
        fun `a run continues after the event that the caller had`() {
            assertEquals(listOf(false, true), listOf("12", "13").map(resumed::isContinuedBy))
            assertFalse(resumed.isContinuedBy("1"))
        }

        @Test
        fun `the last event is one that was sent in this answer`() {
            assertNull(resumed.lastEventId)
            assertEquals("14", resumed.after("13", "14").lastEventId)
        }
    }
}
