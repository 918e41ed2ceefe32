package cactusfold.fleetmodel

import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

/** Service levels that the production planner and router keep under each pattern. */
class PatternsTest {
    private fun simulate(pattern: String, policy: Policy = Policy.PRODUCT): List<Outcome> =
        SEEDS.map { seed ->
            Simulation(Patterns.fleet, checkNotNull(Patterns.find(pattern)), policy, seed).run()
        }

    private fun served(pattern: String, policy: Policy, name: String): Double =
        simulate(pattern, policy).map { it.of(name).servedShare }.average()

    @Nested
    inner class LoadsForExpectedCallers {
        @Test
        fun `cold-start - loads for expected callers serve callers with short timeouts`() {
            val product = served("cold-start", Policy.PRODUCT, "frequent")
            val withoutForecast = served("cold-start", Policy.ONLY_WAITING, "frequent")
            assertTrue(product > withoutForecast + 0.3, "$product against $withoutForecast")
        }

        @Test
        fun `last-copies-lost - lost models are loaded again for expected callers`() {
            val product = served("last-copies-lost", Policy.PRODUCT, "frequent")
            val withoutForecast = served("last-copies-lost", Policy.ONLY_WAITING, "frequent")
            assertTrue(product > withoutForecast + 0.1, "$product against $withoutForecast")
        }
    }

    @Nested
    inner class Placement {
        @Test
        fun `burst-on-rare - a burst for one model causes at most three additional loads`() {
            val quiet = simulate("quiet").map { it.loadsBySource.values.sum() }.average()
            val burst = simulate("burst-on-rare").map { it.loadsBySource.values.sum() }.average()
            assertTrue(burst <= quiet + 3, "$burst against $quiet")
        }

        @Test
        fun `quiet - rare models cached on a disk are served within their target`() {
            assertTrue(simulate("quiet").all { it.of("rare").inTargetShare > 0.9 })
        }

        @Test
        fun `rare-models-at-once - rare ones beat oldest-out, frequent ones meet their target`() {
            val product = simulate("rare-models-at-once")
            val oldestOut = simulate("rare-models-at-once", Policy.OLDEST_OUT)
            assertTrue(
                product.map { it.of("rare").inTargetShare }.average() >
                    oldestOut.map { it.of("rare").inTargetShare }.average()
            )
            assertTrue(product.all { it.of("frequent").inTargetShare > 0.99 })
        }

        @Test
        fun `demand-moves-on - the newly requested models are loaded within seconds`() {
            assertTrue(served("demand-moves-on", Policy.PRODUCT, "frequent") > 0.98)
        }

        @Test
        fun `crash-of-a-quarter - frequent models are still served within their target`() {
            assertTrue(
                simulate("crash-of-a-quarter").all {
                    it.of("frequent").inTargetShare > 0.99
                }
            )
        }
    }

    @Nested
    inner class Routing {
        @Test
        fun `slow-runners - requests are routed to the fast runners`() {
            assertTrue(simulate("slow-runners").all { it.of("frequent").inTargetShare > 0.97 })
        }
    }

    @Nested
    inner class Refusals {
        @Test
        fun `last-copies-lost - requests that cannot be served are refused early`() {
            val unservedMillis = simulate("last-copies-lost")
                .map { it.of("frequent") }
                .map { it.unservedWaitMillis / (it.refused + it.failed).coerceAtLeast(1) }
            val target = Patterns.fleet.classes.first().targetMillis
            assertTrue(unservedMillis.average() < 2 * target, "$unservedMillis")
        }
    }

    @Nested
    inner class Repeatability {
        @Test
        fun `the same seed gives the same run`() {
            val runs = List(2) {
                simulate("retry-storm").map {
                    it.responsesByModel to
                        it.loadsBySource
                }
            }
            assertEquals(runs[0], runs[1])
        }
    }

    private companion object {
        val SEEDS = listOf(1L, 2L)
    }
}
