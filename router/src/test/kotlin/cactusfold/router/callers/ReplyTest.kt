package cactusfold.router.callers

import cactusfold.router.forward.BufferedResponse
import cactusfold.router.forward.ResponseHead
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.kotlin.coroutines.dispatcher
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.util.concurrent.TimeUnit
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

class ReplyTest {
    private val vertx = Vertx.vertx()
    private val client = HttpClient.newHttpClient()

    @AfterEach
    fun close() {
        vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS)
    }

    /** Returns what a caller gets that is sent a heartbeat and then [answer]. */
    private fun receive(answer: BufferedResponse): HttpResponse<String> {
        val context = vertx.getOrCreateContext()
        val server = vertx.createHttpServer().requestHandler { request ->
            CoroutineScope(context.dispatcher()).launch {
                Reply(request.response(), "id").apply { heartbeat() }.answer(answer)
            }
        }
        val port = server.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture()
            .get(10, TimeUnit.SECONDS).actualPort()
        val request = HttpRequest.newBuilder(URI("http://127.0.0.1:$port/")).build()
        return client.send(request, HttpResponse.BodyHandlers.ofString())
    }

    private fun answer(status: Int, type: String, body: String): BufferedResponse =
        BufferedResponse(ResponseHead(status, listOf("Content-Type" to type)), Buffer.buffer(body))

    @Nested
    inner class AfterAHeartbeat {
        // Guards against the text of an error at the end of a stream that looks complete.
        @Test
        fun `an error of the upstream breaks the stream off`() {
            val error = answer(500, "application/json", """{"error":"failed"}""")
            assertFailsWith<IOException> { receive(error) }
        }

        // As above: a document is no event either.
        @Test
        fun `an answer that is no event stream breaks the stream off`() {
            assertFailsWith<IOException> { receive(answer(200, "application/json", "{}")) }
        }

        @Test
        fun `a stored stream is passed on`() {
            val events = "data: 1\n\ndata: 2\n\n"
            val received = receive(answer(200, "text/event-stream; charset=utf-8", events))
            assertEquals(200 to ": waiting\n\n$events", received.statusCode() to received.body())
        }
    }
}
