package cactusfold.entry.residency

import cactusfold.seeds.Seeds
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Test

/**
 * Planner, ledger and loader of two coordinators that take turns, against runners whose orders and
 * reports are lost or late, while rows are stale or lapse and adapters load slowly.
 */
class RunnerMemoryRandomisedTest {
    // Guards against a runner that is ordered to load more than it holds.
    @Test
    fun `no runner is overloaded, and loads go on`() {
        var loads = 0
        Seeds.each { random ->
            val day = SimulatedDay(random)
            day.play()
            assertEquals(emptyList(), day.fleet.overloads, day.fleet.log)
            assertTrue(day.fleet.served > 0, "nothing was served: ${day.fleet.log}")
            loads += day.fleet.runners.sumOf { it.loads + it.adapterLoads }
        }
        println("$loads loads")
    }

    // Guards against a simulation that overlooks faults.
    @Test
    fun `a runner whose reports omit a model is found overloaded`() {
        val found = (1..PLANTED_SEEDS).count { seed ->
            val day = SimulatedDay(Random(seed))
            day.fleet.runners.forEach { it.unreported = setOf("m1", "m4") }
            day.play()
            day.fleet.overloads.isNotEmpty()
        }
        assertTrue(found > PLANTED_SEEDS / 2, "found in $found of $PLANTED_SEEDS seeds")
    }

    private companion object {
        const val PLANTED_SEEDS = 10
    }
}
