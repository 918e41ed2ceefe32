package cactusfold.entry.path

import cactusfold.platform.standin.AnswerEnd
import cactusfold.platform.standin.AnswerFraming
import cactusfold.platform.standin.RawAnswer
import cactusfold.platform.standin.RunnerStandin
import java.io.IOException
import java.net.http.HttpResponse
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

/** Answers of upstreams with each framing that HTTP/1 allows, whole and broken off. */
class AnswerFramingTest {
    private lateinit var fixture: EntryFixture
    private lateinit var first: RunnerStandin
    private lateinit var second: RunnerStandin
    private lateinit var desk: RunnerStandin

    @BeforeEach
    fun start() {
        fixture = EntryFixture()
        first = fixture.runner("i-1", "engine", setOf("warm"))
        second = fixture.runner("i-2", "engine", setOf("warm"))
        desk = fixture.runner("i-3", "desk")
        fixture.start()
    }

    @AfterEach
    fun stop() = fixture.close()

    private val stream = (1..RunnerStandin.EVENTS).joinToString("") {
        "id: $it\ndata: piece $it\n\n"
    }

    private fun plain(answer: RawAnswer): HttpResponse<String> {
        desk.rawAnswer = answer
        return fixture.caller.call("/book/x")
    }

    private fun assertPlainIsWhole(answer: RawAnswer): Unit = repeat(CALLS) {
        val received = plain(answer)
        val expected = 200 to desk.plainBody
        assertEquals(expected, received.statusCode() to received.body(), "$answer")
        assertDelimited(received)
    }

    private fun assertPlainIsBroken(answer: RawAnswer): Unit = repeat(CALLS) {
        val received = plain(answer)
        val expected = 502 to "upstream-failed\n"
        assertEquals(expected, received.statusCode() to received.body(), "$answer")
    }

    private fun assertStreamIsWhole(answer: RawAnswer): Unit = repeat(CALLS) {
        listOf(first, second).forEach { it.rawAnswer = answer }
        val received = fixture.caller.call("/once/x", model = "warm")
        assertEquals(200 to stream, received.statusCode() to received.body(), "$answer")
        assertDelimited(received)
    }

    /** Checks a stream that may be resumed and one that may not. */
    private fun assertStreamIsBroken(answer: RawAnswer) {
        first.rawAnswer = answer
        assertResumableIsWhole("not resumed") {
            second.ran.any { it.lastEventId == "${answer.completeEvents}" }
        }
        second.rawAnswer = answer
        repeat(CALLS) {
            assertFailsWith<IOException> { fixture.caller.call("/once/x", model = "warm") }
        }
    }

    /** Checks whole streams until the first runner was chosen, or [isMet]; the choice is random. */
    private fun assertResumableIsWhole(
        message: String = "the first runner was not chosen",
        isMet: () -> Boolean = { first.ran.isNotEmpty() }
    ) {
        var calls = 0
        EntryFixture.eventually(message) {
            val received = fixture.caller.call("/draft/x", model = "warm")
            assertEquals(200 to stream, received.statusCode() to received.body())
            ++calls >= CALLS && isMet()
        }
    }

    private fun assertDelimited(received: HttpResponse<String>) {
        val headers = received.headers()
        val length = headers.firstValue("Content-Length").isPresent
        val chunks = headers.firstValue("Transfer-Encoding").orElse("") == "chunked"
        assertTrue(length != chunks, "headers ${headers.map()}")
    }

    @Nested
    inner class WholeAnswers {
        @Test
        fun `an answer that ends with its connection is complete`() {
            assertPlainIsWhole(RawAnswer(CLOSE, AnswerEnd.WHOLE))
            assertPlainIsWhole(RawAnswer(CLOSE, AnswerEnd.WHOLE, endDelayMillis = 20))
            assertPlainIsWhole(RawAnswer(CLOSE, AnswerEnd.WHOLE, connection = "close"))
        }

        @Test
        fun `a stream that ends with its connection after an event is complete`() {
            assertStreamIsWhole(RawAnswer(CLOSE, AnswerEnd.WHOLE))
            assertStreamIsWhole(RawAnswer(CLOSE, AnswerEnd.WHOLE, endDelayMillis = 20))
            assertStreamIsWhole(RawAnswer(CLOSE, AnswerEnd.WHOLE, connection = "close"))
        }

        @Test
        fun `answers with a length or chunks are complete in each version of the protocol`() {
            for (framing in listOf(AnswerFraming.LENGTH, AnswerFraming.CHUNKS)) {
                val answer = RawAnswer(framing, AnswerEnd.WHOLE)
                val older = answer.copy(version = "HTTP/1.0")
                for (sent in listOf(answer, older, older.copy(connection = null))) {
                    assertPlainIsWhole(sent)
                    assertStreamIsWhole(sent)
                }
            }
        }

        @Test
        fun `an HTTP 1_0 answer that ends with its connection is complete`() {
            assertPlainIsWhole(RawAnswer(CLOSE, AnswerEnd.WHOLE, version = "HTTP/1.0"))
            assertStreamIsWhole(RawAnswer(CLOSE, AnswerEnd.WHOLE, version = "HTTP/1.0"))
        }
    }

    @Nested
    inner class ShortAnswers {
        @Test
        fun `an answer shorter than its length or without its last chunk is broken`() {
            assertPlainIsBroken(RawAnswer(AnswerFraming.LENGTH, AnswerEnd.CLOSED_EARLY))
            assertPlainIsBroken(RawAnswer(AnswerFraming.CHUNKS, AnswerEnd.CLOSED_EARLY))
        }

        @Test
        fun `a stream shorter than its length is broken`() =
            assertStreamIsBroken(RawAnswer(AnswerFraming.LENGTH, AnswerEnd.CLOSED_EARLY))

        @Test
        fun `a stream without its last chunk is broken`() =
            assertStreamIsBroken(RawAnswer(AnswerFraming.CHUNKS, AnswerEnd.CLOSED_EARLY))
    }

    @Nested
    inner class UnclearLengths {
        // Guards against a body whose end another reader on the way sees elsewhere.
        @Test
        fun `an answer with a length and chunks, or an unknown coding, is broken`() {
            for (header in listOf("Content-Length: 5", "Transfer-Encoding: identity")) {
                val connection = "close\r\n$header"
                desk.rawAnswer =
                    RawAnswer(AnswerFraming.CHUNKS, AnswerEnd.WHOLE, connection = connection)
                repeat(CALLS) {
                    // The runner gets nothing right after its failure.
                    val received = EntryFixture.eventuallyNotNull("still full") {
                        fixture.caller.call("/book/x").takeIf { it.body() != "all-full\n" }
                    }
                    val expected = 502 to "upstream-failed\n"
                    assertEquals(expected, received.statusCode() to received.body(), header)
                }
            }
        }
    }

    @Nested
    inner class StreamsSilentBeforeTheirFirstEvent {
        private val silent =
            RawAnswer(CLOSE, AnswerEnd.RESET, completeEvents = 0, endDelayMillis = 10_000)

        // A runner that was silent after its head kept the stream until the time limit.
        @Test
        fun `a stream that is silent after its head runs on another runner`() {
            first.rawAnswer = silent
            assertResumableIsWhole()
        }

        // The caller's connection was closed at the time limit without an answer.
        @Test
        fun `a stream that may not run again gets a status at its time limit`() {
            listOf(first, second).forEach { it.rawAnswer = silent }
            val received = fixture.caller.call("/once/x", model = "warm")
            assertEquals(504 to "timed-out\n", received.statusCode() to received.body())
        }
    }

    @Nested
    inner class LongAnswers {
        @BeforeEach
        fun lengthen() {
            desk.plainBody = "0123456789".repeat(200_000)
        }

        @Test
        fun `a long answer that ends with its connection is complete`() {
            assertPlainIsWhole(RawAnswer(CLOSE, AnswerEnd.WHOLE))
        }

        @Test
        fun `a long answer that is reset or shorter than announced is broken`() {
            assertPlainIsBroken(RawAnswer(CLOSE, AnswerEnd.RESET))
            assertPlainIsBroken(RawAnswer(CLOSE, AnswerEnd.RESET_AFTER_BODY))
            assertPlainIsBroken(RawAnswer(AnswerFraming.LENGTH, AnswerEnd.CLOSED_EARLY))
        }
    }

    @Nested
    inner class ResetAnswers {
        @Test
        fun `an answer that is reset is broken in each framing`() {
            for (framing in AnswerFraming.entries) {
                assertPlainIsBroken(RawAnswer(framing, AnswerEnd.RESET))
                assertPlainIsBroken(RawAnswer(framing, AnswerEnd.RESET, endDelayMillis = 20))
            }
        }

        @Test
        fun `an answer without length that is reset after its last byte is broken`() {
            assertPlainIsBroken(RawAnswer(CLOSE, AnswerEnd.RESET_AFTER_BODY))
            assertPlainIsBroken(RawAnswer(CLOSE, AnswerEnd.RESET_AFTER_BODY, endDelayMillis = 20))
        }

        @Test
        fun `a stream without length that is reset between events is broken`() =
            assertStreamIsBroken(RawAnswer(CLOSE, AnswerEnd.RESET, endDelayMillis = 20))

        @Test
        fun `a stream without length that is reset at once is broken`() =
            assertStreamIsBroken(RawAnswer(CLOSE, AnswerEnd.RESET))

        @Test
        fun `a stream in chunks that is reset between events is broken`() =
            assertStreamIsBroken(RawAnswer(AnswerFraming.CHUNKS, AnswerEnd.RESET))
    }

    @Nested
    inner class StreamsThatEndInsideAnEvent {
        // The torn event was sent on, and the stream ended as if it were complete.
        @Test
        fun `a stream that ends with its connection inside an event is broken`() =
            assertStreamIsBroken(RawAnswer(CLOSE, AnswerEnd.INSIDE_EVENT))

        // As above: a proper last chunk does not make up for the missing end of the event.
        @Test
        fun `a stream whose last chunk comes inside an event is broken`() =
            assertStreamIsBroken(RawAnswer(AnswerFraming.CHUNKS, AnswerEnd.INSIDE_EVENT))

        // As above: neither does a length that is reached.
        @Test
        fun `a stream whose length ends inside an event is broken`() =
            assertStreamIsBroken(RawAnswer(AnswerFraming.LENGTH, AnswerEnd.INSIDE_EVENT))
    }

    @Nested
    inner class StreamsBrokenBeforeTheirFirstEvent {
        /** Checks that the stream runs anew, and that the caller is told if it may not. */
        private fun assertNothingWasSent(answer: RawAnswer) {
            first.rawAnswer = answer.copy(completeEvents = 0)
            assertResumableIsWhole()
            assertTrue(second.ran.all { it.lastEventId == null })
            second.rawAnswer = first.rawAnswer
            val received = fixture.caller.call("/once/x", model = "warm")
            val expected = 502 to "upstream-failed\n"
            assertEquals(expected, received.statusCode() to received.body(), "$answer")
        }

        // The caller's connection was closed without an answer, also where the stream may run anew.
        @Test
        fun `a stream reset before its first event runs on another runner`() =
            assertNothingWasSent(RawAnswer(CLOSE, AnswerEnd.RESET))

        // As above, for an end that is known to be early only by the event in it.
        @Test
        fun `a stream that ends inside its first event runs on another runner`() =
            assertNothingWasSent(RawAnswer(CLOSE, AnswerEnd.INSIDE_EVENT))

        // As above, for an orderly close instead of the last chunk.
        @Test
        fun `a stream closed before its first event runs on another runner`() =
            assertNothingWasSent(RawAnswer(AnswerFraming.CHUNKS, AnswerEnd.CLOSED_EARLY))
    }

    private companion object {
        val CLOSE = AnswerFraming.CONNECTION_CLOSE

        /** Number of times each kind of answer is checked at least. */
        const val CALLS = 6
    }
}
