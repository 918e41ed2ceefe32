package cactusfold.entry.passing

import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

class TakenRequestsTest {
    private val taken = TakenRequests(maxTaken = 10, maxRunning = 20)

    /** Has [vm] pass on as many requests as are taken, and returns their number. */
    private fun fill(vm: String): Int = generateSequence { taken.tryEnter(vm, running = 0) }
        .takeWhile { it }.count()

    @Nested
    inner class Shares {
        @Test
        fun `a single peer may have all places`() {
            assertEquals(10, fill("a"))
        }

        @Test
        fun `peers that have requests here get equal shares`() {
            assertTrue(taken.tryEnter("a", 0))
            assertEquals(5, fill("b"))
            assertEquals(4, fill("a"))
        }

        @Test
        fun `a peer that had all places takes none before its share is free`() {
            fill("a")
            assertFalse(taken.tryEnter("b", 0))
            taken.leave("a")
            assertTrue(taken.tryEnter("b", 0))
            taken.leave("a")
            assertFalse(taken.tryEnter("a", 0))
            assertTrue(taken.tryEnter("b", 0))
        }

        @Test
        fun `places that a peer leaves are free again`() {
            repeat(fill("a")) { taken.leave("a") }
            assertEquals(0, taken.count)
            assertEquals(10, fill("b"))
        }
    }

    @Nested
    inner class OwnCallers {
        @Test
        fun `nothing is taken while too many requests are in progress`() {
            assertFalse(taken.tryEnter("a", running = 20))
            assertTrue(taken.tryEnter("a", running = 19))
        }
    }
}
