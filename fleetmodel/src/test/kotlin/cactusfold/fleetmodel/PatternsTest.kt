package cactusfold.fleetmodel

import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

/** Loads and failures that the product's decisions have an answer to, each by its pattern's name. */
class PatternsTest {
    private fun play(pattern: String, policy: Policy = Policy.PRODUCT): List<Outcome> =
        SEEDS.map { seed ->
            Simulation(Patterns.fleet, checkNotNull(Patterns.find(pattern)), policy, seed).run()
        }

    private fun served(pattern: String, policy: Policy, name: String): Double =
        play(pattern, policy).map { it.of(name).servedShare }.average()

    @Nested
    inner class LoadsForCallersToCome {
        @Test
        fun `cold-start - impatient callers are served soon after all runners began empty`() {
            val product = served("cold-start", Policy.PRODUCT, "frequent")
            val blind = served("cold-start", Policy.ONLY_WAITING, "frequent")
            assertTrue(product > blind + 0.3, "$product against $blind")
        }

        @Test
        fun `last-copies-lost - a model that crashed away is brought back for later callers`() {
            val product = served("last-copies-lost", Policy.PRODUCT, "frequent")
            val blind = served("last-copies-lost", Policy.ONLY_WAITING, "frequent")
            assertTrue(product > blind + 0.1, "$product against $blind")
        }
    }

    @Nested
    inner class Placement {
        @Test
        fun `burst-on-rare - a burst for one model costs few loads more than a quiet time`() {
            val quiet = play("quiet").map { it.loadsBySource.values.sum() }.average()
            val burst = play("burst-on-rare").map { it.loadsBySource.values.sum() }.average()
            assertTrue(burst <= quiet + 3, "$burst against $quiet")
        }

        @Test
        fun `quiet - rare models that lie on some disk are served within their target`() {
            assertTrue(play("quiet").all { it.of("rare").inTargetShare > 0.9 })
        }

        @Test
        fun `rare-models-at-once - most rare models are served in time, frequent ones as ever`() {
            val product = play("rare-models-at-once")
            val oldestOut = play("rare-models-at-once", Policy.OLDEST_OUT)
            assertTrue(
                product.map { it.of("rare").inTargetShare }.average() >
                    oldestOut.map { it.of("rare").inTargetShare }.average()
            )
            assertTrue(product.all { it.of("frequent").inTargetShare > 0.99 })
        }

        @Test
        fun `demand-moves-on - the new models of a frequent class are held within seconds`() {
            assertTrue(served("demand-moves-on", Policy.PRODUCT, "frequent") > 0.98)
        }

        @Test
        fun `crash-of-a-quarter - callers of frequent models notice nothing`() {
            assertTrue(play("crash-of-a-quarter").all { it.of("frequent").inTargetShare > 0.99 })
        }
    }

    @Nested
    inner class Routing {
        @Test
        fun `slow-runners - requests go to the others`() {
            assertTrue(play("slow-runners").all { it.of("frequent").inTargetShare > 0.97 })
        }
    }

    @Nested
    inner class Refusals {
        @Test
        fun `last-copies-lost - who can't be served is told at once, not held`() {
            val heldMillis = play("last-copies-lost")
                .map { it.of("frequent") }
                .map { it.waitedInVainMillis / (it.refused + it.failed).coerceAtLeast(1) }
            val target = Patterns.fleet.classes.first().targetMillis
            assertTrue(heldMillis.average() < 2 * target, "$heldMillis")
        }
    }

    @Nested
    inner class Repeatability {
        @Test
        fun `the same seed gives the same run`() {
            val runs = List(2) { play("retry-storm").map { it.servedByModel to it.loadsBySource } }
            assertEquals(runs[0], runs[1])
        }
    }

    private companion object {
        val SEEDS = listOf(1L, 2L)
    }
}
