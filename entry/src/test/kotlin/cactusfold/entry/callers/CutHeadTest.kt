package cactusfold.entry.callers

import cactusfold.decisions.residency.RunnerOrder
import cactusfold.platform.HttpRunnerApi
import cactusfold.platform.standin.AnswerFraming
import cactusfold.platform.standin.ScriptedUpstream
import cactusfold.platform.standin.ScriptedUpstream.Companion.answer
import cactusfold.platform.standin.ScriptedUpstream.Scripted
import cactusfold.ports.http.ByteBudget
import cactusfold.ports.http.HttpCall
import cactusfold.ports.http.HttpOutcome
import cactusfold.ports.http.HttpTarget
import cactusfold.ports.http.PlatformHttp
import cactusfold.ports.serving.OrderAuthority
import cactusfold.ports.serving.OrderReply
import io.vertx.kotlin.coroutines.dispatcher
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

/** Upstreams that stop within an answer, after each of its bytes, and end the connection there. */
class CutHeadTest {
    private val fixture = UpstreamFixture()

    @AfterEach
    fun close(): Unit = fixture.close()

    private class Cut(
        val framing: AnswerFraming,
        val text: String,
        val length: Int,
        val resets: Boolean
    ) {
        val scripted = Scripted(text.take(length), closes = true, resets = resets)

        override fun toString(): String =
            "$framing, cut after $length of ${text.length}, ${if (resets) "reset" else "closed"}"
    }

    private fun framed(head: String, framing: AnswerFraming, isLast: Boolean, body: String) =
        when (framing) {
            AnswerFraming.LENGTH -> with(head, "Content-Length: ${body.length}", isLast) + body
            AnswerFraming.CHUNKS -> with(head, "Transfer-Encoding: chunked", isLast) +
                "${body.length.toString(HEXADECIMAL)}\r\n$body\r\n0\r\n\r\n"
            AnswerFraming.CONNECTION_CLOSE -> "$head\r\n$body"
        }

    /** Returns the [head], a status line and headers, with [line] as its last or first header. */
    private fun with(head: String, line: String, isLast: Boolean): String =
        if (isLast) "$head$line\r\n\r\n" else head.replaceFirst("\r\n", "\r\n$line\r\n") + "\r\n"

    /**
     * Returns each cut of an answer with [head] and [body] that shows: in the head in all framings,
     * in the body and by a reset also where that is not the end that the framing requires.
     */
    private fun cutsOf(head: String, body: String): List<Cut> =
        AnswerFraming.entries.flatMap { framing ->
            listOf(true, false).flatMap { isLast ->
                val text = framed(head, framing, isLast, body)
                val headLength = text.indexOf("\r\n\r\n") + 4
                listOf(true, false).flatMap { resets ->
                    val isOpen = framing == AnswerFraming.CONNECTION_CLOSE
                    val end = when {
                        !isOpen -> text.length
                        resets -> text.length + 1
                        else -> headLength
                    }
                    (1 until end).map { Cut(framing, text, it, resets) }
                }
            }
        }

    /**
     * Returns the ends that [send] has for [cuts], some at a time, each with an upstream of its own
     * that cuts its answer to the last request of a connection, after [before].
     */
    private fun <T> endsOf(
        cuts: List<Cut>,
        before: List<Scripted> = emptyList(),
        send: suspend (ScriptedUpstream) -> T
    ): Map<Cut, T> = runBlocking(fixture.vertx.orCreateContext.dispatcher()) {
        cuts.chunked(CONCURRENT).flatMap { some ->
            some.map { cut ->
                async {
                    val scripts = before + cut.scripted
                    ScriptedUpstream { scripts[it - 1] }.use { cut to send(it) }
                }
            }.awaitAll()
        }.toMap()
    }

    private fun headOf(id: String): String =
        answer("", id, isDelimited = false).removeSuffix("\r\n")

    @Nested
    inner class Requests {
        private val cuts = cutsOf(headOf("b"), BODY)

        private fun wholeOf(ends: Map<Cut, SendEnd>) = ends.filterValues {
            it is SendEnd.Whole
        }.keys

        // Guards against a part of a head that is taken for the whole head of an empty answer.
        @Test
        fun `no cut answer is whole on a new connection`() =
            assertEquals(emptySet(), wholeOf(endsOf(cuts) { fixture.send(it, "b") }))

        // As above, behind an answer, whose framing and headers must not be kept for the next one.
        @Test
        fun `no cut answer is whole on a kept connection`() {
            var kept = 0
            val ends = endsOf(cuts, listOf(Scripted(answer("x")))) {
                assertIs<SendEnd.Whole>(fixture.send(it, "a"))
                delay(RECYCLE_MILLIS)
                fixture.send(it, "b").also { _ -> if (it.connections.get() == 1) kept++ }
            }
            assertEquals(emptySet(), wholeOf(ends))
            assertEquals(cuts.size, kept)
        }

        // As above, for a failure that must not be passed on with a part of its body.
        @Test
        fun `no cut failure is whole`() {
            val failure = answer("", "b", status = 500, isDelimited = false).removeSuffix("\r\n")
            val ends = endsOf(cutsOf(failure, BODY)) { fixture.send(it, "b") }
            assertEquals(emptySet(), wholeOf(ends))
        }

        @Test
        fun `an answer without a cut is whole in each framing`() {
            for (framing in AnswerFraming.entries) {
                val whole = framed(headOf("b"), framing, true, BODY)
                fixture.withUpstream({ Scripted(whole, closes = true) }) {
                    val end = assertIs<SendEnd.Whole>(fixture.send(it, "b"))
                    assertEquals(BODY, end.body.toString())
                }
            }
        }
    }

    @Nested
    inner class Calls {
        private val accepted = cutsOf("HTTP/1.1 202 Accepted\r\nServer: x\r\n", "{}")
        private val report = """{"born":1,"models":[],"busy":false,"seq":0}"""
        private val reported = cutsOf("HTTP/1.1 200 OK\r\nServer: x\r\n", report)

        // An order without a complete answer may have been accepted, or not.
        private fun api() =
            HttpRunnerApi(fixture.vertx, TIMEOUT_MILLIS, ByteBudget(100_000), onLeaving = {})

        private suspend fun order(api: HttpRunnerApi, to: ScriptedUpstream) = api.order(
            fixture.upstream(to.port).entry,
            RunnerOrder.Load("m"),
            OrderAuthority("h", 1),
            expectedOrderCount = 0
        ) { true }

        // Guards against an order that counts as accepted, or as refused, by a part of an answer.
        @Test
        fun `an order whose answer is cut has an unknown end`() {
            val api = api()
            val ends = endsOf(accepted) { order(api, it) }
            assertEquals(emptyMap(), ends.filterValues { it !is OrderReply.Unknown })
        }

        // As above, for a report, of which a part must not be taken for all.
        @Test
        fun `a report that is cut is none`() {
            val api = api()
            val reports = endsOf(reported) {
                api.report(fixture.upstream(it.port).entry).reportOrNull
            }
            assertEquals(emptyMap(), reports.filterValues { it != null })
        }

        // As above, for a report without a length, of which each part is framed as a whole body.
        @Test
        fun `a report without a length that is closed within its body is none`() {
            val api = api()
            val whole = "HTTP/1.1 200 OK\r\n\r\n$report"
            for (length in whole.length - report.length until whole.length) {
                fixture.withUpstream({ Scripted(whole.take(length), closes = true) }) {
                    val reply = api.report(fixture.upstream(it.port).entry)
                    assertEquals(null, reply.reportOrNull, "$length")
                }
            }
        }

        // As above, for the calls of the store, on new connections and on kept ones.
        @Test
        fun `a call of the store whose answer is cut has no answer`() {
            val whole = Scripted("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx")
            for (before in listOf(emptyList(), listOf(whole))) {
                val outcomes = endsOf(reported, before) {
                    val target = HttpTarget("127.0.0.1", it.port)
                    val http = PlatformHttp(fixture.vertx, target, TIMEOUT_MILLIS)
                    for (answer in before) {
                        assertIs<HttpOutcome.Answer>(http.send(HttpCall("GET", "/r")), "$answer")
                        delay(RECYCLE_MILLIS)
                    }
                    http.send(HttpCall("GET", "/r")).also { http.close() }
                }
                assertEquals(emptyMap(), outcomes.filterValues { it !is HttpOutcome.NoAnswer })
            }
        }
    }

    private companion object {
        const val BODY = "a body of 26 characters..."
        const val HEXADECIMAL = 16
        const val CONCURRENT = 64
        const val RECYCLE_MILLIS = 30L
        const val TIMEOUT_MILLIS = 5_000L
    }
}
