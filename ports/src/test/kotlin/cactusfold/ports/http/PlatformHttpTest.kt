package cactusfold.ports.http

import io.vertx.core.Vertx
import io.vertx.core.http.HttpServerRequest
import java.util.concurrent.TimeUnit
import kotlin.test.assertIs
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

class PlatformHttpTest {
    private val vertx = Vertx.vertx()

    @AfterEach
    fun close() {
        vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS)
    }

    private fun client(handler: (HttpServerRequest) -> Unit): PlatformHttp {
        val server = vertx.createHttpServer().requestHandler(handler)
        val port = server.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture()
            .get(10, TimeUnit.SECONDS).actualPort()
        return PlatformHttp(vertx, HttpTarget("127.0.0.1", port), TIMEOUT_MILLIS, poolSize = 1)
    }

    @Nested
    inner class Pool {
        // Guards against a pool that loses a connection to each request that waits in vain for one.
        @Test
        fun `a request that times out in the queue leaves its connection to others`() =
            runBlocking {
                val http = client { request ->
                    vertx.setTimer(ANSWER_MILLIS) { request.response().end("ok") }
                }
                val first = async { http.send(HttpCall("GET", "/first")) }
                delay(ANSWER_MILLIS / 4)
                val short = HttpCall("GET", "/second", timeoutMillis = ANSWER_MILLIS / 4)
                assertIs<HttpOutcome.NotSent>(http.send(short))
                assertIs<HttpOutcome.Answer>(first.await())
                assertIs<HttpOutcome.Answer>(http.send(HttpCall("GET", "/third")))
                Unit
            }
    }

    private companion object {
        const val ANSWER_MILLIS = 400L
        const val TIMEOUT_MILLIS = 3_000L
    }
}
