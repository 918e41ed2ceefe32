package cactusfold.router.forward

import cactusfold.router.UpstreamSettings
import cactusfold.router.lane.Target
import cactusfold.settings.schema.HostPort
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.kotlin.coroutines.dispatcher
import java.io.IOException
import java.io.InputStream
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

/** Upstreams that write a part of an answer, before another one or before they close. */
class UpstreamClientTest {
    private val vertx = Vertx.vertx()
    private val eventLoop = vertx.orCreateContext.dispatcher()
    private val client = UpstreamClient(vertx, UpstreamSettings(500, TIMEOUT_MILLIS, 5_000, 16))

    @AfterEach
    fun close() {
        vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS)
    }

    /** Writes one of [answers] for each request of a connection, which ends after the last one. */
    private class Upstream(private val answers: List<String>) : AutoCloseable {
        private val server = ServerSocket(0)
        val connections = AtomicInteger()
        val target = Target("u", HostPort("127.0.0.1", server.localPort), "z", 4)

        init {
            thread(isDaemon = true) {
                try {
                    while (true) {
                        val socket = server.accept()
                        connections.incrementAndGet()
                        thread(isDaemon = true) { socket.use(::serve) }
                    }
                } catch (_: IOException) {
                    // The test has ended.
                }
            }
        }

        private fun serve(socket: Socket) {
            for (answer in answers) {
                if (!skipRequest(socket.getInputStream())) return
                socket.getOutputStream().write(answer.toByteArray())
            }
        }

        /** Reads one request, which has no body; false if the connection ended before it. */
        private fun skipRequest(input: InputStream): Boolean {
            val head = StringBuilder()
            while (!head.endsWith("\r\n\r\n")) {
                val byte = input.read()
                if (byte < 0) return false
                head.append(byte.toChar())
            }
            return true
        }

        override fun close() = server.close()
    }

    private fun head(status: Int) = "HTTP/1.1 $status Status\r\n" +
        "Date: Sun, 06 Dec 2026 01:00:00 GMT\r\nContent-Type: text/plain\r\n"

    private fun answer(status: Int) = "${head(status)}Content-Length: 4\r\n\r\nbody"

    private suspend fun send(to: Upstream, method: HttpMethod = HttpMethod.GET): AttemptResult {
        val attempt = Attempt("a", method, "/x", emptyList(), Buffer.buffer())
        return client.send(to.target, attempt, null)
    }

    /** Returns the last results of upstreams that write [answersOf] each of [parts]. */
    private fun results(
        parts: List<String>,
        answersOf: (String) -> List<String>
    ): List<Pair<String, AttemptResult>> = runBlocking(eventLoop) {
        parts.chunked(CONCURRENT).flatMap { some ->
            some.map { part ->
                async {
                    val answers = answersOf(part)
                    Upstream(answers).use { upstream ->
                        repeat(answers.size - 1) { _ ->
                            val result = send(upstream)
                            val reason = (result as? AttemptResult.Broken)?.reason
                            assertIs<AttemptResult.Buffered>(result, reason)
                            delay(RECYCLE_MILLIS)
                        }
                        part to send(upstream)
                    }
                }
            }.awaitAll()
        }
    }

    private fun statusOf(result: AttemptResult) =
        (result as? AttemptResult.Buffered)?.response?.head?.status

    @Nested
    inner class TornHeads {
        private fun wrongAfter(torn: Int, whole: Int): List<String> {
            val parts = (1 until answer(torn).length - 4).map(answer(torn)::take)
            return results(parts) { listOf(answer(200), it + answer(whole)) }
                .filter { (_, result) -> statusOf(result) !in setOf(null, whole) }
                .map { it.first }
        }

        // Guards against a caller that gets a success for its failure, whose head was joined to a
        // part of another one.
        @Test
        fun `a failure after a part of another head is never a success`() =
            assertEquals(emptyList(), wrongAfter(torn = 200, whole = 500))

        // As above, the other way round.
        @Test
        fun `a success after a part of another head is never a failure`() =
            assertEquals(emptyList(), wrongAfter(torn = 500, whole = 200))
    }

    @Nested
    inner class CutAnswers {
        // Guards against a part of an answer that is passed on as a whole one.
        @Test
        fun `an answer that is cut after any of its bytes is broken`() {
            val whole = answer(200)
            val chunked = "${head(200)}Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
            for (text in listOf(whole, chunked)) {
                for (before in listOf(emptyList(), listOf(whole))) {
                    val cut = results((1 until text.length).map(text::take)) { before + it }
                    val wrong = cut.filter { it.second !is AttemptResult.Broken }
                    assertEquals(emptyList(), wrong.map { it.first })
                }
            }
        }
    }

    @Nested
    inner class Connections {
        private fun connectionsOf(status: Int): Int = runBlocking(eventLoop) {
            Upstream(List(3) { answer(status) }).use { upstream ->
                repeat(3) {
                    assertEquals(status, statusOf(send(upstream)))
                    delay(RECYCLE_MILLIS)
                }
                upstream.connections.get()
            }
        }

        // An upstream need not name the request that it answers.
        @Test
        fun `a connection that brought a success without a name carries further requests`() =
            assertEquals(1, connectionsOf(200))

        // Guards against the copy of a failure that is taken for the next answer.
        @Test
        fun `a connection that brought a failure carries no further request`() =
            assertEquals(3, connectionsOf(500))
    }

    @Nested
    inner class HeadRequests {
        // Guards against an answer to HEAD whose body is awaited, which it never has.
        @Test
        fun `an answer to HEAD that states a length has no body`() = runBlocking(eventLoop) {
            Upstream(List(2) { answer(200).removeSuffix("body") } + "").use { upstream ->
                repeat(2) { assertEquals(200, statusOf(send(upstream, HttpMethod.HEAD))) }
            }
        }
    }

    private companion object {
        const val CONCURRENT = 32
        const val RECYCLE_MILLIS = 30L
        const val TIMEOUT_MILLIS = 5_000L
    }
}
