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
    fun `own in-flight requests count although the report does not show them yet`() {
        val busy = idle.copy(upstream = "b", inFlight = 6)
        assertEquals("a", choose(listOf(busy, idle)))
    }

    @Test
    fun `an excluded or full upstream is not chosen`() {
        assertNull(choose(listOf(idle.copy(excludedUntilMillis = 200), idle.copy(inFlight = 8))))
        assertEquals("a", choose(listOf(idle.copy(excludedUntilMillis = 100))))
    }

    @Test
    fun `the upstream with the cached prefix is chosen unless it is much busier`() {
        val cached = idle.copy(upstream = "b", inFlight = 2)
        assertEquals("b", choose(listOf(idle, cached), "b"))
        assertEquals("a", choose(listOf(idle, cached.copy(inFlight = 7)), "b"))
    }

    @Test
    fun `the own zone is preferred at equal load but not at much higher load`() {
        val far = idle.copy(upstream = "far", zone = "z2")
        assertEquals("a", choose(listOf(far, idle)))
        assertEquals("far", choose(listOf(far, idle.copy(inFlight = 6))))
    }
}
