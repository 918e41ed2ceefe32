package cactusfold.entry.callers

import cactusfold.decisions.residency.RunnerOrder
import cactusfold.entry.callers.StatusLines.framed
import cactusfold.entry.process.EventLog
import cactusfold.entry.residency.OrderDependencies
import cactusfold.entry.residency.OrderResult
import cactusfold.entry.residency.RunnerOrderClient
import cactusfold.entry.residency.boundsWith
import cactusfold.platform.HttpRunnerApi
import cactusfold.platform.HttpTableStore
import cactusfold.platform.standin.AnswerFraming
import cactusfold.platform.standin.ScriptedUpstream
import cactusfold.platform.standin.ScriptedUpstream.Companion.answer
import cactusfold.platform.standin.ScriptedUpstream.Scripted
import cactusfold.ports.http.ByteBudget
import cactusfold.ports.http.HttpTarget
import cactusfold.ports.http.PlatformHttp
import cactusfold.ports.serving.OrderAuthority
import cactusfold.ports.serving.OrderReply
import cactusfold.ports.table.FeedResult
import cactusfold.ports.table.ReadResult
import cactusfold.ports.table.RowKey
import cactusfold.ports.table.RowWrite
import cactusfold.ports.table.WriteResult
import com.google.protobuf.ByteString
import io.vertx.kotlin.coroutines.dispatcher
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

/** Servers in trouble, whose answers are whole and proper but for their status. */
class StatusLineTest {
    private val fixture = UpstreamFixture()

    @AfterEach
    fun close(): Unit = fixture.close()

    /** One answer with a status line and a framing, which ends its connection if it has to. */
    private class Case(val line: String, val framing: AnswerFraming, head: String, body: String) {
        val scripted = Scripted(
            "$line\r\n" + framed(head, framing, body),
            closes = framing == AnswerFraming.CONNECTION_CLOSE
        )

        override fun toString(): String = "$line, $framing"
    }

    private fun casesOf(lines: List<String>, head: String, body: String): List<Case> =
        lines.flatMap { line -> AnswerFraming.entries.map { Case(line, it, head, body) } }

    /**
     * Returns the [cases] in which [send] has another end than [isRight] demands, or in which its
     * connection is used again. Each connection brings [before] first, if it is not null, and two
     * of them are looked at.
     */
    private fun <T> wrongOf(
        cases: List<Case>,
        before: Scripted?,
        send: suspend (ScriptedUpstream) -> T,
        isRight: (T) -> Boolean
    ): List<String> = runBlocking(fixture.vertx.orCreateContext.dispatcher()) {
        cases.chunked(CONCURRENT).flatMap { some ->
            some.map { async { findWrong(it, before, send, isRight) } }.awaitAll().filterNotNull()
        }
    }

    private suspend fun <T> findWrong(
        case: Case,
        before: Scripted?,
        send: suspend (ScriptedUpstream) -> T,
        isRight: (T) -> Boolean
    ): String? {
        val scripts = listOfNotNull(before) + case.scripted
        val found = mutableListOf<Any?>()
        ScriptedUpstream { scripts.getOrElse(it - 1) { _ -> case.scripted } }.use { upstream ->
            for (connection in 1..2) {
                if (before != null) {
                    withTimeout(TIMEOUT_MILLIS) { send(upstream) }
                    delay(RECYCLE_MILLIS)
                }
                val end = withTimeoutOrNull(TIMEOUT_MILLIS) { send(upstream) }
                if (end == null || !isRight(end)) found += end
                if (upstream.connections.get() != connection) {
                    found += "${upstream.connections.get()} connections for $connection"
                }
                delay(RECYCLE_MILLIS)
            }
        }
        return if (found.isEmpty()) null else "$case: $found"
    }

    @Nested
    inner class Requests {
        private val head = answer("", isDelimited = false).substringAfter("\r\n")
            .removeSuffix("\r\n")
        private val refusal = "${head}Cactusfold-Not-Executed: 1\r\n"

        private fun wrong(head: String, before: Scripted?): List<String> =
            wrongOf(casesOf(StatusLines.ALL, head, "y"), before, { fixture.send(it) }) {
                it is SendEnd.Broken
            }

        // Guards against a status of no meaning that the caller gets, on a new connection.
        @Test
        fun `an answer without a proper status is none`() =
            assertEquals(emptyList(), wrong(head, before = null))

        // As above, on a connection that has brought an answer before.
        @Test
        fun `an answer without a proper status is none on a kept connection`() =
            assertEquals(emptyList(), wrong(head, Scripted(answer("x"))))

        // Guards against a request that runs twice, since such an answer says that it did not run.
        @Test
        fun `a refusal without a proper status is none`() =
            assertEquals(emptyList(), wrong(refusal, before = null))

        // As above, on a connection that has brought an answer before.
        @Test
        fun `a refusal without a proper status is none on a kept connection`() =
            assertEquals(emptyList(), wrong(refusal, Scripted(answer("x"))))

        // Guards against an interim status that is taken for the answer, or spoils it.
        @Test
        fun `an answer after an interim one is whole with its own status`() {
            for (interim in StatusLines.INTERIM) {
                for (status in listOf(200, 500)) {
                    val answers = listOf(answer("x"), interim + answer("y", status = status))
                    fixture.withUpstream({ Scripted(answers[it - 1]) }) {
                        assertIs<SendEnd.Whole>(fixture.send(it))
                        delay(RECYCLE_MILLIS)
                        val end = assertIs<SendEnd.Whole>(fixture.send(it), interim)
                        assertEquals(status to "y", end.start.status to end.body.toString())
                        assertEquals(1, it.connections.get())
                    }
                }
            }
        }
    }

    @Nested
    inner class Orders {
        private val head = "Content-Type: application/json\r\n"
        private val report = """{"born":1,"models":[],"busy":false,"seq":0}"""

        private fun api() =
            HttpRunnerApi(fixture.vertx, TIMEOUT_MILLIS, ByteBudget(100_000), onLeaving = {})

        private suspend fun order(api: HttpRunnerApi, to: ScriptedUpstream) = api.order(
            fixture.upstream(to.port).entry,
            RunnerOrder.Load("m"),
            OrderAuthority("h", 1),
            expectedOrderCount = 0
        ) { true }

        // Guards against an order that counts as accepted or refused by an answer that is none.
        @Test
        fun `an order whose answer has no proper status has an unknown end`() {
            val api = api()
            val wrong = wrongOf(casesOf(StatusLines.ALL, head, "{}"), null, { order(api, it) }) {
                it is OrderReply.Unknown
            }
            assertEquals(emptyList(), wrong)
        }

        // Guards against a report that an answer brings which is none.
        @Test
        fun `a report without a proper status is none`() {
            val api = api()
            val cases = casesOf(StatusLines.ALL, head, report)
            for (before in listOf(null, Scripted(answer(report)))) {
                // Null would be the lack of an end here.
                val wrong = wrongOf(
                    cases,
                    before,
                    { listOf(api.report(fixture.upstream(it.port).entry).reportOrNull) }
                ) { it == listOf(null) }
                assertEquals(emptyList(), wrong, "$before")
            }
        }

        // Guards against a load that is given up, or counted, by such an answer.
        @Test
        fun `an order without a proper status is sent again until it is accepted`() {
            val accepted = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
            for (line in StatusLines.ORDERS) {
                val answers = listOf(
                    "HTTP/1.1 200 OK\r\nContent-Length: ${report.length}\r\n\r\n$report",
                    "$line\r\nContent-Length: 0\r\n\r\n",
                    accepted
                )
                val requests = AtomicInteger()
                fixture.withUpstream({ Scripted(answers[requests.getAndIncrement()]) }) {
                    val client = clientOf(it)
                    client.sync()
                    val result = client.send(RunnerOrder.Load("m"), boundsWith("m"))
                    assertEquals(OrderResult.ACCEPTED, result, line)
                }
                assertEquals(answers.size, requests.get(), line)
            }
        }

        private fun clientOf(scripted: ScriptedUpstream): RunnerOrderClient {
            val clock = { System.nanoTime() / 1_000_000 }
            val authority = { OrderAuthority("vm", 1) }
            val dependencies = OrderDependencies(
                orders = api(),
                requestsPerSecondOf = { null },
                onRequest = {},
                clock = clock,
                events = EventLog("vm", clock, 1_000),
                authority = authority,
                mayOrder = { true }
            )
            return RunnerOrderClient(fixture.upstream(scripted.port), dependencies)
        }
    }

    @Nested
    inner class StoreCalls {
        private val head = "Content-Type: application/json\r\nStore-Era: 1\r\n"
        private val body = """{"rows":[],"has-more":false,"ver":7,"now-ms":1}"""
        private val whole = Scripted("HTTP/1.1 200 OK\r\n" + framed(head, FRAMING, body))
        private val key = RowKey("t", "k")

        private fun <T> wrong(
            call: suspend (HttpTableStore) -> T,
            isRight: (T) -> Boolean
        ): List<String> = listOf(null, whole).flatMap { before ->
            wrongOf(casesOf(StatusLines.ALL, head, body), before, { call(storeAt(it)) }, isRight)
        }

        /** The store's client, which keeps its connections to one port. */
        private val clients = HashMap<Int, HttpTableStore>()

        private fun storeAt(scripted: ScriptedUpstream) = clients.getOrPut(scripted.port) {
            val target = HttpTarget("127.0.0.1", scripted.port)
            HttpTableStore(PlatformHttp(fixture.vertx, target, TIMEOUT_MILLIS))
        }

        // Guards against a write that counts as made or refused by an answer that is none.
        @Test
        fun `a write whose answer has no proper status has an unknown end`() {
            val writes = listOf(RowWrite.Insert(key, ByteString.EMPTY))
            assertEquals(emptyList(), wrong({ it.write(writes) }) { it is WriteResult.Unknown })
        }

        // Guards against rows that are missing by an answer that is none.
        @Test
        fun `a read whose answer has no proper status found nothing out`() =
            assertEquals(emptyList(), wrong({ it.get(key) }) { it is ReadResult.Unavailable })

        // Guards against changes that are none, and history that is gone.
        @Test
        fun `a feed whose answer has no proper status brings nothing`() = assertEquals(
            emptyList(),
            wrong({ it.changes("t", 1, waitMillis = 100) }) { it is FeedResult.Unavailable }
        )
    }

    private companion object {
        val FRAMING = AnswerFraming.LENGTH
        const val CONCURRENT = 32
        const val RECYCLE_MILLIS = 30L
        const val TIMEOUT_MILLIS = 5_000L
    }
}
