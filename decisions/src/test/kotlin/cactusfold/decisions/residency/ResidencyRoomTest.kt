package cactusfold.decisions.residency

import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

/** What makes way, which adapters and copies runners hold, and what is brought back unasked. */
class ResidencyRoomTest : ResidencyFixture() {
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
            val step = assertIs<ResidencyOrder.LoadAdapter>(plan.steps.single())
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
            assertEquals(
                "a" to "y",
                assertIs<ResidencyOrder.LoadAdapter>(plan.steps.first()).evicted
            )
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
