package cactusfold.local

import cactusfold.local.TestFleet.Companion.RUN_HEADER
import cactusfold.local.TestFleet.Companion.eventually
import cactusfold.protocol.EventQuery
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlinx.coroutines.delay
import org.junit.jupiter.api.Test

class AtMostOnceTest {
    @Test
    fun `equal bookings through three routers at once run once, and all get the one answer`() =
        withFleet(TestFleet(routers = 3)) {
            service.delayMillis = 200
            val calls = List(12) { sendAsync("/bookings/1", """{"lane":1}""", it % 3) }
            val answers = calls.map { it.get() }
            assertEquals(1, service.executionCountOf("""{"lane":1}"""))
            assertTrue(answers.all { it.statusCode() == 200 }, "${answers.map { it.body() }}")
            assertEquals(1, answers.map { it.body() }.toSet().size)
        }

    @Test
    fun `a lost upstream response gives may-have-run, and retries do not run again`() = withFleet {
        service.closesBeforeResponse = true
        val body = """{"lane":2}"""
        val first = send("/bookings/2", body)
        service.closesBeforeResponse = false
        assertEquals("may-have-run", first.headers().firstValue(RUN_HEADER).get())
        repeat(3) {
            val retry = send("/bookings/2", body)
            assertEquals("may-have-run", retry.headers().firstValue(RUN_HEADER).get(), retry.body())
        }
        assertEquals(1, service.executionCountOf(body))
    }

    @Test
    fun `lost claim replies never make a booking run twice`() = withFleet(TestFleet(routers = 2)) {
        repeat(5) { i ->
            val body = """{"lost":$i}"""
            standins.table.faults.dropNextResponses(2)
            val answers = List(4) { sendAsync("/bookings/3", body, it % 2) }.map { it.get() }
            val runs = service.executionCountOf(body)
            assertTrue(runs <= 1, "$body ran $runs times")
            if (runs == 0) {
                assertTrue(answers.all { it.headers().firstValue(RUN_HEADER).isPresent })
            }
        }
    }

    @Test
    fun `in a store outage a booking is refused as not-run, and a later retry runs`() = withFleet {
        val body = """{"lane":4}"""
        standins.table.faults.isDown = true
        val refused = send("/bookings/4", body)
        assertEquals("not-run", refused.headers().firstValue(RUN_HEADER).get(), refused.body())
        assertEquals(0, service.executionCountOf(body))
        standins.table.faults.isDown = false
        eventually("the router did not detect that the store is back") {
            routers[0].core.guardedTable.isUp
        }
        delay(300)
        assertEquals(200, send("/bookings/4", body).statusCode())
        assertEquals(1, service.executionCountOf(body))
    }

    @Test
    fun `if a router crashes after dispatch, a retry gets may-have-run and does not run`() =
        withFleet(TestFleet(routers = 2)) {
            val body = """{"lane":5}"""
            service.delayMillis = 1_000
            sendAsync("/bookings/5", body, 0)
            eventually("the request was not dispatched") {
                routers[0].core.events.find(EventQuery.getDefaultInstance())
                    .any { it.kind == "dispatched" }
            }
            delay(100)
            routers[0].core.halt()
            val retry = send("/bookings/5", body, router = 1)
            assertTrue(service.executionCountOf(body) <= 1)
            assertEquals(409, retry.statusCode(), retry.body())
            assertEquals("may-have-run", retry.headers().firstValue(RUN_HEADER).get(), retry.body())
            delay(1_000)
            assertTrue(service.executionCountOf(body) <= 1)
        }

    @Test
    fun `an idempotency key reused for a different request is refused`() = withFleet {
        val client = java.net.http.HttpClient.newHttpClient()
        fun send(body: String): Int {
            val request = java.net.http.HttpRequest
                .newBuilder(java.net.URI("http://127.0.0.1:${routers[0].callerPort}/bookings/6"))
                .header("Authorization", "Bearer ${TestFleet.KEY}")
                .header("Idempotency-Key", "one")
                .POST(java.net.http.HttpRequest.BodyPublishers.ofString(body))
                .build()
            return client.send(
                request,
                java.net.http.HttpResponse.BodyHandlers.ofString()
            ).statusCode()
        }
        assertEquals(200, send("a"))
        assertEquals(200, send("a"))
        assertEquals(422, send("b"))
        assertEquals(1, service.executionCountOf("a"))
        assertEquals(0, service.executionCountOf("b"))
    }
}
