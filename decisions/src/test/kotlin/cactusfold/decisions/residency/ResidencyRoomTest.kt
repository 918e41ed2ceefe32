package cactusfold.decisions.residency

import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

/** Tests evictions, adapter loads, preloads and additional replicas of the planner. */
class ResidencyRoomTest : ResidencyFixture() {
    @Nested
    inner class Eviction {
        private val full = held("d" to emptySet(), "e" to emptySet(), "f" to emptySet())

        @Test
        fun `a model with other replicas is evicted first`() {
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
        fun `a model that can be reloaded from disk is evicted before one that cannot`() {
            val runners = listOf(runner("r1", full, disk = setOf("f")))
            val plan = planner.plan(view(runners, listOf(demand("c"))), now)
            assertEquals(listOf("f"), loads(plan).single().evicted)
        }

        @Test
        fun `a model in use is not evicted`() {
            val inFlight = mapOf("d" to 1, "e" to 1, "f" to 1)
            val plan = planner.plan(
                view(listOf(runner("r1", full, inFlight = inFlight)), listOf(demand("c"))),
                now
            )
            assertEquals(emptyList(), plan.steps)
        }

        @Test
        fun `a model without demand is evicted before one with demand`() {
            val rates = mapOf("d" to 3.0, "f" to 2.0)
            val plan = planner.plan(
                view(listOf(runner("r1", full)), listOf(demand("c")), rates),
                now
            )
            assertEquals(listOf("e"), loads(plan).single().evicted)
        }

        @Test
        fun `an unconfigured model counts as filling the runner`() {
            val odd = runner("r1", held("gone-from-config" to emptySet()))
            val plan = planner.plan(view(listOf(odd), listOf(demand("c"))), now)
            val load = loads(plan).single()
            assertEquals(listOf("gone-from-config"), load.evicted)
        }
    }

    @Nested
    inner class Adapters {
        @Test
        fun `an adapter is loaded on a runner with a free adapter slot`() {
            val runners = listOf(
                runner("r1", held("a" to setOf("x", "y"))),
                runner("r2", held("a" to setOf("x")))
            )
            val plan = planner.plan(view(runners, listOf(demand("a", adapter = "z"))), now)
            val step = assertIs<ResidencyOrder.LoadAdapter>(plan.steps.single())
            assertEquals("r2", step.runner)
            assertNull(step.evicted)
        }

        @Test
        fun `the longest idle adapter is evicted, never one just used`() {
            val runners = listOf(runner("r1", held("a" to setOf("x", "y"))))
            val used = mapOf("r1" to mapOf(("a" to "x") to now - 100, ("a" to "y") to now - 5_000))
            val plan = planner.plan(
                view(runners, listOf(demand("a", adapter = "z")), used = used),
                now
            )
            assertEquals(
                "a" to "y",
                assertIs<ResidencyOrder.LoadAdapter>(plan.steps.first()).evicted
            )
        }

        // Guards against an adapter too many on a runner that has to unload more than one.
        @Test
        fun `a runner over its adapter slots gets no adapter`() {
            val runners = listOf(runner("r1", held("a" to setOf("x", "y", "w"))))
            val plan = planner.plan(view(runners, listOf(demand("a", adapter = "z"))), now)
            assertEquals(emptyList(), plan.steps.filterIsInstance<ResidencyOrder.LoadAdapter>())
        }

        @Test
        fun `a long load avoids runners that need adapter loads`() {
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
        fun `a model out of adapter slots gets another replica`() {
            val runners = listOf(runner("r1", held("a" to setOf("x", "y"))), runner("r2", held()))
            val demands = listOf(demand("a", adapter = "z"))
            val plan = planner.plan(view(runners, demands, mapOf("a" to 2.0)), now)
            assertTrue(loads(plan).any { it.runner == "r2" && it.model == "a" })
        }
    }

    @Nested
    inner class Preloading {
        private val full = held("d" to emptySet(), "e" to emptySet(), "f" to emptySet())
        private val disk = setOf("a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l")

        @Test
        fun `the last replica of a model with long-term demand is not evicted`() {
            val runners = listOf(runner("r1", full, disk = disk))
            val view = view(
                runners,
                listOf(demand("c")),
                longTermRates = mapOf(
                    "d" to 2.0,
                    "f" to 1.0
                )
            )
            assertEquals(listOf("e"), loads(planner.plan(view, now)).single().evicted)
        }

        @Test
        fun `a model with many adapters is preloaded without demand`() {
            val plan = planner.plan(view(listOf(runner("r1", full, disk = disk)), emptyList()), now)
            assertEquals("a", loads(plan).single().model)
        }

        @Test
        fun `nothing is preloaded while runners are still registering`() {
            val runners = listOf(runner("r1", full, disk = disk))
            val plan = planner.plan(view(runners, emptyList(), joinedAgoMillis = 500), now)
            assertEquals(emptyList(), plan.steps)
        }

        @Test
        fun `a model no more likely than the one to evict is not preloaded`() {
            val held = held("a" to emptySet(), "e" to emptySet(), "f" to emptySet())
            val plan = planner.plan(view(listOf(runner("r1", held, disk = disk)), emptyList()), now)
            assertEquals(emptyList(), plan.steps)
        }
    }

    @Nested
    inner class Replicas {
        @Test
        fun `a model whose runners are busy gets another replica`() {
            val runners = listOf(
                runner("r1", held("a" to emptySet()), inFlight = mapOf("a" to 3)),
                runner("r2", held())
            )
            val plan = planner.plan(view(runners, emptyList(), mapOf("a" to 5.0)), now)
            assertEquals("r2" to "a", loads(plan).single().let { it.runner to it.model })
        }

        @Test
        fun `a replica is added beside a cold start if a runner is free`() {
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
        fun `replicas leave most of the weight store's loads to cold starts`() {
            val runners = listOf(
                runner("r1", held("a" to emptySet()), inFlight = mapOf("a" to 6)),
                runner("r2", held()),
                runner("r3", held())
            )
            val plan = planner.plan(view(runners, listOf(demand("c")), mapOf("a" to 5.0)), now)
            assertEquals(listOf("c"), loads(plan).map { it.model })
        }

        @Test
        fun `a cold start goes before another replica`() {
            val runners = listOf(
                runner("r1", held("a" to emptySet()), inFlight = mapOf("a" to 6)),
                runner("r2", held())
            )
            val plan = planner.plan(view(runners, listOf(demand("c")), mapOf("a" to 5.0)), now)
            assertEquals(listOf("c"), loads(plan).map { it.model })
        }
    }
}
