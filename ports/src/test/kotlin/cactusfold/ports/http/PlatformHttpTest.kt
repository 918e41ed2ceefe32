package cactusfold.ports.http

import io.vertx.core.Vertx
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.http.HttpServerResponse
import java.util.concurrent.TimeUnit
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

class PlatformHttpTest {
    private val vertx = Vertx.vertx()

    @AfterEach
    fun close() {
        vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS)
    }

    private fun client(
        bodies: BodyCollector = BodyCollector(1_000, ByteBudget(1_000)),
        poolSize: Int = 16,
        handler: (HttpServerRequest) -> Unit
    ): PlatformHttp {
        val server = vertx.createHttpServer().requestHandler(handler)
        val port = server.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture()
            .get(10, TimeUnit.SECONDS).actualPort()
        return PlatformHttp(
            vertx,
            HttpTarget("127.0.0.1", port),
            TIMEOUT_MILLIS,
            poolSize = poolSize,
            closesOnTimeout = poolSize > 1,
            bodies = bodies
        )
    }

    @Nested
    inner class Pool {
        // Guards against a pool that loses a connection to each request that waits in vain for one.
        @Test
        fun `a request that times out in the queue leaves its connection to others`() =
            runBlocking {
                val http = client(poolSize = 1) { request ->
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

    @Nested
    inner class Threads {
        // Guards against a response that is lost, as it arrives before its caller awaits it.
        @Test
        fun `each call from a thread of its own gets its answer`() = runBlocking(Dispatchers.IO) {
            val http = client { it.response().end("ok") }
            val calls = List(CALLERS) {
                async { List(CALLS) { http.send(HttpCall("GET", "/x")) } }
            }
            val outcomes = calls.awaitAll().flatten()
            assertEquals(emptyList(), outcomes.filterNot { it is HttpOutcome.Answer })
        }
    }

    @Nested
    inner class Limits {
        private val budget = ByteBudget(BUDGET_BYTES)

        private fun endless(response: HttpServerResponse) {
            if (response.closed()) return
            response.write("x".repeat(PIECE_BYTES)).onSuccess { endless(response) }
        }

        private val http = client(BodyCollector(MAX_BYTES, budget)) { request ->
            when (request.path()) {
                "/endless" -> endless(request.response().setChunked(true))
                "/held" -> request.response().setChunked(true).write("x".repeat(PIECE_BYTES))
                else -> request.response().end("x".repeat(PIECE_BYTES))
            }
        }

        // Guards against an answer without end that is kept in memory until its timeout.
        @Test
        fun `a body without end is given up at its limit and frees its memory`() = runBlocking {
            repeat(10) {
                val outcome = http.send(HttpCall("GET", "/endless"))
                assertTrue(assertIs<HttpOutcome.NoAnswer>(outcome).isTooLong)
            }
            assertEquals(0, budget.usedBytes)
            assertIs<HttpOutcome.Answer>(http.send(HttpCall("GET", "/whole")))
            Unit
        }

        // Guards against many answers that are kept in memory, each within its limit.
        @Test
        fun `bodies that take too much together are given up`() = runBlocking {
            val held =
                List(8) { async { http.send(HttpCall("GET", "/held", timeoutMillis = 1_000)) } }
            val outcomes = held.awaitAll().map { assertIs<HttpOutcome.NoAnswer>(it) }
            assertTrue(outcomes.count { it.isTooLong } in 1..7, "$outcomes")
            // A connection that timed out is closed a moment later.
            withTimeout(TIMEOUT_MILLIS) { while (budget.usedBytes > 0) delay(1) }
        }
    }

    private companion object {
        const val CALLERS = 8
        const val CALLS = 500
        const val PIECE_BYTES = 16_384
        const val MAX_BYTES = 65_536
        const val BUDGET_BYTES = 100_000L

        const val ANSWER_MILLIS = 400L
        const val TIMEOUT_MILLIS = 3_000L
    }
}
