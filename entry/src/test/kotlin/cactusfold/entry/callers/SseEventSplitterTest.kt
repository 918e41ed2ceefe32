package cactusfold.entry.callers

import io.vertx.core.buffer.Buffer
import kotlin.test.assertEquals
import kotlin.test.assertNull
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
            assertEquals("1", splitter.lastEventId)
        }

        @Test
        fun `an event split between two pieces is returned once it is complete`() {
            assertEquals("id: 1\ndata: a\n\n", add("id: 1\ndata: a\n\nid: 2\nda"))
            assertEquals("1", splitter.lastEventId)
            assertEquals("id: 2\ndata: b\n\n", add("ta: b\n\n"))
            assertEquals("2", splitter.lastEventId)
        }

        @Test
        fun `an event boundary split between its two line breaks is recognized`() {
            assertEquals("", add("id: 1\ndata: a\n"))
            assertEquals("id: 1\ndata: a\n\n", add("\n"))
        }

        @Test
        fun `line breaks with carriage returns are recognized`() {
            assertEquals("id: 7\r\ndata: a\r\n\r\n", add("id: 7\r\ndata: a\r\n\r\n"))
            assertEquals("7", splitter.lastEventId)
        }
    }

    @Nested
    inner class Ends {
        @Test
        fun `an incomplete event does not set the last event id`() {
            add("id: 3\ndata: a")
            assertNull(splitter.lastEventId)
            assertEquals("id: 3\ndata: a", splitter.partial.toString())
        }
    }
}
