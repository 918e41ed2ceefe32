package cactusfold.local

import cactusfold.local.TestFleet.Companion.RUN_HEADER
import cactusfold.local.TestFleet.Companion.eventually
import io.vertx.core.json.JsonObject
import java.net.Socket
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class CallerInterfaceTest {
    private val fleet = TestFleet()

    @BeforeAll
    fun start() {
        fleet.start()
    }

    @AfterAll
    fun stop() {
        fleet.stop()
    }

    private fun errorCode(body: String): String =
        JsonObject(body).getJsonObject("error").getString("code")

    @Nested
    inner class Responses {
        @Test
        fun `a request for an unloaded model gets a complete response with token usage`() {
            val answer = fleet.chat("big")
            assertEquals(200, answer.statusCode())
            val body = JsonObject(answer.body())
            assertEquals(4, body.getJsonObject("usage").getInteger("completion_tokens"))
            assertTrue(answer.headers().firstValue("x-request-id").isPresent)
        }

        @Test
        fun `an adapter is loaded with its base model and streams all events`() {
            val text = fleet.stream("tuned", 3).body().reader().readText()
            assertTrue(text.trimEnd().endsWith("data: [DONE]"), text)
            assertEquals(3, Regex("\"content\":\"[a-z]").findAll(text).count())
        }

        @Test
        fun `the model list contains only models that the workspace may use`() {
            val all = JsonObject(fleet.send("/v1/models", null).body()).getJsonArray("data").size()
            val few = fleet.send("/v1/models", null, TestFleet.SMALL_KEY).body()
            assertEquals(6, all)
            assertEquals(2, JsonObject(few).getJsonArray("data").size())
        }

        @Test
        fun `upstreams never receive the API key, and a plain service gets the request id`() {
            assertEquals(200, fleet.send("/lanes/2?day=mon", """{"a":1}""").statusCode())
            assertNotNull(fleet.service.lastHeaders["x-request-id"])
            assertFalse("authorization" in fleet.service.lastHeaders)
            fleet.chat("big")
            assertTrue(
                fleet.runners.none {
                    it.receivedAuthorization
                },
                "a runner received a caller's key"
            )
        }

        @Test
        fun `a route that allows anonymous callers needs no key`() {
            assertEquals(200, fleet.send("/open/x", null, key = null).statusCode())
        }
    }

    @Nested
    inner class Refusals {
        @Test
        fun `each refused request gets its status and error code and is marked as not run`() {
            val chat = TestFleet.CHAT
            val cases = listOf(
                Triple(fleet.send(chat, "{", TestFleet.KEY), 400, "bad_json"),
                Triple(fleet.send(chat, "[1]", TestFleet.KEY), 400, "bad_json"),
                Triple(fleet.send(chat, """{"model":3}""", TestFleet.KEY), 400, "bad_field"),
                Triple(fleet.chat("nothing"), 404, "model_not_found"),
                Triple(fleet.chat("other", key = TestFleet.SMALL_KEY), 404, "model_not_found"),
                Triple(fleet.chat("big", key = "wrong"), 401, "invalid_key"),
                Triple(fleet.send(chat, "{}", null), 401, "missing_key"),
                Triple(fleet.send("/nowhere", "{}"), 404, "unknown_route"),
                Triple(fleet.send(chat, "x".repeat(5_000_000)), 413, "body_too_large"),
                Triple(fleet.chat("huge"), 503, "late")
            )
            for ((answer, status, code) in cases) {
                assertEquals(status, answer.statusCode(), answer.body())
                assertEquals(code, errorCode(answer.body()))
                assertEquals("not-run", answer.headers().firstValue(RUN_HEADER).get())
            }
        }

        @Test
        fun `a request larger than the burst is refused as above_burst`() {
            val body = TestFleet.chatBody("big", tokens = 200)
            val refused = fleet.send(TestFleet.CHAT, body, TestFleet.SMALL_KEY)
            assertEquals("above_burst", errorCode(refused.body()))
        }
    }

    @Nested
    inner class Connections {
        @Test
        fun `a caller that leaves during a stream cancels the upstream request`() = runBlocking {
            fleet.chat("big")
            val before = fleet.runners.sumOf { it.cancelled }
            val answer = fleet.stream("big", 4_000)
            answer.body().read()
            answer.body().close()
            eventually("the upstream request was not cancelled after its caller disconnected") {
                fleet.runners.sumOf { it.cancelled } > before
            }
        }

        @Test
        fun `a caller that does not send its whole body in time gets 408`() {
            Socket("127.0.0.1", fleet.routers[0].callerPort).use { socket ->
                socket.soTimeout = 25_000
                val head = "POST /lanes/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n" +
                    "Authorization: Bearer ${TestFleet.KEY}\r\n\r\nabc"
                socket.getOutputStream().write(head.toByteArray())
                val answer = socket.getInputStream().bufferedReader().readLine()
                assertTrue(answer.contains("408"), answer)
            }
        }
    }
}
