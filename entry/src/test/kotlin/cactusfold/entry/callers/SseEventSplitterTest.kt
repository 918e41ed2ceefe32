package cactusfold.entry.callers

import cactusfold.platform.standin.ScriptedUpstream
import io.vertx.core.buffer.Buffer
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

class SseEventSplitterTest {
    private val splitter = SseEventSplitter()

    private fun add(text: String): String = splitter.add(Buffer.buffer(text)).toString()

    @Nested
    inner class Pieces {
        @Test
        fun `complete events are returned at once`() {
            assertEquals("id: 1\ndata: a\n\n", add("id: 1\ndata: a\n\n"))
            assertEquals(listOf("1"), splitter.completedIds)
        }

        @Test
        fun `an event split between two pieces is returned once it is complete`() {
            assertEquals("id: 1\ndata: a\n\n", add("id: 1\ndata: a\n\nid: 2\nda"))
            assertEquals(listOf("1"), splitter.completedIds)
            assertEquals("id: 2\ndata: b\n\n", add("ta: b\n\n"))
            assertEquals(listOf("2"), splitter.completedIds)
        }

        @Test
        fun `an event boundary split between its two line breaks is recognized`() {
            assertEquals("", add("id: 1\ndata: a\n"))
            assertEquals("id: 1\ndata: a\n\n", add("\n"))
        }

        @Test
        fun `line breaks with carriage returns are recognized`() {
            assertEquals("id: 7\r\ndata: a\r\n\r\n", add("id: 7\r\ndata: a\r\n\r\n"))
            assertEquals(listOf("7"), splitter.completedIds)
        }
    }

    @Nested
    inner class OtherAnswers {
        private val head = ScriptedUpstream.answer("id: 1\ndata: x\n\n", id = "b")

        // Guards against events of another caller, from an answer that was written once more.
        @Test
        fun `events end where the head of another answer begins`() {
            assertEquals("id: 1\ndata: a\n\n", add("id: 1\ndata: a\n\n$head"))
            assertTrue(splitter.isForeign)
            assertEquals(listOf("1"), splitter.completedIds)
        }

        // As above, for any two pieces in which the bytes may arrive.
        @Test
        fun `events end there wherever the stream is cut in two`() {
            val text = "id: 1\ndata: a\n\n$head"
            for (cut in 1 until text.length) {
                val splitter = SseEventSplitter()
                var returned = splitter.add(Buffer.buffer(text.take(cut))).toString()
                if (!splitter.isForeign) {
                    returned += splitter.add(Buffer.buffer(text.drop(cut))).toString()
                }
                assertTrue(splitter.isForeign, "cut at $cut")
                assertEquals("id: 1\ndata: a\n\n", returned, "cut at $cut")
            }
        }

        @Test
        fun `data that mentions the protocol is passed on`() {
            val text = "id: 1\ndata: HTTP/1.1 200 OK\r\n\r\n"
            assertEquals(text, add(text))
        }
    }

    @Nested
    inner class AllCuts {
        private val bodies = listOf("\n", "\r\n").flatMap { end ->
            listOf(
                "id: 1${end}data: a$end${end}id: 2${end}data: b${end}data: c$end$end",
                "weight-version: 2${end}id: 1${end}data: a$end$end: comment$end${end}id: 2$end$end"
            )
        } + "id: 1\r\ndata: a\n\nid: 2\ndata: b\r\n\r\n"

        /** The ends of all blocks of [body] that an empty line ends. */
        private fun ends(body: String): List<Int> =
            Regex("\n\r?\n").findAll(body).map { it.range.last + 1 }.toList()

        private fun assertSplits(body: String, pieces: List<String>) {
            val splitter = SseEventSplitter()
            val returned = pieces.joinToString("") { splitter.add(Buffer.buffer(it)).toString() }
            val cut = pieces.joinToString("")
            val end = ends(body).lastOrNull { it <= cut.length } ?: 0
            assertEquals(cut.take(end), returned, "$pieces")
            assertEquals(cut.drop(end), splitter.partial.toString(), "$pieces")
            val events = returned.split(Regex("\n\r?\n"))
                .count { it.isNotEmpty() && !it.startsWith(":") }
            assertEquals(events, splitter.eventCount, "$pieces")
        }

        @Test
        fun `a body cut at any byte and split at any byte is returned up to its last event`() {
            for (body in bodies) {
                for (length in 0..body.length) {
                    val cut = body.take(length)
                    for (at in 0..length) assertSplits(body, listOf(cut.take(at), cut.drop(at)))
                    assertSplits(body, cut.chunked(1))
                }
            }
        }
    }

    @Nested
    inner class Ends {
        @Test
        fun `an incomplete event does not set the last event id`() {
            add("id: 3\ndata: a")
            assertEquals(emptyList(), splitter.completedIds)
            assertEquals("id: 3\ndata: a", splitter.partial.toString())
        }
    }
}
