package cactusfold.decisions.residency

import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

/** Loads where priorities differ: tips (0), notes (1) and reports (2); the store takes 9 s. */
class RareModelLoadsTest : ResidencyFixture() {
    private val full = held("d" to emptySet(), "e" to emptySet(), "f" to emptySet())

    private fun caller(model: String, priority: Int, ageShare: Double = 0.0): ModelDemand {
        val targetAtMillis = now + if (priority == 2) 8_000 else 800
        val limitAtMillis = now + if (priority == 0) 8_000 else 30_000
        return ModelDemand(
            model,
            null,
            waiting = 1,
            targetAtMillis,
            limitAtMillis,
            byPriority = persistentListOf(
                PriorityDemand(priority, 1, targetAtMillis, limitAtMillis, ageShare = ageShare)
            )
        )
    }

    private fun plan(
        runners: List<RunnerState>,
        demands: List<ModelDemand>,
        rates: Map<String, Double> = emptyMap(),
        refusals: Map<String, Int> = emptyMap(),
        storeLoadsAtOnce: Int = 2
    ): ResidencyPlan {
        val view = view(runners, demands, longTermRates = rates)
        val bounds = view.bounds.copy(storeLoadsAtOnce = storeLoadsAtOnce)
        return planner.plan(
            view.copy(bounds = bounds, usesPriorities = true, refusals = refusals),
            now
        )
    }

    @Nested
    inner class Order {
        // Guards against a report that is late although a disk has its model.
        @Test
        fun `a report whose model is on a disk goes before two tips whose model is in the store`() {
            val runners = listOf(runner("r1", held(), disk = setOf("c")))
            val tips = List(2) { caller("b", 0) }
            assertEquals("c", loads(plan(runners, tips + caller("c", 2))).first().model)
        }

        // Guards against urgent requests that wait behind patient ones for a place of the store.
        @Test
        fun `the store's only place goes to the more urgent caller`() {
            val runners = List(3) { runner("r$it", held()) }
            val demands = listOf(caller("c", 2), caller("b", 1))
            assertEquals("b", loads(plan(runners, demands, storeLoadsAtOnce = 1)).single().model)
        }

        // Guards against reports that starve under a constant stream of more urgent requests.
        @Test
        fun `a report that has waited for half of its limit goes before a new note`() {
            val runners = List(3) { runner("r$it", held()) }
            val demands = listOf(caller("b", 1), caller("c", 2, ageShare = 0.5))
            assertEquals("c", loads(plan(runners, demands, storeLoadsAtOnce = 1)).single().model)
        }

        // Guards against a store load of 9 s while the copy's holder is in a back-off of 1 s.
        @Test
        fun `a holder of a copy that is free soon is waited for`() {
            val holder = runner("r1", held(), disk = setOf("c"))
                .copy(isBusy = true, freeAtMillis = now + 800)
            val plan = plan(listOf(holder, runner("r2", held())), listOf(caller("c", 2)))
            assertEquals(emptyList(), plan.steps)
            assertEquals(now + 800 + 2_000 + 300, plan.readyAtMillis["c"])
        }
    }

    @Nested
    inner class Eviction {
        private fun evicted(vararg runners: RunnerState, rates: Map<String, Double>) =
            loads(plan(runners.toList(), listOf(caller("c", 2)), rates)).first().evicted

        // Guards against a copy that only the store has afterwards, evicted for a short-term gain.
        @Test
        fun `the last copy in the fleet is kept while a copy on a disk remains of another model`() {
            val rates = mapOf("d" to 0.01, "e" to 0.01, "f" to 0.1)
            val holder = runner("r1", full, disk = setOf("c", "f"))
            assertEquals(listOf("f"), evicted(holder, rates = rates))
        }

        @Test
        fun `a spare replica goes before any last resident copy`() {
            val rates = mapOf("d" to 0.01, "e" to 0.3, "f" to 0.01)
            val holder = runner("r1", full, disk = setOf("c", "d", "f"))
            val other = runner("r2", held("e" to emptySet())).copy(isBusy = true)
            assertEquals(listOf("e"), evicted(holder, other, rates = rates))
        }

        // Guards against store loads where the only holder of a copy is full of models in use.
        @Test
        fun `a model with one request in progress goes if another runner serves it`() {
            val used = mapOf("d" to 1, "e" to 5, "f" to 1)
            val holder = runner("r1", full, disk = setOf("c"), inFlight = used)
            val other = runner("r2", held("d" to emptySet()))
            assertEquals(listOf("d"), evicted(holder, other, rates = emptyMap()))
        }
    }

    @Nested
    inner class Preloading {
        private val free = List(2) { runner("r$it", held()) }

        // Guards against a model that is refused again and again while the store is idle.
        @Test
        fun `a refused model without any copy is loaded while the store is idle`() {
            val refused = mapOf("c" to 1)
            assertEquals("c", loads(plan(free, emptyList(), refusals = refused)).single().model)
            val loading = runner("r9", held()).copy(isBusy = true, loadsFromStore = true)
            assertEquals(emptyList(), plan(free + loading, emptyList(), refusals = refused).steps)
        }

        @Test
        fun `nothing is loaded without an expected caller`() {
            assertEquals(emptyList(), plan(free, emptyList()).steps)
        }

        @Test
        fun `a model with expected callers is loaded from a disk into free room only`() {
            val rates = mapOf("c" to 0.1)
            val load = loads(plan(listOf(runner("r1", held(), setOf("c"))), emptyList(), rates))
            assertEquals("c", load.single().model)
            val noRoom = listOf(runner("r1", full, disk = setOf("c")))
            assertEquals(emptyList(), plan(noRoom, emptyList(), rates).steps)
        }
    }

    /** Models of 210 MB on a runner of 211 MB leave room for one adapter of 1 MB. */
    @Nested
    inner class AdapterMemory {
        private val models = held("a" to setOf("x"), "e" to emptySet(), "f" to emptySet())

        private fun plan(usedAgoMillis: Long): ResidencyPlan {
            val used = mapOf("r1" to mapOf(("a" to "x") to now - usedAgoMillis))
            val view = view(
                listOf(runner("r1", models)),
                listOf(demand("a", adapter = "y")),
                used = used
            )
            return planner.plan(view.copy(bounds = view.bounds.copy(weightMegabytes = 211.0)), now)
        }

        // Guards against a runner that crashes, since it is ordered to load more than it can hold.
        @Test
        fun `an adapter without memory for it is not loaded beside adapters in use`() {
            val plan = plan(usedAgoMillis = 100)
            assertEquals(emptyList(), plan.steps)
            assertEquals(Obstacle.NO_ROOM, plan.blocked.single().obstacle)
        }

        @Test
        fun `an idle adapter makes room`() {
            val step = assertIs<ResidencyOrder.LoadAdapter>(plan(usedAgoMillis = 5_000).steps[0])
            assertEquals("a" to "x", step.evicted)
        }
    }
}
