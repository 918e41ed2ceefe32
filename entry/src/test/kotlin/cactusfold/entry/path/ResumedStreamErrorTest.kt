package cactusfold.entry.path

import cactusfold.platform.standin.AnswerEnd
import cactusfold.platform.standin.AnswerFraming
import cactusfold.platform.standin.CallEnd
import cactusfold.platform.standin.CallerConnection
import cactusfold.platform.standin.RawAnswer
import cactusfold.platform.standin.RunnerStandin
import kotlin.test.assertEquals
import kotlin.test.assertIs
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test

/** Errors as the answer to the request that was to resume a stream. */
class ResumedStreamErrorTest {
    private lateinit var fixture: EntryFixture
    private lateinit var runners: List<RunnerStandin>
    private val brokenOff =
        RawAnswer(AnswerFraming.CONNECTION_CLOSE, AnswerEnd.RESET, endDelayMillis = 5)
    private val sent = (1..brokenOff.completeEvents).joinToString("") {
        "id: $it\ndata: piece $it\n\n"
    }

    @BeforeEach
    fun start() {
        fixture = EntryFixture()
        runners = (1..2).map { fixture.runner("i-$it", "engine", setOf("warm")) }
        fixture.start()
    }

    @AfterEach
    fun stop() = fixture.close()

    /** Checks that the caller gets the events of the first runner, and then a broken connection. */
    private fun assertCut(answer: RawAnswer) {
        for (runner in runners) {
            runner.rawAnswer = brokenOff
            runner.rawResumption = answer
        }
        CallerConnection(fixture.callers).use {
            val end = it.call("/draft/x", "warm")
            assertEquals(sent, assertIs<CallEnd.Cut>(end, "$answer: $end").body, "$answer")
        }
    }

    private fun answer(framing: AnswerFraming, status: Int) = RawAnswer(
        framing,
        AnswerEnd.WHOLE,
        status = status,
        contentType = "text/plain",
        prologue = "an error\n\n",
        events = 0
    )

    @Test
    fun `an error of any status is not joined to the stream`() {
        for (status in listOf(400, 401, 404, 408, 413, 421, 429, 431, 500, 502, 503, 504, 599)) {
            assertCut(answer(AnswerFraming.LENGTH, status))
            assertCut(answer(AnswerFraming.LENGTH, status).copy(isExecuted = false))
        }
    }

    @Test
    fun `an error in any framing, also with the type of the stream, is not joined to it`() {
        for (framing in AnswerFraming.entries) {
            assertCut(answer(framing, 500))
            assertCut(answer(framing, 500).copy(contentType = "text/event-stream"))
            assertCut(answer(framing, 500).copy(end = AnswerEnd.CLOSED_EARLY))
        }
    }

    @Test
    fun `bytes that are no answer, or a part of one, are not joined to the stream`() {
        val texts = listOf(
            "HTTP/1.1 500 Internal Server Er",
            "HTTP/1.1 500 Internal Server Error\r\nContent-Le",
            "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nan error\n",
            "an error\n\n",
            "id: 4\ndata: piece 4\n\n",
            ""
        )
        texts.forEach { assertCut(brokenOff.copy(text = it)) }
    }
}
