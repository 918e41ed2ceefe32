package cactusfold.entry.path

import cactusfold.platform.standin.AnswerEnd
import cactusfold.platform.standin.AnswerFraming
import cactusfold.platform.standin.CallEnd
import cactusfold.platform.standin.CallerConnection
import cactusfold.platform.standin.RawAnswer
import cactusfold.platform.standin.RunnerStandin
import kotlin.concurrent.thread
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

/** Streams whose framing says that they are complete although a part of them is missing. */
class StreamEndTest {
    private lateinit var fixture: EntryFixture
    private lateinit var first: RunnerStandin
    private lateinit var second: RunnerStandin

    @BeforeEach
    fun start() {
        fixture = EntryFixture()
        first = fixture.runner("i-1", "engine", setOf("warm"))
        second = fixture.runner("i-2", "engine", setOf("warm"))
        fixture.start()
    }

    @AfterEach
    fun stop() = fixture.close()

    private val stream = streamOf(1..RunnerStandin.EVENTS)

    private fun streamOf(numbers: IntRange): String =
        numbers.joinToString("") { "id: $it\ndata: piece $it\n\n" }

    /** Checks that the stream runs anew, and that the caller is told if it may not. */
    private fun assertHasNotBegun(answer: RawAnswer) {
        first.rawAnswer = answer
        second.rawAnswer = null
        first.ran.clear()
        var calls = 0
        EntryFixture.eventually("the first runner was not chosen") {
            val received = fixture.caller.call("/draft/x", model = "warm")
            assertEquals(200 to stream, received.statusCode() to received.body(), "$answer")
            ++calls >= CALLS && first.ran.isNotEmpty()
        }
        second.rawAnswer = answer
        val received = fixture.caller.call("/once/x", model = "warm")
        val expected = 502 to "upstream-failed\n"
        assertEquals(expected, received.statusCode() to received.body(), "$answer")
    }

    /** Checks that a stream that broke off is cut if the next runner answers with [answer]. */
    private fun assertIsNotContinued(answer: RawAnswer) {
        val brokenOff = RawAnswer(CLOSE, AnswerEnd.RESET, endDelayMillis = 5)
        for (runner in listOf(first, second)) {
            runner.rawAnswer = brokenOff
            runner.rawResumption = answer
            runner.ran.clear()
        }
        CallerConnection(fixture.callers).use {
            val end = it.call("/draft/x", "warm")
            assertIs<CallEnd.Cut>(end, "$answer: $end")
        }
        val resumed = (first.ran + second.ran).map { it.lastEventId }
        assertTrue("${brokenOff.completeEvents}" in resumed, "not resumed: $resumed")
    }

    @Nested
    inner class WithoutEvents {
        // Guards against the empty body of a runner that broke off before its first event, which
        // callers got as a complete stream.
        @Test
        fun `a stream that ends before its first event runs on another runner`() {
            for (framing in AnswerFraming.entries) {
                assertHasNotBegun(RawAnswer(framing, AnswerEnd.WITHOUT_EVENTS))
            }
        }

        // As above, for comments, which are no events.
        @Test
        fun `a stream that ends after a comment runs on another runner`() {
            for (framing in AnswerFraming.entries) {
                assertHasNotBegun(
                    RawAnswer(
                        framing,
                        AnswerEnd.WHOLE,
                        prologue = ": waiting\n\n",
                        events = 0
                    )
                )
            }
        }

        // Guards against a resumed stream that ends as complete where the second runner broke off.
        @Test
        fun `a resumed stream without events is cut`() {
            for (framing in AnswerFraming.entries) {
                assertIsNotContinued(RawAnswer(framing, AnswerEnd.WITHOUT_EVENTS))
            }
        }
    }

    @Nested
    inner class OtherContent {
        // Guards against the body of another kind of answer in the middle of a stream.
        @Test
        fun `a stream is not continued with an answer that is no event stream`() {
            for (framing in AnswerFraming.entries) {
                val page = RawAnswer(framing, AnswerEnd.WHOLE, contentType = "text/plain")
                assertIsNotContinued(page)
                assertIsNotContinued(page.copy(prologue = "an error\n\n"))
            }
        }

        @Test
        fun `a stream is not continued with an answer of another successful status`() {
            for (status in listOf(201, 204, 206)) {
                assertIsNotContinued(
                    RawAnswer(AnswerFraming.LENGTH, AnswerEnd.WITHOUT_EVENTS, status = status)
                )
            }
        }

        @Test
        fun `an answer that is no event stream is relayed unchanged if nothing was sent`() {
            val body = "no events"
            for (framing in AnswerFraming.entries) {
                val page = RawAnswer(
                    framing,
                    AnswerEnd.WHOLE,
                    contentType = "text/plain",
                    prologue = body,
                    events = 0
                )
                listOf(first, second).forEach { it.rawAnswer = page }
                for (path in listOf("/draft/x", "/once/x")) {
                    val received = fixture.caller.call(path, model = "warm")
                    assertEquals(200 to body, received.statusCode() to received.body(), "$framing")
                }
            }
        }
    }

    @Nested
    inner class Continuations {
        // Guards against events that callers get twice, from a runner that begins anew.
        @Test
        fun `a stream is not continued with events that were sent before`() {
            for (event in 1..RunnerStandin.EVENTS / 2) {
                assertIsNotContinued(RawAnswer(CLOSE, AnswerEnd.WHOLE, firstEvent = event))
            }
        }

        // Guards against a missing event where one run follows another.
        @Test
        fun `a stream of numbered events is not continued after a gap`() = assertIsNotContinued(
            RawAnswer(CLOSE, AnswerEnd.WHOLE, firstEvent = RunnerStandin.EVENTS / 2 + 2)
        )
    }

    @Nested
    inner class SlowCallers {
        // Guards against a reset that is overlooked while events wait for the caller to read.
        @Test
        fun `a long stream that is reset is cut for a caller that reads slowly`() {
            for (framing in AnswerFraming.entries) {
                val long =
                    RawAnswer(framing, AnswerEnd.RESET, events = 400, eventBytes = 8_000)
                listOf(first, second).forEach { it.rawAnswer = long }
                CallerConnection(fixture.callers, receiveBufferBytes = 4_096).use {
                    it.send("/once/x", "warm", timeoutMillis = 20_000)
                    assertIs<CallEnd.Cut>(it.receive(lateMillis = 300, readPauseMillis = 1))
                }
            }
        }

        @Test
        fun `a long stream without length is complete for a caller that reads slowly`() {
            val long = RawAnswer(CLOSE, AnswerEnd.WHOLE, events = 300, eventBytes = 8_000)
            listOf(first, second).forEach { it.rawAnswer = long }
            CallerConnection(fixture.callers, receiveBufferBytes = 4_096).use {
                it.send("/once/x", "warm", timeoutMillis = 20_000)
                val end = it.receive(lateMillis = 300, readPauseMillis = 1)
                assertTrue("id: 300\n" in assertIs<CallEnd.Answered>(end, "$end").body)
            }
        }
    }

    /** Callers that learn the end of a stream only from the end of their connection. */
    @Nested
    inner class OlderCallers {
        private fun call(
            receiveBufferBytes: Int? = null,
            readPauseMillis: Long = 0,
            connection: String? = null
        ): CallEnd = CallerConnection(fixture.callers, receiveBufferBytes).use {
            it.send(
                "/once/x",
                "warm",
                version = "HTTP/1.0",
                timeoutMillis = 20_000,
                connection = connection
            )
            it.receive(readPauseMillis = readPauseMillis)
        }

        private fun bothAnswer(answer: RawAnswer): Unit =
            listOf(first, second).forEach { it.rawAnswer = answer }

        @Test
        fun `a complete stream ends with its connection`() {
            bothAnswer(RawAnswer(CLOSE, AnswerEnd.WHOLE))
            for (connection in listOf(null, "close", "keep-alive")) {
                val end = call(connection = connection)
                assertEquals(stream, assertIs<CallEnd.Answered>(end, "$end").body)
            }
        }

        @Test
        fun `a complete long stream is sent to its end before its connection is closed`() {
            bothAnswer(RawAnswer(CLOSE, AnswerEnd.WHOLE, events = 300, eventBytes = 8_000))
            val end = call(receiveBufferBytes = 4_096, readPauseMillis = 1)
            assertTrue("id: 300\n" in assertIs<CallEnd.Answered>(end, "$end").body)
        }

        // Guards against a connection that is closed in order where a stream broke off.
        @Test
        fun `a stream that broke off ends with a reset of its connection`() {
            bothAnswer(RawAnswer(CLOSE, AnswerEnd.RESET, endDelayMillis = 20))
            for (connection in listOf(null, "close", "keep-alive")) {
                assertIs<CallEnd.Cut>(call(connection = connection))
            }
        }

        @Test
        fun `a long stream that broke off ends with a reset also if it is read slowly`() {
            bothAnswer(RawAnswer(CLOSE, AnswerEnd.RESET, events = 300, eventBytes = 8_000))
            assertIs<CallEnd.Cut>(call(receiveBufferBytes = 4_096, readPauseMillis = 1))
        }

        // As above, for the end of a process that is told to stop.
        @Test
        fun `a stream that a stopping process cuts ends with a reset of its connection`() {
            bothAnswer(RawAnswer(CLOSE, AnswerEnd.RESET, endDelayMillis = 15_000))
            CallerConnection(fixture.callers).use {
                it.send("/once/x", "warm", version = "HTTP/1.0", timeoutMillis = 20_000)
                it.awaitBeginning()
                val stopping = thread { fixture.stop(signaledAgoMillis = 6_000) }
                assertIs<CallEnd.Cut>(it.receive())
                stopping.join()
            }
        }
    }

    private companion object {
        val CLOSE = AnswerFraming.CONNECTION_CLOSE

        /** Enough for each of two runners to be chosen. */
        const val CALLS = 6
    }
}
