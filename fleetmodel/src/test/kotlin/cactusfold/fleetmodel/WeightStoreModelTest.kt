package cactusfold.fleetmodel

import kotlin.test.assertEquals
import org.junit.jupiter.api.Test

class WeightStoreModelTest {
    private val queue = EventQueue()
    private val store = WeightStoreModel(queue, fullSpeedLoads = 2)
    private val ends = mutableListOf<Pair<String, Double>>()

    private fun load(name: String) = store.load(9_000.0) { ends += name to queue.nowMillis }

    @Test
    fun `loads up to the limit run at full speed`() {
        listOf("a", "b").forEach(::load)
        queue.runUntil(60_000.0)
        assertEquals(listOf("a" to 9_000.0, "b" to 9_000.0), ends)
    }

    @Test
    fun `loads over the limit share the bandwidth until one ends`() {
        listOf("a", "b").forEach(::load)
        queue.after(4_500.0) { load("c") }
        queue.runUntil(60_000.0)
        assertEquals(listOf("a" to 11_250.0, "b" to 11_250.0, "c" to 15_750.0), ends)
    }
}
