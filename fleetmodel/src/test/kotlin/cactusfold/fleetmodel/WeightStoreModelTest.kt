package cactusfold.fleetmodel

import kotlin.test.assertEquals
import org.junit.jupiter.api.Test

class WeightStoreModelTest {
    private val queue = EventQueue()
    private val store = WeightStoreModel(queue, loadsAtOnce = 2)
    private val ends = mutableListOf<Pair<String, Double>>()

    private fun load(name: String) = store.load(9_000.0) { ends += name to queue.nowMillis }

    @Test
    fun `as many loads as it carries run at full speed`() {
        listOf("a", "b").forEach(::load)
        queue.runUntil(60_000.0)
        assertEquals(listOf("a" to 9_000.0, "b" to 9_000.0), ends)
    }

    @Test
    fun `beyond that all slow down, and speed up again when one ends`() {
        listOf("a", "b").forEach(::load)
        queue.after(4_500.0) { load("c") }
        queue.runUntil(60_000.0)
        assertEquals(listOf("a" to 11_250.0, "b" to 11_250.0, "c" to 15_750.0), ends)
    }
}
