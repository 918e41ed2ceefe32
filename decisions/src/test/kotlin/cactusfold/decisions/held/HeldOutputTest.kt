package cactusfold.decisions.held

import kotlin.test.assertEquals
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

class HeldOutputTest {
    private val output = HeldOutput(budgetBytes = 800)

    private fun held(
        name: String,
        priority: Int = 1,
        bytes: Long = 100,
        behindSinceMillis: Long = 0,
        lastReadAtMillis: Long = 0,
        isResumable: Boolean = false
    ) = HeldStream(name, priority, bytes, behindSinceMillis, lastReadAtMillis, isResumable)

    private fun ended(vararg held: HeldStream<String>): List<String> =
        output.excess(held.toList(), nowMillis = 5_000).map { it.stream }

    private val rest = held("rest", priority = 0, bytes = 550)

    @Nested
    inner class Budget {
        // Guards against streams that end although there is memory for them.
        @Test
        fun `within the budget no stream ends`() = assertEquals(emptyList(), ended(rest, held("a")))

        // Guards against one end for each further piece that is written.
        @Test
        fun `streams end until an eighth of the budget is free`() {
            val slow = (1..9).map { held("$it", lastReadAtMillis = it.toLong()) }
            assertEquals(listOf("1", "2"), ended(*slow.toTypedArray()))
        }

        // Guards against a fast caller that pays for slow ones in the moment of a large event.
        @Test
        fun `a caller that is behind for less than a second keeps its stream`() {
            val fast = held("fast", priority = 9, bytes = 500, behindSinceMillis = 4_500)
            assertEquals(listOf("rest"), ended(fast, rest))
        }
    }

    @Nested
    inner class Order {
        // Guards against an urgent stream that ends before a less urgent one.
        @Test
        fun `the least urgent stream ends first, even if others are read more slowly`() {
            val urgent = held("urgent", priority = 0, bytes = 150)
            val late = held("late", priority = 2, bytes = 150, lastReadAtMillis = 4_000)
            assertEquals(listOf("late"), ended(urgent, late, rest))
        }

        // Guards against the loss of work that can't be taken up, where another stream can.
        @Test
        fun `of one priority a stream that may be resumed ends first`() {
            val resumable = held("a", bytes = 150, lastReadAtMillis = 4_000, isResumable = true)
            assertEquals(listOf("a"), ended(held("b", bytes = 150), resumable, rest))
        }

        // Guards against the loss of streams that are still being read.
        @Test
        fun `of equal streams the one that was not read for longest ends first`() {
            val read = held("read", bytes = 150, lastReadAtMillis = 4_000)
            assertEquals(listOf("unread"), ended(read, held("unread", bytes = 150), rest))
        }
    }
}
