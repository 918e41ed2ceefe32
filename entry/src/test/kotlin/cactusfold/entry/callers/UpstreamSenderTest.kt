package cactusfold.entry.callers

import cactusfold.decisions.rate.UpstreamStart
import cactusfold.entry.upstream.Upstream
import cactusfold.platform.standin.RunnerStandin
import cactusfold.platform.standin.ScriptedUpstream
import cactusfold.platform.standin.ScriptedUpstream.Companion.answer
import cactusfold.platform.standin.ScriptedUpstream.Scripted
import io.vertx.core.Vertx
import io.vertx.core.http.HttpMethod
import io.vertx.kotlin.coroutines.dispatcher
import java.util.concurrent.TimeUnit
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

class UpstreamSenderTest {
    private val upstreamVertx = Vertx.vertx()
    private val runner = RunnerStandin(upstreamVertx, "r", emptySet()).apply { start() }
    private val leaving = mutableListOf<UpstreamStart>()
    private val fixture = UpstreamFixture(leaving::add)

    @AfterEach
    fun close() {
        fixture.close()
        upstreamVertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS)
    }

    private fun upstream(port: Int) = fixture.upstream(port)

    private suspend fun send(): SendEnd =
        send(upstream(runner.row("s").getString("address").substringAfter(':').toInt()))

    private suspend fun send(to: Upstream, id: String = "a"): SendEnd = fixture.send(to, id)

    private fun withUpstream(
        answer: (number: Int) -> Scripted,
        test: suspend CoroutineScope.(ScriptedUpstream) -> Unit
    ) = fixture.withUpstream(answer, test)

    // Guards against a codec that waits for the body whose length is stated in answer to a HEAD.
    @Test
    fun `the answer to a HEAD request ends with its head`() =
        withUpstream({ Scripted(answer("12345").removeSuffix("12345")) }) {
            val end = withTimeout(TIMEOUT_MILLIS) {
                fixture.send(upstream(it.port), "a", HttpMethod.HEAD)
            }
            assertIs<SendEnd.Whole>(end)
        }

    @Nested
    inner class BytesWithoutEnd {
        private val head = answer("", isDelimited = false)
        private val chunked =
            head.removeSuffix("\r\n") + "Transfer-Encoding: chunked\r\n\r\n"

        // Guards against bytes outside of a body that are kept until the memory is full.
        @Test
        fun `a head, a chunk size or a trailer without end breaks the answer at once`() {
            val filler = "x".repeat(1_000)
            val scripts = listOf(
                Scripted("", endless = filler),
                Scripted("HTTP/1.1 200 $filler", endless = filler),
                Scripted("HTTP/1.1 200 OK\r\nA: ", endless = filler),
                Scripted("HTTP/1.1 200 OK\r\n", endless = "A: $filler\r\n"),
                Scripted(head, endless = filler),
                Scripted(chunked, endless = filler),
                Scripted("${chunked}0\r\n", endless = "A: $filler\r\n")
            )
            for (script in scripts) {
                withUpstream({ script }) {
                    val end = withTimeout(TIMEOUT_MILLIS) { send(upstream(it.port)) }
                    assertIs<SendEnd.Broken>(end, script.text)
                }
            }
        }

        // As above; such an answer may go on, and ends with the time limit of its request.
        @Test
        fun `informational answers without end do not hold up other requests`() =
            withUpstream({ Scripted("", endless = "HTTP/1.1 100 Continue\r\n\r\n") }) {
                val endless = launch { send(upstream(it.port)) }
                repeat(20) {
                    assertIs<SendEnd.Whole>(withTimeout(TIMEOUT_MILLIS) { send() })
                }
                endless.cancel()
            }
    }

    @Nested
    inner class AnswersOfOtherRequests {
        /** Waits until the pool has the connection back. */
        private suspend fun awaitRecycled() = delay(RECYCLE_MILLIS)

        // Guards against a late answer without an id that is taken for that to the next request.
        @Test
        fun `an answer without an id is not accepted on a connection that carried another`() =
            withUpstream({ Scripted(answer("x", id = if (it == 1) "a" else null)) }) {
                assertIs<SendEnd.Whole>(send(upstream(it.port)))
                awaitRecycled()
                val end = assertIs<SendEnd.Broken>(send(upstream(it.port), "b"))
                assertEquals("the answer names no request", end.reason)
            }

        // As above, for a refusal, after which the request would be sent once more.
        @Test
        fun `a refusal without an id is not accepted on a connection that carried another`() =
            withUpstream(
                {
                    val refusal = answer("", id = null, status = 503, isExecuted = false)
                    Scripted(if (it == 1) answer("x") else refusal)
                }
            ) {
                assertIs<SendEnd.Whole>(send(upstream(it.port)))
                awaitRecycled()
                val end = assertIs<SendEnd.Broken>(send(upstream(it.port), "b"))
                assertEquals("the answer names no request", end.reason)
            }

        @Test
        fun `an upstream that never names requests gets a connection for each`() =
            withUpstream({ Scripted(answer("x", id = null)) }) {
                repeat(3) { _ ->
                    assertIs<SendEnd.Whole>(send(upstream(it.port)))
                    awaitRecycled()
                }
                assertEquals(3, it.connections.get())
            }

        // Guards against a second copy of a failure that answers the same request, sent again.
        @Test
        fun `a request that failed is not sent again over the same connection`() =
            withUpstream({ Scripted(answer("x", status = 500)) }) {
                repeat(3) { _ ->
                    assertIs<SendEnd.Whole>(send(upstream(it.port)))
                    awaitRecycled()
                }
                assertEquals(3, it.connections.get())
            }

        // Guards against a second copy of a failure that answers another caller's request, which
        // got the connection before it was taken out of service.
        @Test
        fun `a connection that brought a failure carries no other request`() =
            withUpstream({ Scripted(answer("x", status = 500)) }) { scripted ->
                val to = upstream(scripted.port)
                val senders = List(SENDERS) { launch { repeat(SENDS) { send(to) } } }
                senders.joinAll()
                assertEquals(SENDERS * SENDS, scripted.connections.get())
            }

        // Guards against a body with another caller's answer behind it.
        @Test
        fun `an answer without a length is broken if another one follows`() {
            val copies = listOf(
                answer("other", "b"),
                "HTTP/1.1 200",
                "HTTP/1.1 503 Full\r\nCac",
                "HTTP/1.1 203 Non-Authoritative Information\r\nCac",
                "HTTP/1.1 200 OK\nCac"
            )
            for (copy in copies) {
                val body = answer("own", isDelimited = false)
                withUpstream({ Scripted(body + copy, closes = true) }) {
                    assertIs<SendEnd.Broken>(send(upstream(it.port)), copy)
                }
            }
        }

        @Test
        fun `an answer without a length that mentions the protocol is whole`() {
            val body = "see HTTP/1.1 and HTTP/1.1 200 in the text, or HTTP/1.0 2 and HTTP"
            withUpstream({ Scripted(answer(body, isDelimited = false), closes = true) }) {
                val whole = assertIs<SendEnd.Whole>(send(upstream(it.port)))
                assertEquals(body, whole.body.toString())
            }
        }
    }

    @Nested
    inner class LeavingUpstreams {
        // Guards against a departure that is overlooked, as its answer belongs to no request here.
        @Test
        fun `an answer to another request also says that its upstream leaves`() = withUpstream(
            { Scripted(answer("x", id = "another", isLeaving = true)) }
        ) {
            assertIs<SendEnd.Broken>(send(upstream(it.port)))
            assertEquals(listOf(UpstreamStart("r", 1)), leaving)
        }

        // Guards against a request that was selected before its upstream said that it leaves.
        @Test
        fun `nothing is written to an upstream that leaves while it is being connected`() =
            withUpstream({ Scripted(answer("x")) }) {
                val upstream = upstream(it.port)
                val sending = async(start = CoroutineStart.UNDISPATCHED) { send(upstream) }
                upstream.isLeaving = true
                assertEquals(SendEnd.Unsent, sending.await())
                assertEquals(0, it.requests.get())
            }
    }

    // Guards against connections that are lost to the pool for good.
    @Test
    fun `callers that leave while their upstream is being connected leave no connection behind`() {
        val end = runBlocking(fixture.vertx.orCreateContext.dispatcher()) {
            repeat(CONNECTIONS) {
                launch(start = CoroutineStart.UNDISPATCHED) { send() }.cancel()
            }
            delay(CONNECT_MILLIS)
            send()
        }
        assertIs<SendEnd.Whole>(end)
    }

    private companion object {
        /** As many as the pool has for one upstream. */
        const val CONNECTIONS = 256
        const val CONNECT_MILLIS = 2_000L
        const val TIMEOUT_MILLIS = 5_000L
        const val RECYCLE_MILLIS = 100L
        const val SENDERS = 20
        const val SENDS = 50
    }
}
