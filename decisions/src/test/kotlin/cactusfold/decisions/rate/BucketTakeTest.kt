package cactusfold.decisions.rate

import cactusfold.decisions.Seeds
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

class BucketTakeTest {
    private val settings = TokenGrantSettings(contactMillis = 1_000, routerSlots = 4)
    private val holder = BucketMachine(settings)
    private val limit = RateLimit(100.0, 200.0)
    private val registry = RouterRegistry(setOf("a", "b", "c", "d"), 0)

    private fun allHeard(state: BucketState, nowMillis: Long): BucketState =
        registry.routers.fold(state) { bucket, router ->
            holder.heard(bucket, router, "1", nowMillis)
        }

    /** Members report twice within the time that a contact is valid. */
    private fun heardEach(state: BucketState, times: LongRange): BucketState =
        (times step 500).fold(state) { bucket, nowMillis -> allHeard(bucket, nowMillis) }

    @Nested
    inner class Taking {
        @Test
        fun `tokens that were taken occupy none of the bucket`() {
            val full = heardEach(allHeard(holder.startFull(limit, registry, 0), 0), 0L..4_000L)
            val step = holder.take(full, "a", "1", 150, 4_000)
            assertIs<GrantResponse.Granted>(step.answer)
            val later = heardEach(step.state, 4_000L..5_500L)
            assertEquals(200.0, later.levelTokens, 0.001)
        }

        @Test
        fun `an empty bucket says when enough will be there`() {
            val state = allHeard(holder.startEmpty(limit, registry, 0.0, 0), 0)
            val wait = assertIs<GrantResponse.Wait>(holder.take(state, "a", "1", 50, 0).answer)
            assertEquals(500, wait.retryAfterMillis)
        }

        @Test
        fun `a new holder grants what the operators tolerate and no more`() {
            val state = allHeard(holder.startEmpty(limit, registry, 30.0, 0), 0)
            assertIs<GrantResponse.Granted>(holder.take(state, "a", "1", 30, 0).answer)
            assertIs<GrantResponse.Wait>(holder.take(state, "a", "1", 31, 0).answer)
        }

        @Test
        fun `all members together take at most the rate and the burst`() = Seeds.each { random ->
            var state = allHeard(holder.startFull(limit, registry, 0), 0)
            var taken = 0L
            var now = 0L
            while (now < 20_000) {
                now += random.nextLong(1, 60)
                state = allHeard(state, now)
                val router = registry.routers.random(random)
                val tokens = random.nextLong(1, 40)
                val step = holder.take(state, router, "1", tokens, now)
                state = step.state
                if (step.answer is GrantResponse.Granted) taken += tokens
                assertTrue(taken <= 200 + 100 * now / 1_000.0 + 0.001, "$taken tokens at $now ms")
            }
            assertTrue(taken > 1_500, "a member that is inside the rate is served")
        }
    }

    @Nested
    inner class Reserves {
        @Test
        fun `a member that is not heard from keeps its share of the rate`() {
            var state = holder.startEmpty(limit, registry, 0.0, 0)
            listOf("a", "b", "c").forEach { state = holder.heard(state, it, "1", 0) }
            state = holder.refill(state, 800)
            assertEquals(60.0, state.levelTokens, 0.001)
        }
    }
}
