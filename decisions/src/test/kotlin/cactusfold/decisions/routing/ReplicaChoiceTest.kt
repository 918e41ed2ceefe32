package cactusfold.decisions.routing

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class ReplicaChoiceTest {
    private val choice = ReplicaChoice(zoneCrossingMillis = 1.0, affinityLoadGap = 0.25)
    private val idle = ReplicaView("a", "z1", 8, 0, 0, 0, 10.0, Long.MIN_VALUE)

    private fun choose(views: List<ReplicaView>, prefix: String? = null): String? =
        choice.choose(views, "z1", prefix, 0, 1, 100)?.upstream

    @Test
    fun `a lagged report does not hide what this router has in flight`() {
        val busy = idle.copy(upstream = "b", inFlight = 6)
        assertEquals("a", choose(listOf(busy, idle)))
    }

    @Test
    fun `an upstream put aside or full is not chosen`() {
        assertNull(choose(listOf(idle.copy(excludedUntilMillis = 200), idle.copy(inFlight = 8))))
        assertEquals("a", choose(listOf(idle.copy(excludedUntilMillis = 100))))
    }

    @Test
    fun `the holder of the prefix is chosen while it is not much busier`() {
        val holder = idle.copy(upstream = "b", inFlight = 2)
        assertEquals("b", choose(listOf(idle, holder), "b"))
        assertEquals("a", choose(listOf(idle, holder.copy(inFlight = 7)), "b"))
    }

    @Test
    fun `the own zone is preferred among equals, not against load`() {
        val far = idle.copy(upstream = "far", zone = "z2")
        assertEquals("a", choose(listOf(far, idle)))
        assertEquals("far", choose(listOf(far, idle.copy(inFlight = 6))))
    }
}
