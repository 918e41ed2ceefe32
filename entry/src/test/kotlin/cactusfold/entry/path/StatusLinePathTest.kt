package cactusfold.entry.path

import cactusfold.entry.callers.StatusLines
import cactusfold.platform.standin.AnswerEnd
import cactusfold.platform.standin.AnswerFraming
import cactusfold.platform.standin.RawAnswer
import cactusfold.platform.standin.RunnerStandin
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

/** What callers get of runners in trouble, whose answers are proper but for their status. */
class StatusLinePathTest {
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

    /** Answers with each status line and framing; those with an end of their own stay open. */
    private val answers = StatusLines.ALL.flatMap { line ->
        AnswerFraming.entries.map { framing ->
            val isOpen = framing != AnswerFraming.CONNECTION_CLOSE
            RawAnswer(
                framing,
                AnswerEnd.WHOLE,
                connection = null,
                statusLine = line,
                endDelayMillis = if (isOpen) OPEN_MILLIS else 0
            )
        }
    }

    private fun call(path: String, model: String?): Pair<Int, String> {
        val received = fixture.caller.call(path, model = model)
        return received.statusCode() to received.body()
    }

    /** Returns the [answers] to which [test] objects, with what it has found. */
    private fun wrong(test: (RawAnswer) -> String?): List<String> = answers.mapNotNull { answer ->
        test(answer)?.let { "${answer.statusLine}, ${answer.framing}: $it" }
    }

    @Nested
    inner class PlainAnswers {
        private val closed = RawAnswer(AnswerFraming.CONNECTION_CLOSE, AnswerEnd.WHOLE)

        /**
         * Checks the end of a request that runs once, and of the one after it. The request is the
         * first one of its connection unless that [isKept].
         */
        private fun findWrong(answer: RawAnswer, isKept: Boolean): String? {
            desk.rawAnswer = null
            val whole = 200 to desk.plainBody
            if (isKept) assertEquals(whole, call("/book/x", null))
            val ranBefore = desk.ran.size
            desk.rawAnswer = answer
            val received = call("/book/x", null)
            val ran = desk.ran.size - ranBefore
            desk.rawAnswer = if (isKept) null else closed
            // The runner gets nothing right after its failure.
            val next = EntryFixture.eventuallyNotNull("still full") {
                call("/book/x", null).takeIf { it != FULL }
            }
            val isRight = received == FAILED && ran == 1 && next == whole
            return if (isRight) null else "$received, ran $ran times, next $next"
        }

        // Guards against a caller that gets a status of no meaning as an answer.
        @Test
        fun `an answer without a proper status is a failure that may have run`() =
            assertEquals(emptyList(), wrong { findWrong(it, isKept = false) })

        // As above, on a connection that has brought an answer before.
        @Test
        fun `an answer without a proper status on a kept connection is a failure`() =
            assertEquals(emptyList(), wrong { findWrong(it, isKept = true) })

        // Guards against a request that runs again, since such an answer says that it did not run.
        @Test
        fun `a refusal without a proper status does not have a request run again`() = assertEquals(
            emptyList(),
            wrong { findWrong(it.copy(isExecuted = false), isKept = true) }
        )

        // Guards against an interim status that the caller gets as the answer.
        @Test
        fun `an answer after an interim one is passed on`() {
            for (interim in StatusLines.INTERIM) {
                for (framing in AnswerFraming.entries) {
                    desk.rawAnswer = RawAnswer(framing, AnswerEnd.WHOLE, interim = interim)
                    assertEquals(200 to desk.plainBody, call("/book/x", null), interim)
                    first.rawAnswer = desk.rawAnswer
                    second.rawAnswer = desk.rawAnswer
                    assertEquals(200 to stream, call("/once/x", "warm"), interim)
                }
            }
        }
    }

    @Nested
    inner class Streams {
        /** Runners that failed get nothing for a while, so that fewer answers are tried here. */
        private val some = answers.filter { it.statusLine in StatusLines.ORDERS }

        // Guards against a stream that begins with a status of no meaning.
        @Test
        fun `a stream without a proper status that may run once is a failure`() {
            val wrong = mutableListOf<String>()
            for (answer in some) {
                listOf(first, second).forEach { it.rawAnswer = null }
                EntryFixture.eventually("no stream") { call("/once/x", "warm") == 200 to stream }
                listOf(first, second).forEach { it.rawAnswer = answer }
                var failures = 0
                EntryFixture.eventually("no runner was asked") {
                    val ranBefore = first.ran.size + second.ran.size
                    val received = call("/once/x", "warm")
                    val ran = first.ran.size + second.ran.size - ranBefore
                    val isRight = received == if (ran == 0) FULL else FAILED
                    if (!isRight || ran > 1) wrong += "$answer: $received, ran $ran times"
                    failures += ran
                    failures >= 2
                }
            }
            assertEquals(emptyList(), wrong)
        }

        // Guards against a stream that gets such a status while another runner could run it.
        @Test
        fun `a stream without a proper status runs on another runner`() {
            val wrong = mutableListOf<String>()
            for (answer in some) {
                first.rawAnswer = answer
                val ranBefore = first.ran.size
                EntryFixture.eventually("the first runner was not chosen") {
                    val received = call("/draft/x", "warm")
                    if (received != 200 to stream) wrong += "$answer: $received"
                    first.ran.size > ranBefore
                }
            }
            assertEquals(emptyList(), wrong)
        }

        // As above, for the second runner of a stream that is resumed.
        @Test
        fun `a stream whose second runner has no proper status never ends as complete`() {
            val brokenOff =
                RawAnswer(AnswerFraming.CONNECTION_CLOSE, AnswerEnd.RESET, endDelayMillis = 5)
            val wrong = wrong { answer ->
                for (runner in listOf(first, second)) {
                    runner.rawAnswer = brokenOff
                    runner.rawResumption = answer
                }
                val end = runCatching { call("/draft/x", "warm") }.getOrNull()
                end?.takeIf { it.first in 200..299 }?.toString()
            }
            assertEquals(emptyList(), wrong)
            val resumed = (first.ran + second.ran).count { it.lastEventId != null }
            assertTrue(resumed > answers.size / 2, "$resumed resumed for ${answers.size}")
        }
    }

    private companion object {
        val FAILED = 502 to "upstream-failed\n"

        /** Refused without having run, since all runners have just failed. */
        val FULL = 503 to "all-full\n"

        /** Longer than any request, so that the process under test has to close the connection. */
        const val OPEN_MILLIS = 20_000L
    }
}
