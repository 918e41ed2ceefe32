package cactusfold.entry.streams

import cactusfold.decisions.streams.StreamOrigin
import cactusfold.entry.process.EventLog
import cactusfold.entry.rate.FleetPlace
import cactusfold.entry.rate.GrantMember
import cactusfold.entry.rate.UpstreamRateLimiter
import cactusfold.entry.upstream.NoFeed
import cactusfold.entry.upstream.Upstream
import cactusfold.entry.upstream.UpstreamDirectory
import cactusfold.entry.upstream.UpstreamLimits
import cactusfold.entry.upstream.UpstreamPolling
import cactusfold.node.time.MonotonicClock
import cactusfold.ports.serving.ReportReply
import cactusfold.ports.serving.RunnerReport
import cactusfold.ports.serving.StatedLimit
import cactusfold.ports.serving.UpstreamEntry
import cactusfold.protocol.entry.SendGrant
import cactusfold.protocol.entry.ServiceVersions
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

class StartCheckTest {
    private val clock = MonotonicClock.SYSTEM
    private val events = EventLog("vm", clock, linesPerSecond = 100)
    private val upstream = Upstream(
        UpstreamEntry(
            "r1", "s", "127.0.0.1", 1, "z", 4, false, START, null,
            persistentMapOf(), persistentSetOf(), persistentSetOf(), "v1"
        )
    )
    private val limits =
        UpstreamLimits(clock, events, SimpleMeterRegistry(), { true }, {}, {})
    private var asked = 0
    private var grant = SendGrant.newBuilder().setOutcome(SendGrant.Outcome.GRANTED)
        .setUpstream("r1").build()
    private val limiter =
        UpstreamRateLimiter(GrantMember("vm", "b"), clock, limits, { FleetPlace(14, 0) }) {
            asked++
            grant
        }
    private var reports = 0

    private fun check(scope: CoroutineScope, answer: (Int) -> Long?) = checkOf(scope) {
        answer(it)?.let(::reported) ?: ReportReply.Failed("no report")
    }

    private fun reported(start: Long): ReportReply = ReportReply.Read(
        RunnerReport(
            persistentMapOf(),
            0,
            false,
            0,
            persistentSetOf(),
            persistentSetOf(),
            start.takeIf { it > 0 }
        )
    )

    private fun checkOf(scope: CoroutineScope, reply: suspend (Int) -> ReportReply) = StartCheck(
        scope,
        UpstreamDirectory(NoFeed, clock, events, "z") { UpstreamPolling.Detached() },
        clock,
        events,
        limiter
    ) {
        reply(++reports)
    }

    private fun isRunning(answer: (Int) -> Long?): Boolean = runBlocking {
        check(this, answer).isRunning(upstream)
    }

    @Nested
    inner class Reports {
        @Test
        fun `the start that is registered runs`() = assertTrue(isRunning { START })

        @Test
        fun `another start does not count`() = assertFalse(isRunning { START + 1 })

        @Test
        fun `a report without a start does not count`() = assertFalse(isRunning { 0 })

        @Test
        fun `a report that was lost is read once more`() {
            assertTrue(isRunning { if (it == 1) null else START })
            assertFalse(isRunning { null })
        }

        // Guards against streams that are cut because their runner was silent for a second.
        @Test
        fun `a silent upstream is asked until it answers`() = runBlocking {
            val check = checkOf(this) {
                if (it > 2) return@checkOf reported(START)
                delay(REPORT_TIMEOUT_MILLIS)
                ReportReply.Silent
            }
            assertTrue(check.isRunning(upstream))
            assertEquals(3, reports)
        }

        @Test
        fun `an upstream that stays silent is given up`() = runBlocking {
            val check = checkOf(this) {
                delay(REPORT_TIMEOUT_MILLIS)
                ReportReply.Silent
            }
            val startedAtMillis = clock.nowMillis()
            assertFalse(check.isRunning(upstream))
            assertTrue(clock.nowMillis() - startedAtMillis < GIVEN_UP_MILLIS)
        }

        @Test
        fun `streams that begin together share a report`() = runBlocking {
            coroutineScope {
                val check = check(this) { START }
                val results = List(5) { check.checkSoon(upstream) }.awaitAll()
                assertEquals(List(5) { true }, results)
                assertEquals(1, reports)
                assertTrue(check.checkSoon(upstream).await())
                assertEquals(2, reports)
            }
        }
    }

    @Nested
    inner class Limits {
        init {
            limits.answered(upstream.start, StatedLimit.Rate(1.0), sentAtMillis = 0)
        }

        @Test
        fun `each report takes a token of a limited upstream`() {
            assertTrue(isRunning { if (it == 1) null else START })
            assertEquals(2, asked)
        }

        @Test
        fun `without a token in time no report is read`() {
            grant = SendGrant.newBuilder().setOutcome(SendGrant.Outcome.WAIT)
                .setRetryAfterMillis(10_000).build()
            assertFalse(isRunning { START })
            assertEquals(0, reports)
        }

        @Test
        fun `streams that begin during the wait for a token share the report`() = runBlocking {
            val granted = grant
            grant = SendGrant.newBuilder().setOutcome(SendGrant.Outcome.WAIT)
                .setRetryAfterMillis(300).build()
            coroutineScope {
                val check = check(this) { START }
                val first = check.checkSoon(upstream)
                delay(200)
                val second = check.checkSoon(upstream)
                grant = granted
                assertTrue(first.await() && second.await())
            }
            assertEquals(1, reports)
        }
    }

    @Nested
    inner class Bindings {
        private val origin = StreamOrigin("s", "v1")
        private val versions = RecordedVersions(events).apply {
            heard(ServiceVersions.newBuilder().setService("s").addSoftwareVersions("v1").build())
        }
        private val own = OwnStreams({ 0 }, versions) {}

        /** Returns the origin that a resumption finds while the check runs. */
        private fun bind(start: Long?): StreamOrigin? = runBlocking {
            coroutineScope {
                val lookup = StreamLookup(own, { null }, { 0 }, { 0 }) { null }
                val starts = check(this) { start }
                val bindings = StreamBindings(this, versions, own, lookup, starts) { 1_000 }
                bindings.bind("id", origin, upstream)
                (lookup.find("id", 0) as? StreamFinding.Found)?.origin
            }
        }

        @Test
        fun `a stream is known once its start is certain`() {
            assertEquals(origin, bind(START))
            assertEquals(emptyList(), own.takeUnsent())
        }

        // Guards against another process that takes the only version it knows for that of the
        // stream.
        @Test
        fun `a stream of uncertain start is unknown, which is reported`() {
            assertNull(bind(START + 1))
            val reported = own.takeUnsent().single()
            assertEquals("id", reported.id)
            assertNull(reported.origin)
        }
    }

    private companion object {
        const val START = 1_000L
        const val REPORT_TIMEOUT_MILLIS = 500L
        const val GIVEN_UP_MILLIS = 6_000L
    }
}
