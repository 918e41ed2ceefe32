package cactusfold.entry.rate

import cactusfold.decisions.rate.UpstreamStart
import cactusfold.entry.process.EventLog
import cactusfold.entry.upstream.UpstreamLimits
import cactusfold.protocol.entry.SendGrant
import cactusfold.protocol.entry.SendRequest
import cactusfold.protocol.entry.UpstreamLimit
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlin.test.assertEquals
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

class SendGrantsTest {
    private var nowMillis = 100_000L
    private val clock = { nowMillis }
    private val limits = UpstreamLimits(
        clock,
        EventLog("vm", clock, 1_000),
        SimpleMeterRegistry(),
        { true },
        { buckets.configured() },
        {}
    )
    private val buckets: FleetTokenBuckets = FleetTokenBuckets(
        clock,
        RateTolerance(8_000, 0.1, 0.0),
        FleetLimits({ null }, limits)
    )
    private val grants = SendGrants(buckets, limits)

    init {
        buckets.start(fence = 2)
        pass(0)
    }

    /** Passes time while the member stays in contact. */
    private fun pass(millis: Long) {
        for (step in 0 until millis step CONTACT_STEP_MILLIS) {
            nowMillis += minOf(CONTACT_STEP_MILLIS, millis - step)
            buckets.registered(setOf("vm1"), nowMillis)
            buckets.heard("vm1", "b")
        }
        buckets.registered(setOf("vm1"), nowMillis)
    }

    private fun limit(
        upstream: String,
        perSecond: Double?,
        startedAt: Long = 1,
        ageMillis: Long = 0
    ) = UpstreamLimit.newBuilder().setUpstream(upstream).setStartedAtEpochMillis(startedAt)
        .setAgeMillis(ageMillis).apply { perSecond?.let(::setRequestsPerSecond) }.build()

    private fun ask(vararg candidates: UpstreamLimit, joinsQueue: Boolean = true): SendGrant =
        grants.ask(
            SendRequest.newBuilder().setVm("vm1").setBoot("b")
                .addAllCandidates(candidates.toList()).setJoinsQueue(joinsQueue).build()
        )

    private fun grantsAtOnce(vararg candidates: UpstreamLimit): List<String> =
        generateSequence { ask(*candidates).takeIf { it.outcome == SendGrant.Outcome.GRANTED } }
            .map { it.upstream }.take(100).toList()

    @Nested
    inner class Grants {
        @Test
        fun `a new coordinator learns the limit from the request and starts empty`() {
            assertEquals(SendGrant.Outcome.WAIT, ask(limit("i-1", 2.0)).outcome)
            assertEquals(2.0, limits.find(UpstreamStart("i-1", 1))?.rateTokensPerSecond)
        }

        @Test
        fun `a second's worth of requests and one more may be sent at once`() {
            ask(limit("i-1", 2.0), joinsQueue = false)
            pass(60_000)
            assertEquals(List(3) { "i-1" }, grantsAtOnce(limit("i-1", 2.0)))
        }

        @Test
        fun `another candidate is granted when the preferred one has no token`() {
            val both = arrayOf(limit("i-1", 1.0), limit("i-2", 1.0))
            ask(*both, joinsQueue = false)
            pass(1_000)
            assertEquals(listOf("i-1", "i-2"), grantsAtOnce(*both))
        }

        @Test
        fun `an upstream that wants no requests gets one every ten seconds`() {
            ask(limit("i-1", 0.0), joinsQueue = false)
            pass(9_900)
            assertEquals(emptyList(), grantsAtOnce(limit("i-1", 0.0)))
            pass(200)
            assertEquals(listOf("i-1"), grantsAtOnce(limit("i-1", 0.0)))
        }

        @Test
        fun `a limit that has ended is not applied, although a member has not heard so`() {
            limits.heard(limit("i-1", null), "vm2")
            val stale = limit("i-1", 1.0, ageMillis = 500)
            assertEquals(SendGrant.Outcome.GRANTED, ask(stale).outcome)
        }

        @Test
        fun `another start of an upstream has no limit`() {
            ask(limit("i-1", 1.0, startedAt = 1))
            assertEquals(null, limits.find(UpstreamStart("i-1", 2)))
        }

        @Test
        fun `orders count towards the limit`() {
            ask(limit("i-1", 1.0), joinsQueue = false)
            pass(1_000)
            buckets.charge(RateSubject.Upstream(UpstreamStart("i-1", 1)))
            assertEquals(emptyList(), grantsAtOnce(limit("i-1", 1.0)))
        }
    }

    @Nested
    inner class Waits {
        @Test
        fun `requests refused one after the other are told to come back one after the other`() {
            val waits = List(3) { ask(limit("i-1", 2.0)).retryAfterMillis }
            assertEquals(listOf(500L, 1_000L, 1_500L), waits)
        }

        @Test
        fun `the limits of all candidates count together`() {
            val both = arrayOf(limit("i-1", 1.0), limit("i-2", 3.0))
            assertEquals(listOf(250L, 500L), List(2) { ask(*both).retryAfterMillis })
        }

        @Test
        fun `a request that has waited does not delay others again`() {
            ask(limit("i-1", 2.0))
            repeat(5) { ask(limit("i-1", 2.0), joinsQueue = false) }
            assertEquals(1_000, ask(limit("i-1", 2.0)).retryAfterMillis)
        }

        // Guards against tokens that nobody uses, since requests that moved on count as waiting.
        @Test
        fun `a request that can move on is told when the next token is there`() {
            repeat(5) { ask(limit("i-1", 2.0)) }
            assertEquals(500, ask(limit("i-1", 2.0), joinsQueue = false).retryAfterMillis)
        }

        @Test
        fun `times that have passed delay nobody`() {
            repeat(4) { ask(limit("i-1", 2.0)) }
            pass(2_000)
            assertEquals(SendGrant.Outcome.GRANTED, ask(limit("i-1", 2.0)).outcome)
        }
    }

    private companion object {
        /** Less than the time for which the coordinator relies on a contact. */
        const val CONTACT_STEP_MILLIS = 400L
    }
}
