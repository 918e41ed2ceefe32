package cactusfold.entry.streams

import cactusfold.decisions.streams.StreamOrigin
import cactusfold.entry.process.EventLog
import cactusfold.entry.upstream.NoFeed
import cactusfold.entry.upstream.UpstreamDirectory
import cactusfold.entry.upstream.UpstreamPolling
import cactusfold.ports.serving.RunnerReport
import cactusfold.ports.serving.UpstreamEntry
import cactusfold.protocol.entry.ServiceVersions
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

class StartCheckTest {
    private val events = EventLog("vm", { 0 }, linesPerSecond = 100)
    private val upstream = UpstreamEntry(
        "r1", "s", "127.0.0.1", 1, "z", 4, false, START, null,
        persistentMapOf(), persistentSetOf(), persistentSetOf(), "v1"
    )
    private var reports = 0

    private fun check(scope: CoroutineScope, answer: (Int) -> Long?) = StartCheck(
        scope,
        UpstreamDirectory(NoFeed, { 0 }, events, "z") { UpstreamPolling.Detached },
        events
    ) {
        answer(++reports)?.let {
            RunnerReport(
                persistentMapOf(),
                0,
                false,
                0,
                persistentSetOf(),
                persistentSetOf(),
                it.takeIf { start -> start > 0 }
            )
        }
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
                (lookup.find("id", "s", 0) as? StreamFinding.Found)?.origin
            }
        }

        @Test
        fun `a stream is known once its start is certain`() {
            assertEquals(origin, bind(START))
            assertEquals(emptyList(), own.takeUnsent())
        }

        // Guards against another process that takes the only version it knows for that of the stream.
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
    }
}
