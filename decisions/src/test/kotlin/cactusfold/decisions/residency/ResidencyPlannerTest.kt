package cactusfold.decisions.residency

import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toImmutableMap
import kotlinx.collections.immutable.toImmutableSet
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

class ResidencyPlannerTest {
    private val planner = ResidencyPlanner()
    private val now = 100_000L

    private fun cost(name: String, adapters: Int = 0): ModelCost =
        ModelCost(name, 70.0, 1.0, adapters, 9_000, 2_000, 1_000)

    private val bounds = RunnerBounds(
        slots = 10,
        weightMegabytes = 230.0,
        adapterSlots = 2,
        storeLoadsAtOnce = 2,
        overheadMillis = 300,
        models = ('a'..'l').map { it.toString() }
            .associateWith { cost(it, if (it == "a") 8 else 0) }.toImmutableMap()
    )

    private fun held(
        vararg models: Pair<String, Set<String>>
    ): ImmutableMap<String, ImmutableSet<String>> =
        models.associate { it.first to it.second.toImmutableSet() }.toImmutableMap()

    private fun runner(
        id: String,
        models: ImmutableMap<String, ImmutableSet<String>>,
        disk: Set<String> = emptySet(),
        inFlight: Map<String, Int> = emptyMap()
    ): RunnerState = RunnerState(
        id = id,
        served = models,
        adaptersByModel = models,
        modelsInHostMemory = persistentSetOf(),
        modelsOnDisk = disk.toImmutableSet(),
        loading = null,
        loadedAtMillis = 0,
        loadsFromStore = false,
        isBusy = false,
        adapterOrders = 0,
        inFlight = inFlight.toImmutableMap(),
        lastUsedMillis = emptyMap<String, Long>().toImmutableMap()
    )

    private fun demand(
        model: String,
        waiting: Int = 1,
        limitInMillis: Long = 30_000,
        adapter: String? = null
    ): ModelDemand = ModelDemand(model, adapter, waiting, now + 4_000, now + limitInMillis)

    private fun view(
        runners: List<RunnerState>,
        demands: List<ModelDemand>,
        rates: Map<String, Double> = emptyMap(),
        used: Map<String, Map<Pair<String, String>, Long>> = emptyMap(),
        habits: Map<String, Double> = emptyMap(),
        storeLoads: Int = 10,
        joinedAgoMillis: Long = 60_000
    ): ResidencyView = ResidencyView(
        bounds,
        runners,
        demands,
        rates,
        habits,
        used,
        storeLoads,
        now - joinedAgoMillis
    )

    private fun loads(plan: ResidencyPlan): List<Residency.Load> =
        plan.steps.filterIsInstance<Residency.Load>()

    @Nested
    inner class ColdStarts {
        @Test
        fun `a model is loaded where its weights are nearest`() {
            val runners = listOf(runner("r1", held()), runner("r2", held(), disk = setOf("c")))
            val load = loads(planner.plan(view(runners, listOf(demand("c"))), now)).single()
            assertEquals("r2" to WeightSource.DISK, load.runner to load.source)
        }

        @Test
        fun `a burst for one rare model costs one load`() {
            val runners = listOf(runner("r1", held()), runner("r2", held()))
            val demands = listOf(demand("c", waiting = 20), demand("c", waiting = 3))
            assertEquals(1, loads(planner.plan(view(runners, demands), now)).size)
        }

        @Test
        fun `a load that can still meet its target goes before one that cannot`() {
            val runners = listOf(runner("r1", held(), disk = setOf("d")))
            val demands = listOf(demand("c", waiting = 4), demand("d"))
            assertEquals("d", loads(planner.plan(view(runners, demands), now)).single().model)
        }

        @Test
        fun `a copy on a runner that will soon be free goes before a load from the store`() {
            val busy = runner("r1", held(), disk = setOf("c"))
                .copy(isBusy = true, loading = "b", loadedAtMillis = now + 1_500)
            val view = view(listOf(busy, runner("r2", held())), listOf(demand("c")))
            val plan = planner.plan(view, now)
            assertEquals(emptyList(), plan.steps)
            assertEquals(now + 1_500 + 2_000 + 300, plan.readyAtMillis["c"])
        }

        @Test
        fun `a copy on a runner without room does not keep a model from being loaded elsewhere`() {
            val full = held("d" to emptySet(), "e" to emptySet(), "f" to emptySet())
            val used = mapOf("d" to 1, "e" to 1, "f" to 1)
            val runners =
                listOf(runner("r1", full, setOf("c"), inFlight = used), runner("r2", held()))
            val load = loads(planner.plan(view(runners, listOf(demand("c"))), now)).single()
            assertEquals("r2" to WeightSource.STORE, load.runner to load.source)
        }

        @Test
        fun `many callers whose target is lost go before one whose target is not`() {
            val runners = listOf(runner("r1", held(), disk = setOf("c", "d")))
            val demands = listOf(
                demand("c", waiting = 9).copy(targetAtMillis = now + 1_000),
                demand("d")
            )
            assertEquals("c", loads(planner.plan(view(runners, demands), now)).single().model)
        }

        @Test
        fun `no more loads from the store run at once than it carries at full speed`() {
            val runners = List(5) { runner("r$it", held()) }
            val demands = listOf("c", "d", "e", "f").map { demand(it) }
            assertEquals(2, loads(planner.plan(view(runners, demands), now)).size)
        }

        @Test
        fun `the window of the weight store is kept`() {
            val runners = List(3) { runner("r$it", held()) }
            val plan = planner.plan(view(runners, listOf(demand("c")), storeLoads = 0), now)
            assertEquals(emptyList(), loads(plan))
        }

        @Test
        fun `a model that was refused again and again goes before a newcomer`() {
            val runners = listOf(runner("r1", held()))
            val demands = listOf(demand("c", waiting = 2), demand("d").copy(missed = 3))
            assertEquals("d", loads(planner.plan(view(runners, demands), now)).single().model)
        }

        @Test
        fun `requests that no load can meet in time are refused at once`() {
            val runners = listOf(runner("r1", held()))
            val plan = planner.plan(view(runners, listOf(demand("c", limitInMillis = 5_000))), now)
            assertEquals(emptyList(), plan.steps)
            assertEquals(listOf("c"), plan.hopeless)
        }
    }

    /** Callers that leave before a load from the weight store can be done: 4 s against 9 s. */
    @Nested
    inner class ImpatientCallers {
        private val impatient = demand("c", limitInMillis = 4_000)

        @Test
        fun `a model that many ask for is loaded for those who will come`() {
            val view = view(
                listOf(runner("r1", held())),
                listOf(impatient),
                habits = mapOf(
                    "c" to 2.0
                )
            )
            val plan = planner.plan(view, now)
            assertEquals("c", loads(plan).single().model)
            assertEquals(listOf("c"), plan.hopeless, "those who wait are told at once")
            assertEquals(now + 9_300, plan.readyAtMillis["c"], "and when to come back")
        }

        @Test
        fun `a model that few ask for is loaded once it was refused several times`() {
            val demands = listOf(impatient.copy(missed = 3))
            val plan = planner.plan(view(listOf(runner("r1", held())), demands), now)
            assertEquals("c", loads(plan).single().model)
        }

        @Test
        fun `those whom a load would miss by its overhead do not wait for it`() {
            val runners = listOf(runner("r1", held(), disk = setOf("c")))
            val demands = listOf(demand("c", limitInMillis = 2_200))
            assertEquals(listOf("c"), planner.plan(view(runners, demands), now).hopeless)
        }

        @Test
        fun `a model that more ask for does not make way`() {
            val full = held("d" to emptySet(), "e" to emptySet(), "f" to emptySet())
            val habits = mapOf("c" to 2.0, "d" to 9.0, "e" to 9.0, "f" to 9.0)
            val view = view(listOf(runner("r1", full)), listOf(impatient), habits = habits)
            assertEquals(emptyList(), loads(planner.plan(view, now)))
        }

        @Test
        fun `the one that most will ask for is loaded first`() {
            val demands = listOf(demand("d", limitInMillis = 4_000), impatient)
            val habits = mapOf("c" to 9.0, "d" to 2.0)
            val view = view(listOf(runner("r1", held())), demands, habits = habits)
            assertEquals("c", loads(planner.plan(view, now)).single().model)
        }
    }

    /** When callers are told that a model will be there: loads of 9 s from the store, two at once. */
    @Nested
    inner class Forecasts {
        private fun loading(id: String, model: String, leftMillis: Long): RunnerState =
            runner(id, held()).copy(
                isBusy = true,
                loading = model,
                loadedAtMillis = now + leftMillis,
                loadsFromStore = true
            )

        @Test
        fun `a model waits until the weight store has come to it`() {
            val runners = listOf(
                loading("r1", "a", 4_300),
                loading("r2", "b", 8_300),
                runner("r3", held())
            )
            val demands = listOf(demand("c", waiting = 3), demand("d"), demand("e"))
            val plan = planner.plan(view(runners, demands), now)
            assertEquals(
                mapOf("c" to now + 13_300, "d" to now + 17_300, "e" to now + 22_300),
                plan.readyAtMillis
            )
        }

        @Test
        fun `who can't wait for its turn is refused at once`() {
            val runners = listOf(loading("r1", "a", 4_300), loading("r2", "b", 8_300))
            val demands = listOf(
                demand("c", waiting = 3, limitInMillis = 16_000),
                demand("d", limitInMillis = 16_000)
            )
            assertEquals(listOf("d"), planner.plan(view(runners, demands), now).hopeless)
        }

        @Test
        fun `a copy on a busy runner's disk is waited for where that is sooner`() {
            val busy = loading("r1", "a", 2_000).copy(modelsOnDisk = persistentSetOf("c"))
            val plan = planner.plan(view(listOf(busy), listOf(demand("c"))), now)
            assertEquals(now + 2_000 + 2_000 + 300, plan.readyAtMillis["c"])
        }
    }

    @Nested
    inner class Obstacles {
        private fun obstacle(view: ResidencyView): Obstacle =
            planner.plan(view, now).blocked.single().obstacle

        @Test
        fun `runners that carry out orders are named`() {
            val busy = runner("r1", held()).copy(isBusy = true)
            assertEquals(Obstacle.RUNNERS_BUSY, obstacle(view(listOf(busy), listOf(demand("c")))))
        }

        @Test
        fun `the weight store's limit is named`() {
            val view = view(listOf(runner("r1", held())), listOf(demand("c")), storeLoads = 0)
            assertEquals(Obstacle.STORE_LIMIT, obstacle(view))
        }

        @Test
        fun `memory that is in use is named`() {
            val full = held("d" to emptySet(), "e" to emptySet(), "f" to emptySet())
            val used = mapOf("d" to 1, "e" to 1, "f" to 1)
            val view = view(listOf(runner("r1", full, inFlight = used)), listOf(demand("c")))
            assertEquals(Obstacle.NO_ROOM, obstacle(view))
        }

        @Test
        fun `callers that leave too early are named`() {
            val demands = listOf(demand("c", limitInMillis = 4_000))
            assertEquals(Obstacle.TOO_LATE, obstacle(view(listOf(runner("r1", held())), demands)))
        }

        @Test
        fun `an adapter that waits for its runner's other order is named`() {
            val busy = runner("r1", held("a" to emptySet())).copy(isBusy = true)
            val view = view(listOf(busy), listOf(demand("a", adapter = "x")))
            assertEquals(
                listOf(Blocked("a", "x", Obstacle.RUNNERS_BUSY)),
                planner.plan(view, now).blocked
            )
        }
    }

    @Nested
    inner class MakingRoom {
        private val full = held("d" to emptySet(), "e" to emptySet(), "f" to emptySet())

        @Test
        fun `a copy of which there are others goes first`() {
            val runners =
                listOf(
                    runner("r1", full),
                    runner(
                        "r2",
                        held("e" to emptySet()),
                        inFlight = mapOf(
                            "e" to 9
                        )
                    )
                )
            val busy = runners[1].copy(isBusy = true)
            val plan = planner.plan(view(listOf(runners[0], busy), listOf(demand("c"))), now)
            assertEquals(listOf("e"), loads(plan).single().evicted)
        }

        @Test
        fun `a model that comes back from the disk goes before one that does not`() {
            val runners = listOf(runner("r1", full, disk = setOf("f")))
            val plan = planner.plan(view(runners, listOf(demand("c"))), now)
            assertEquals(listOf("f"), loads(plan).single().evicted)
        }

        @Test
        fun `a model in use stays`() {
            val inFlight = mapOf("d" to 1, "e" to 1, "f" to 1)
            val plan = planner.plan(
                view(listOf(runner("r1", full, inFlight = inFlight)), listOf(demand("c"))),
                now
            )
            assertEquals(emptyList(), plan.steps)
        }

        @Test
        fun `a model that demand has left goes before one that is asked for`() {
            val rates = mapOf("d" to 3.0, "f" to 2.0)
            val plan = planner.plan(
                view(listOf(runner("r1", full)), listOf(demand("c")), rates),
                now
            )
            assertEquals(listOf("e"), loads(plan).single().evicted)
        }

        @Test
        fun `memory is never ordered beyond what the runner has`() {
            val odd = runner("r1", held("gone-from-config" to emptySet()))
            val plan = planner.plan(view(listOf(odd), listOf(demand("c"))), now)
            val load = loads(plan).single()
            assertEquals(listOf("gone-from-config"), load.evicted)
        }
    }

    @Nested
    inner class Adapters {
        @Test
        fun `an adapter goes to a runner with a free place`() {
            val runners = listOf(
                runner("r1", held("a" to setOf("x", "y"))),
                runner("r2", held("a" to setOf("x")))
            )
            val plan = planner.plan(view(runners, listOf(demand("a", adapter = "z"))), now)
            val step = assertIs<Residency.LoadAdapter>(plan.steps.single())
            assertEquals("r2", step.runner)
            assertNull(step.evicted)
        }

        @Test
        fun `the adapter that was idle longest makes way, never one just used`() {
            val runners = listOf(runner("r1", held("a" to setOf("x", "y"))))
            val used = mapOf("r1" to mapOf(("a" to "x") to now - 100, ("a" to "y") to now - 5_000))
            val plan = planner.plan(
                view(runners, listOf(demand("a", adapter = "z")), used = used),
                now
            )
            assertEquals("a" to "y", assertIs<Residency.LoadAdapter>(plan.steps.first()).evicted)
        }

        @Test
        fun `a long load goes to a runner that nobody waits at for adapters`() {
            val runners = listOf(
                runner("r1", held("a" to setOf("x"))),
                runner("r2", held("b" to emptySet()))
            )
            val plan = planner.plan(view(runners, listOf(demand("c")), mapOf("a" to 9.0)), now)
            assertEquals("r2", loads(plan).single().runner)
        }

        @Test
        fun `one runner gets one order at a time`() {
            val runners = listOf(runner("r1", held("a" to emptySet())))
            val demands = listOf(demand("a", adapter = "x"), demand("a", adapter = "y"))
            assertEquals(1, planner.plan(view(runners, demands), now).steps.size)
        }

        @Test
        fun `a model short of adapter places gets a copy`() {
            val runners = listOf(runner("r1", held("a" to setOf("x", "y"))), runner("r2", held()))
            val demands = listOf(demand("a", adapter = "z"))
            val plan = planner.plan(view(runners, demands, mapOf("a" to 2.0)), now)
            assertTrue(loads(plan).any { it.runner == "r2" && it.model == "a" })
        }
    }

    @Nested
    inner class Returns {
        private val full = held("d" to emptySet(), "e" to emptySet(), "f" to emptySet())
        private val disk = setOf("a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l")

        @Test
        fun `a model whose demand fell silent keeps its last copy`() {
            val runners = listOf(runner("r1", full, disk = disk))
            val view = view(runners, listOf(demand("c")), habits = mapOf("d" to 2.0, "f" to 1.0))
            assertEquals(listOf("e"), loads(planner.plan(view, now)).single().evicted)
        }

        @Test
        fun `a model with many adapters is brought back before it is asked for`() {
            val plan = planner.plan(view(listOf(runner("r1", full, disk = disk)), emptyList()), now)
            assertEquals("a", loads(plan).single().model)
        }

        @Test
        fun `nothing is brought back while runners are still being heard of`() {
            val runners = listOf(runner("r1", full, disk = disk))
            val plan = planner.plan(view(runners, emptyList(), joinedAgoMillis = 500), now)
            assertEquals(emptyList(), plan.steps)
        }

        @Test
        fun `a model no likelier than what it replaces stays away`() {
            val held = held("a" to emptySet(), "e" to emptySet(), "f" to emptySet())
            val plan = planner.plan(view(listOf(runner("r1", held, disk = disk)), emptyList()), now)
            assertEquals(emptyList(), plan.steps)
        }
    }

    @Nested
    inner class Copies {
        @Test
        fun `a model whose runners are busy gets another`() {
            val runners = listOf(
                runner("r1", held("a" to emptySet()), inFlight = mapOf("a" to 3)),
                runner("r2", held())
            )
            val plan = planner.plan(view(runners, emptyList(), mapOf("a" to 5.0)), now)
            assertEquals("r2" to "a", loads(plan).single().let { it.runner to it.model })
        }

        @Test
        fun `it gets one though a rare model waits, if a runner is left`() {
            val runners = listOf(
                runner("r1", held("a" to emptySet()), inFlight = mapOf("a" to 6)),
                runner("r2", held(), disk = setOf("c")),
                runner("r3", held(), disk = setOf("a"))
            )
            val plan = planner.plan(view(runners, listOf(demand("c")), mapOf("a" to 5.0)), now)
            assertEquals(
                setOf("r2" to "c", "r3" to "a"),
                loads(plan).map { it.runner to it.model }.toSet()
            )
        }

        @Test
        fun `a copy leaves most of the weight store's loads to models that no runner holds`() {
            val runners = listOf(
                runner("r1", held("a" to emptySet()), inFlight = mapOf("a" to 6)),
                runner("r2", held()),
                runner("r3", held())
            )
            val plan = planner.plan(view(runners, listOf(demand("c")), mapOf("a" to 5.0)), now)
            assertEquals(listOf("c"), loads(plan).map { it.model })
        }

        @Test
        fun `a cold start goes before a copy`() {
            val runners = listOf(
                runner("r1", held("a" to emptySet()), inFlight = mapOf("a" to 6)),
                runner("r2", held())
            )
            val plan = planner.plan(view(runners, listOf(demand("c")), mapOf("a" to 5.0)), now)
            assertEquals(listOf("c"), loads(plan).map { it.model })
        }
    }
}
