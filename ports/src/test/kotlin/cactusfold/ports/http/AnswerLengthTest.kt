package cactusfold.ports.http

import io.vertx.core.Vertx
import java.util.concurrent.TimeUnit
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

/** Answers whose end can be read in two ways, on connections of each kind. */
class AnswerLengthTest {
    private val vertx = Vertx.vertx()

    @AfterEach
    fun close() {
        vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS)
    }

    /** The rules of connections for requests, to peers, for reports and the store, for orders. */
    private val rules = listOf(
        ResponseRules(NAME, closesOnFailure = true),
        ResponseRules(NAME),
        ResponseRules(closesOnFailure = true),
        ResponseRules(),
        ResponseRules(isReused = false)
    )

    private fun outcomes(vararg headers: String, body: String): List<HttpOutcome> {
        val head = listOf("HTTP/1.1 200 OK", "$NAME: 1", *headers).joinToString("\r\n")
        val port = vertx.createNetServer().connectHandler { socket ->
            socket.handler { socket.write("$head\r\n\r\n$body") }
        }.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture()
            .get(10, TimeUnit.SECONDS).actualPort()
        val target = HttpTarget("127.0.0.1", port)
        return rules.map { rules ->
            runBlocking {
                PlatformHttp(vertx, target, TIMEOUT_MILLIS, rules = rules)
                    .send(HttpCall("GET", "/x"))
            }
        }
    }

    private fun assertRefused(vararg headers: String) =
        outcomes(*headers, body = "5\r\nwhole\r\n0\r\n\r\n").forEach { outcome ->
            val reason = assertIs<HttpOutcome.NoAnswer>(outcome, headers.toList().toString()).reason
            assertEquals(false, "no response within" in reason, "${headers.toList()}: $reason")
        }

    @Nested
    inner class TwoReadings {
        // Guards against a body whose end another reader on the way sees elsewhere.
        @Test
        fun `an answer with a length and a coding is none`() {
            assertRefused("Content-Length: 15", "Transfer-Encoding: chunked")
            assertRefused("Transfer-Encoding: chunked", "Content-Length: 3")
        }

        // Guards against a body that holds chunks' sizes, or ends where another answer begins.
        @Test
        fun `an answer with another coding than chunks is none`() {
            assertRefused("Transfer-Encoding: identity")
            assertRefused("Transfer-Encoding: gzip, chunked")
            assertRefused("Transfer-Encoding: chunked, identity")
            assertRefused("Transfer-Encoding: chunked", "Transfer-Encoding: chunked")
            assertRefused("Transfer-Encoding: \"chunked\"")
        }

        @Test
        fun `lengths that differ make no answer`() {
            assertRefused("Content-Length: 15", "Content-Length: 3")
            assertRefused("Content-Length: 15, 3")
        }
    }

    @Nested
    inner class OneReading {
        @Test
        fun `chunks and a length are read`() {
            val chunked = outcomes("Transfer-Encoding: Chunked", body = "5\r\nwhole\r\n0\r\n\r\n")
            val long = outcomes("Content-Length: 5", body = "whole")
            (chunked + long).forEach {
                assertEquals("whole", assertIs<HttpOutcome.Answer>(it).body.toString())
            }
        }
    }

    private companion object {
        const val NAME = "Name"
        const val TIMEOUT_MILLIS = 2_000L
    }
}
