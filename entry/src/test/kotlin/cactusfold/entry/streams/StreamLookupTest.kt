package cactusfold.entry.streams

import cactusfold.decisions.streams.KnownStream
import cactusfold.decisions.streams.StreamLedger
import cactusfold.decisions.streams.StreamOrigin
import cactusfold.entry.process.EventLog
import cactusfold.node.time.MonotonicClock
import cactusfold.protocol.entry.StreamAnswer
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test

class StreamLookupTest {
    private val clock = MonotonicClock.SYSTEM
    private val own = OwnStreams(clock, RecordedVersions(EventLog("vm", clock, 10))) {}
    private var asked = 0

    private fun find(stored: StreamSnapshot?, outcome: StreamAnswer.Outcome?): StreamFinding =
        runBlocking {
            StreamLookup(own, { stored }, clock, { 1_000 }) {
                asked++
                outcome?.let { StreamAnswer.newBuilder().setOutcome(it).build() }
            }.find("id", clock.nowMillis() + 10_000)
        }

    // Guards against callers that wait for a report that will not come.
    @Test
    fun `a stream that is known to be uncertain is refused at once`() {
        assertEquals(StreamFinding.Uncertain, find(null, StreamAnswer.Outcome.UNCERTAIN))
        val uncertain = StreamLedger().with("id", KnownStream(null, Long.MAX_VALUE))
        assertEquals(
            StreamFinding.Uncertain,
            find(StreamSnapshot(emptyMap(), uncertain, emptyList(), 0, 0), null)
        )
        assertEquals(2, asked)
        own.began("id", null, 1_000)
        assertEquals(StreamFinding.Uncertain, find(null, null))
        assertEquals(2, asked)
    }

    // Guards against reads for each caller that returns at once when all processes were killed.
    @Test
    fun `requests that come together share the reads of the store`() = runBlocking {
        var reads = 0
        val stored = StreamSnapshot(
            emptyMap(),
            StreamLedger().with("id", KnownStream(StreamOrigin("s", "v1"), Long.MAX_VALUE)),
            emptyList(),
            0,
            0
        )
        val read: suspend () -> StreamSnapshot = {
            reads++
            delay(READ_MILLIS)
            stored
        }
        val lookup = StreamLookup(own, read, clock, { 1_000 }) { null }
        val found = List(100) { async { lookup.find("id", clock.nowMillis() + 10_000) } }.awaitAll()
        assertEquals(setOf(StreamFinding.Found(StreamOrigin("s", "v1"), "store")), found.toSet())
        assertTrue(reads <= 2, "$reads reads")
    }

    @Test
    fun `a stream that nobody knows may be reported shortly`() {
        assertEquals(StreamFinding.Unknown, find(null, StreamAnswer.Outcome.UNKNOWN))
        assertTrue(asked > 2, "asked $asked times")
    }

    private companion object {
        const val READ_MILLIS = 20L
    }
}
