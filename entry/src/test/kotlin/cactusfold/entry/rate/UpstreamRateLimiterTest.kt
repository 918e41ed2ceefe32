package cactusfold.entry.rate

import cactusfold.entry.process.EventLog
import cactusfold.entry.upstream.Upstream
import cactusfold.entry.upstream.UpstreamLimits
import cactusfold.ports.serving.StatedLimit
import cactusfold.ports.serving.UpstreamEntry
import cactusfold.protocol.entry.SendGrant
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test

class UpstreamRateLimiterTest {
    private var nowMillis = 100_000L
    private var asked = 0
    private val clock = { nowMillis }
    private val limits =
        UpstreamLimits(clock, EventLog("vm", clock, 1_000), SimpleMeterRegistry(), { true }, {}, {})
    private val upstream = Upstream(
        UpstreamEntry(
            "i-1", "s", "127.0.0.1", 1, "z", 4, false, 1, null,
            persistentMapOf(), persistentSetOf(), persistentSetOf(), "v1"
        )
    )
    private val limiter =
        UpstreamRateLimiter(GrantMember("vm", "b"), clock, limits, { FleetPlace(14, 0) }) {
            asked++
            SendGrant.newBuilder().setOutcome(SendGrant.Outcome.GRANTED).setUpstream("i-1").build()
        }

    init {
        limits.answered(upstream.start, StatedLimit.Rate(1.0), sentAtMillis = 0)
    }

    private fun permit(): SendPermit = runBlocking {
        assertIs<SendDecision.Permitted>(
            limiter.acquire(listOf(upstream), joinsQueue = true)
        ).permit
    }

    @Test
    fun `the token of a request that was not written serves the next one`() {
        limiter.release(permit())
        assertTrue(limiter.use(permit()))
        assertEquals(1, asked)
    }

    @Test
    fun `the token of a request that was written serves no other`() {
        val used = permit()
        assertTrue(limiter.use(used))
        limiter.release(used)
        permit()
        assertEquals(2, asked)
    }

    @Test
    fun `a permit is of no use after a suspension`() {
        val held = permit()
        nowMillis += 5_000
        assertFalse(limiter.use(held))
        limiter.release(held)
        permit()
        assertEquals(2, asked)
    }

    @Test
    fun `a token that was kept does not live longer than its grant`() {
        limiter.release(permit())
        nowMillis += 900
        val kept = permit()
        nowMillis += 200
        assertFalse(limiter.use(kept))
    }
}
