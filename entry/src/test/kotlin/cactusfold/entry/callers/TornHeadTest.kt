package cactusfold.entry.callers

import cactusfold.decisions.residency.RunnerOrder
import cactusfold.platform.HttpRunnerApi
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
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

/** Upstreams that write a part of a head, of a copy of an earlier answer, and then go on. */
class TornHeadTest {
    private val fixture = UpstreamFixture()

    @AfterEach
    fun close(): Unit = fixture.close()

    /** A head with other headers before and after those that say whose answer it is. */
    private fun head(status: Int, id: String) = "HTTP/1.1 $status Status\r\n" +
        "Date: Sun, 06 Dec 2026 01:00:00 GMT\r\n" +
        answer("", id, isDelimited = false).substringAfter("\r\n").removeSuffix("\r\n") +
        "Connection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n"

    /** All parts of [head], from its first byte to all but its last one. */
    private fun partsOf(head: String) = (1 until head.length).map(head::take)

    @Nested
    inner class Requests {
        /** Returns the parts of a head of [torn] after which a [whole] answer had another status or none. */
        private fun wrongAfter(torn: Int, whole: Int): List<String> = partsOf(head(torn, "a"))
            .filter { part ->
                val answers = listOf(answer("x"), part + answer("y", "b", status = whole))
                fixture.withUpstream({ Scripted(answers[it - 1]) }) {
                    assertIs<SendEnd.Whole>(fixture.send(it, "a"))
                    delay(RECYCLE_MILLIS)
                    val end = withTimeoutOrNull(TIMEOUT_MILLIS) { fixture.send(it, "b") }
                    end == null || end is SendEnd.Whole && end.start.status != whole
                }
            }

        // Guards against a caller that gets a success, as the head of its failure was joined to a
        // part of another head.
        @Test
        fun `a failure after a part of another head is never a success`() =
            assertEquals(emptyList(), wrongAfter(torn = 200, whole = 500))

        // As above, the other way round.
        @Test
        fun `a success after a part of another head is never a failure`() =
            assertEquals(emptyList(), wrongAfter(torn = 500, whole = 200))

        // As above, with an interim head, which the answer follows on any connection.
        @Test
        fun `a failure after a part of an interim head is never a success`() {
            val wrong = partsOf(head(103, "a")).filter { part ->
                fixture.withUpstream({ Scripted(part + answer("y", status = 500)) }) {
                    withTimeoutOrNull(TIMEOUT_MILLIS) { fixture.send(it).isSuccess } ?: true
                }
            }
            assertEquals(emptyList(), wrong)
        }

        // Guards against bytes that are no message yet, which leave their connection in use.
        @Test
        fun `a part of a head on an idle connection ends its use`() {
            for (length in listOf(1, 5, 12, 60)) {
                val part = head(200, "a").take(length)
                val scripted = Scripted(answer("x"), later = part)
                fixture.withUpstream({ scripted }) {
                    repeat(2) { _ ->
                        assertIs<SendEnd.Whole>(withTimeout(TIMEOUT_MILLIS) { fixture.send(it) })
                        delay(scripted.laterMillis + RECYCLE_MILLIS)
                    }
                    assertEquals(2, it.connections.get(), part)
                }
            }
        }

        // As above, where it arrives together with the end of the answer before it.
        @Test
        fun `a part of a head behind an answer ends the use of its connection`() {
            for (length in listOf(1, 5, 12, 60)) {
                val part = head(200, "a").take(length)
                fixture.withUpstream({ Scripted(answer("x") + part) }) {
                    repeat(2) { _ ->
                        assertIs<SendEnd.Whole>(withTimeout(TIMEOUT_MILLIS) { fixture.send(it) })
                        delay(RECYCLE_MILLIS)
                    }
                    assertEquals(2, it.connections.get(), part)
                }
            }
        }
    }

    @Nested
    inner class Calls {
        private val accepted = "HTTP/1.1 202 Accepted\r\nDate: Sun, 06 Dec 2026 01:00:00 GMT\r\n" +
            "Content-Type: application/json\r\nContent-Length: 0\r\n"
        private val refused =
            "HTTP/1.1 503 Unavailable\r\nContent-Type: application/json\r\nContent-Length: 0\r\n\r\n"

        private suspend fun order(api: HttpRunnerApi, to: ScriptedUpstream) = api.order(
            fixture.upstream(to.port).entry,
            RunnerOrder.Load("m"),
            OrderAuthority("h", 1),
            expectedOrderCount = 0
        ) { true }

        private fun api() =
            HttpRunnerApi(fixture.vertx, TIMEOUT_MILLIS, ByteBudget(100_000), onLeaving = {})

        // Guards against an order that is refused and recorded as accepted.
        @Test
        fun `a refused order after a part of another head is never accepted`() {
            val api = api()
            val wrong = partsOf(accepted).filter { part ->
                fixture.withUpstream({ Scripted(part + refused) }) {
                    order(api, it) == OrderReply.Accepted
                }
            }
            assertEquals(emptyList(), wrong)
        }

        // As above, for the calls of the store, of which a failed transaction may be believed.
        @Test
        fun `a refused call after a part of another head is never a success`() {
            val wrong = partsOf(accepted).filter { part ->
                fixture.withUpstream({ Scripted(part + refused) }) {
                    val http = PlatformHttp(fixture.vertx, HttpTarget("127.0.0.1", it.port), 1_000)
                    val outcome = http.send(HttpCall("POST", "/rows"))
                    http.close()
                    outcome is HttpOutcome.Answer && outcome.status != 503
                }
            }
            assertEquals(emptyList(), wrong)
        }

        // Guards against an order that is answered by a copy of the answer to the one before, which
        // arrives when it has been written.
        @Test
        fun `the copy of an order's answer does not answer the next order`() {
            val api = api()
            val ok = "$accepted\r\n"
            val orders = AtomicInteger()
            val answers = { number: Int ->
                val answer = if (orders.incrementAndGet() == 1) ok else refused
                Scripted(if (number == 1) answer else ok + answer)
            }
            fixture.withUpstream(answers) {
                assertEquals(OrderReply.Accepted, order(api, it))
                delay(RECYCLE_MILLIS)
                assertIs<OrderReply.Rejected>(order(api, it))
            }
        }

        // Guards against an order that is answered by a copy of the answer to the one before.
        @Test
        fun `the copy of an order's answer on an idle connection answers no other order`() {
            val api = api()
            val ok = "$accepted\r\n"
            val first = Scripted(ok, later = ok)
            fixture.withUpstream({ if (it == 1) first else Scripted(refused) }) {
                assertEquals(OrderReply.Accepted, order(api, it))
                delay(first.laterMillis + RECYCLE_MILLIS)
                assertEquals(OrderReply.Accepted, order(api, it))
                assertEquals(2, it.connections.get())
            }
        }
    }

    private companion object {
        const val RECYCLE_MILLIS = 30L
        const val TIMEOUT_MILLIS = 5_000L
    }
}
