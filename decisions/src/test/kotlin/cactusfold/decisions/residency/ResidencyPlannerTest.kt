package cactusfold.decisions.residency

import kotlin.test.assertEquals
import kotlinx.collections.immutable.persistentSetOf
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

class ResidencyPlannerTest : ResidencyFixture() {
    @Nested
    inner class ColdStarts {
        @Test
        fun `a model is loaded on the runner with the fastest weight source`() {
            val runners = listOf(runner("r1", held()), runner("r2", held(), disk = setOf("c")))
            val load = loads(planner.plan(view(runners, listOf(demand("c"))), now)).single()
            assertEquals("r2" to WeightSource.DISK, load.runner to load.source)
        }

        @Test
        fun `a burst of requests for one model causes one load`() {
            val runners = listOf(runner("r1", held()), runner("r2", held()))
            val demands = listOf(demand("c", waiting = 20), demand("c", waiting = 3))
            assertEquals(1, loads(planner.plan(view(runners, demands), now)).size)
        }

        @Test
        fun `a load that meets its target goes before one that does not`() {
            val runners = listOf(runner("r1", held(), disk = setOf("d")))
            val demands = listOf(demand("c", waiting = 4), demand("d"))
            assertEquals("d", loads(planner.plan(view(runners, demands), now)).single().model)
        }

        @Test
        fun `a runner with the weights that is soon free is preferred to the store`() {
            val busy = runner("r1", held(), disk = setOf("c"))
                .copy(isBusy = true, loading = "b", loadedAtMillis = now + 1_500)
            val view = view(listOf(busy, runner("r2", held())), listOf(demand("c")))
            val plan = planner.plan(view, now)
            assertEquals(emptyList(), plan.steps)
            assertEquals(now + 1_500 + 2_000 + 300, plan.readyAtMillis["c"])
        }

        @Test
        fun `weights on a full runner do not prevent a load on another runner`() {
            val full = held("d" to emptySet(), "e" to emptySet(), "f" to emptySet())
            val used = mapOf("d" to 1, "e" to 1, "f" to 1)
            val runners =
                listOf(runner("r1", full, setOf("c"), inFlight = used), runner("r2", held()))
            val load = loads(planner.plan(view(runners, listOf(demand("c"))), now)).single()
            assertEquals("r2" to WeightSource.STORE, load.runner to load.source)
        }

        @Test
        fun `many callers past their target go before one caller within it`() {
            val runners = listOf(runner("r1", held(), disk = setOf("c", "d")))
            val demands = listOf(
                demand("c", waiting = 9).copy(targetAtMillis = now + 1_000),
                demand("d")
            )
            assertEquals("c", loads(planner.plan(view(runners, demands), now)).single().model)
        }

        @Test
        fun `concurrent loads from the store stay within the limit`() {
            val runners = List(5) { runner("r$it", held()) }
            val demands = listOf("c", "d", "e", "f").map { demand(it) }
            assertEquals(2, loads(planner.plan(view(runners, demands), now)).size)
        }

        @Test
        fun `no load from the store starts when its rate window is used up`() {
            val runners = List(3) { runner("r$it", held()) }
            val plan = planner.plan(view(runners, listOf(demand("c")), storeLoads = 0), now)
            assertEquals(emptyList(), loads(plan))
        }

        @Test
        fun `a model refused several times goes before one not refused yet`() {
            val runners = listOf(runner("r1", held()))
            val demands = listOf(demand("c", waiting = 2), demand("d").copy(refusedSinceLoad = 3))
            assertEquals("d", loads(planner.plan(view(runners, demands), now)).single().model)
        }

        @Test
        fun `requests whose deadline no load can meet are refused immediately`() {
            val runners = listOf(runner("r1", held()))
            val plan = planner.plan(
                view(runners, listOf(demand("c", deadlineInMillis = 5_000))),
                now
            )
            assertEquals(emptyList(), plan.steps)
            assertEquals(listOf("c"), plan.tooLate)
        }
    }

    /** Deadlines of 4 s, where a load from the weight store takes 9 s. */
    @Nested
    inner class ShortDeadlines {
        private val impatient = demand("c", deadlineInMillis = 4_000)

        @Test
        fun `a model in high demand is loaded for later callers`() {
            val view = view(
                listOf(runner("r1", held())),
                listOf(impatient),
                longTermRates = mapOf(
                    "c" to 2.0
                )
            )
            val plan = planner.plan(view, now)
            assertEquals("c", loads(plan).single().model)
            assertEquals(listOf("c"), plan.tooLate, "waiting callers are refused immediately")
            assertEquals(now + 9_300, plan.readyAtMillis["c"], "and the retry time is known")
        }

        @Test
        fun `a model in low demand is loaded after several refusals`() {
            val demands = listOf(impatient.copy(refusedSinceLoad = 3))
            val plan = planner.plan(view(listOf(runner("r1", held())), demands), now)
            assertEquals("c", loads(plan).single().model)
        }

        @Test
        fun `the overhead of a load counts towards the deadline`() {
            val runners = listOf(runner("r1", held(), disk = setOf("c")))
            val demands = listOf(demand("c", deadlineInMillis = 2_200))
            assertEquals(listOf("c"), planner.plan(view(runners, demands), now).tooLate)
        }

        @Test
        fun `a model in higher demand is not evicted`() {
            val full = held("d" to emptySet(), "e" to emptySet(), "f" to emptySet())
            val longTermRates = mapOf("c" to 2.0, "d" to 9.0, "e" to 9.0, "f" to 9.0)
            val view =
                view(listOf(runner("r1", full)), listOf(impatient), longTermRates = longTermRates)
            assertEquals(emptyList(), loads(planner.plan(view, now)))
        }

        @Test
        fun `the model in highest demand is loaded first`() {
            val demands = listOf(demand("d", deadlineInMillis = 4_000), impatient)
            val longTermRates = mapOf("c" to 9.0, "d" to 2.0)
            val view = view(listOf(runner("r1", held())), demands, longTermRates = longTermRates)
            assertEquals("c", loads(planner.plan(view, now)).single().model)
        }
    }

    /** Forecast ready times, with two concurrent loads of 9 s from the store. */
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
        fun `queued models wait for the weight store in turn`() {
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
        fun `requests whose deadline is before the forecast are refused immediately`() {
            val runners = listOf(loading("r1", "a", 4_300), loading("r2", "b", 8_300))
            val demands = listOf(
                demand("c", waiting = 3, deadlineInMillis = 16_000),
                demand("d", deadlineInMillis = 16_000)
            )
            assertEquals(listOf("d"), planner.plan(view(runners, demands), now).tooLate)
        }

        @Test
        fun `the forecast uses a busy runner that has the weights on disk if that is sooner`() {
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
        fun `busy runners are reported`() {
            val busy = runner("r1", held()).copy(isBusy = true)
            assertEquals(Obstacle.RUNNERS_BUSY, obstacle(view(listOf(busy), listOf(demand("c")))))
        }

        @Test
        fun `the weight store's limit is reported`() {
            val view = view(listOf(runner("r1", held())), listOf(demand("c")), storeLoads = 0)
            assertEquals(Obstacle.STORE_LIMIT, obstacle(view))
        }

        @Test
        fun `memory in use is reported`() {
            val full = held("d" to emptySet(), "e" to emptySet(), "f" to emptySet())
            val used = mapOf("d" to 1, "e" to 1, "f" to 1)
            val view = view(listOf(runner("r1", full, inFlight = used)), listOf(demand("c")))
            assertEquals(Obstacle.NO_ROOM, obstacle(view))
        }

        @Test
        fun `a deadline before the end of the load is reported`() {
            val demands = listOf(demand("c", deadlineInMillis = 4_000))
            assertEquals(Obstacle.TOO_LATE, obstacle(view(listOf(runner("r1", held())), demands)))
        }

        @Test
        fun `an adapter waiting for another order of its runner is reported`() {
            val busy = runner("r1", held("a" to emptySet())).copy(isBusy = true)
            val view = view(listOf(busy), listOf(demand("a", adapter = "x")))
            assertEquals(
                listOf(BlockedDemand("a", "x", Obstacle.RUNNERS_BUSY)),
                planner.plan(view, now).blocked
            )
        }
    }

    @Nested
    inner class LimitedRunners {
        /** Returns the loads of the model, and not those of models without any requests. */
        private fun plan(vararg runners: RunnerState, perSecond: Double = 5.0) =
            loads(planner.plan(view(runners.toList(), emptyList(), mapOf("c" to perSecond)), now))
                .filter { it.model == "c" }

        private fun limited(id: String) =
            runner(id, held("c" to emptySet())).copy(requestsPerSecond = 1.0)

        // Guards against callers that are refused although another runner could serve the model.
        @Test
        fun `a model gets a replica if its only runner accepts fewer requests than arrive`() {
            val load = plan(limited("r1"), runner("r2", held(), disk = setOf("c"))).single()
            assertEquals("r2" to "c", load.runner to load.model)
        }

        @Test
        fun `a limit that is not reached adds no replica`() {
            val other = runner("r2", held(), disk = setOf("c"))
            assertEquals(emptyList(), plan(limited("r1"), other, perSecond = 0.5))
        }

        @Test
        fun `a replica on a runner without a limit is enough`() {
            val unlimited = runner("r2", held("c" to emptySet()))
            val other = runner("r3", held(), disk = setOf("c"))
            assertEquals(emptyList(), plan(limited("r1"), unlimited, other))
        }

        // Guards against two loads of a model that no runner has, since its first load is pending.
        @Test
        fun `a model that is loaded for the first time gets no second replica`() {
            val runners = listOf("r1", "r2").map { runner(it, held(), disk = setOf("c")) }
            val view = view(runners, listOf(demand("c")), mapOf("c" to 5.0))
            assertEquals(1, loads(planner.plan(view, now)).count { it.model == "c" })
        }

        @Test
        fun `a replica is not added on a runner that is limited too`() {
            val other = runner("r2", held(), disk = setOf("c")).copy(requestsPerSecond = 1.0)
            assertEquals(emptyList(), plan(limited("r1"), other))
        }
    }
}
