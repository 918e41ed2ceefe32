package cactusfold.decisions.rate

import cactusfold.seeds.Seeds
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

class BucketTakeTest {
    private val settings = TokenGrantSettings(contactMillis = 1_000, routerSlots = 4)
    private val machine = BucketMachine(settings)
    private val limit = RateLimit(100.0, 200.0)
    private val registry = RouterRegistry(setOf("a", "b", "c", "d"), 0)

    private fun contactAll(state: BucketState, nowMillis: Long): BucketState =
        registry.routers.fold(state) { bucket, router ->
            machine.heard(bucket, router, "1", nowMillis)
        }

    /** Lets all routers report every 500 ms, twice per contact timeout. */
    private fun keepContacts(state: BucketState, times: LongRange): BucketState =
        (times step 500).fold(state) { bucket, nowMillis -> contactAll(bucket, nowMillis) }

    @Nested
    inner class Taking {
        @Test
        fun `taken tokens do not occupy the capacity of the bucket`() {
            val full =
                keepContacts(contactAll(machine.startFull(limit, registry, 0), 0), 0L..4_000L)
            val step = machine.take(full, "a", "1", 150, 4_000)
            assertIs<GrantResponse.Granted>(step.answer)
            val later = keepContacts(step.state, 4_000L..5_500L)
            assertEquals(200.0, later.levelTokens, 0.001)
        }

        @Test
        fun `an empty bucket reports when enough tokens will be available`() {
            val state = contactAll(machine.startEmpty(limit, registry, 0.0, 0), 0)
            val wait = assertIs<GrantResponse.Wait>(machine.take(state, "a", "1", 50, 0).answer)
            assertEquals(500, wait.retryAfterMillis)
        }

        @Test
        fun `a new holder grants the tolerated tokens and no more`() {
            val state = contactAll(machine.startEmpty(limit, registry, 30.0, 0), 0)
            assertIs<GrantResponse.Granted>(machine.take(state, "a", "1", 30, 0).answer)
            assertIs<GrantResponse.Wait>(machine.take(state, "a", "1", 31, 0).answer)
        }

        @Test
        fun `all routers together take at most the rate and the burst`() = Seeds.each { random ->
            var state = contactAll(machine.startFull(limit, registry, 0), 0)
            var taken = 0L
            var now = 0L
            while (now < 20_000) {
                now += random.nextLong(1, 60)
                state = contactAll(state, now)
                val router = registry.routers.random(random)
                val tokens = random.nextLong(1, 40)
                val step = machine.take(state, router, "1", tokens, now)
                state = step.state
                if (step.answer is GrantResponse.Granted) taken += tokens
                assertTrue(taken <= 200 + 100 * now / 1_000.0 + 0.001, "$taken tokens at $now ms")
            }
            assertTrue(taken > 1_500, "only $taken tokens were taken")
        }
    }

    @Nested
    inner class Reserves {
        @Test
        fun `the reserve of a router out of contact is set aside`() {
            var state = machine.startEmpty(limit, registry, 0.0, 0)
            listOf("a", "b", "c").forEach { state = machine.heard(state, it, "1", 0) }
            state = machine.refill(state, 800)
            assertEquals(60.0, state.levelTokens, 0.001)
        }
    }
}
