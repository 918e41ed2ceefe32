package cactusfold.entry.passing

import cactusfold.entry.path.EntryFixture.Companion.eventually
import cactusfold.platform.standin.AnswerShape
import cactusfold.platform.standin.HeaderNames
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

/** Requests at an entry process that reaches no upstream, while its peers may. */
class PassingPathTest {
    private val fixture = PassingFixture()
    private val desk = fixture.platform.runner("d-1", "desk")
    private val engine = fixture.platform.runner("e-1", "engine", setOf("warm"))

    private fun cutMember(vm: String = "vm1", ratePerSecond: Int = 0) =
        fixture.member(vm, ratePerSecond = ratePerSecond).also { it.isCut = true }

    /** Sends a request to [port] with [headers] beside those that all have. */
    private fun send(port: Int, path: String, vararg headers: Pair<String, String>) =
        HttpClient.newHttpClient().send(
            HttpRequest.newBuilder(URI("http://127.0.0.1:$port$path"))
                .header(HeaderNames.REQUEST_ID, "r-1")
                .header(HeaderNames.CREDENTIAL, "key-1")
                .apply { headers.forEach { (name, value) -> header(name, value) } }
                .POST(HttpRequest.BodyPublishers.ofString("{}")).build(),
            HttpResponse.BodyHandlers.ofString()
        )

    private val callerThreads = Executors.newCachedThreadPool()

    @AfterEach
    fun stop() {
        callerThreads.shutdownNow()
        fixture.close()
    }

    @Nested
    inner class ThroughAPeer {
        @Test
        fun `a request is answered with the runner's status and seal`() {
            val cut = cutMember()
            fixture.member("vm2")
            val answer = cut.caller.call("/look/x")
            assertEquals(200 to desk.plainBody, answer.statusCode() to answer.body())
            assertEquals(1, cut.caller.sealCount(answer))
            val ran = desk.ran.single()
            assertEquals("w" to null, ran.workspace to ran.key)
            assertTrue(ran.requestTimeoutMillis!! in 3_000..3_980, "${ran.requestTimeoutMillis}")
            assertContains(cut.metrics(), PASSED_ON)
        }

        @Test
        fun `a runner's error is relayed as it is`() {
            desk.shapeOf = { AnswerShape(0, fails = true) }
            val cut = cutMember()
            fixture.member("vm2")
            assertEquals(500, cut.caller.call("/book/x").statusCode())
            assertEquals(1, desk.ran.size)
        }

        @Test
        fun `the events of a stream arrive in order and as they are sent`() {
            val cut = cutMember()
            fixture.member("vm2")
            engine.shapeOf = { AnswerShape(0, events = 6, eventDelayMillis = 200) }
            val request = HttpRequest.newBuilder(
                URI("http://127.0.0.1:${cut.callersPort}/draft/x")
            ).header(HeaderNames.REQUEST_ID, "s-1").header(HeaderNames.CREDENTIAL, "key-1")
                .header(HeaderNames.MODEL, "warm").header(HeaderNames.TOKEN_USAGE, "10,10")
                .POST(HttpRequest.BodyPublishers.ofString("{}")).build()
            val answer = HttpClient.newHttpClient()
                .send(request, HttpResponse.BodyHandlers.ofLines())
            val arrivals = mutableListOf<Pair<String, Long>>()
            answer.body().filter { it.startsWith("id: ") }
                .forEach { arrivals += it to System.nanoTime() }
            assertEquals((1..6).map { "id: $it" }, arrivals.map { it.first })
            val tookMillis =
                TimeUnit.NANOSECONDS.toMillis(arrivals.last().second - arrivals.first().second)
            assertTrue(tookMillis >= 700, "all came within $tookMillis ms")
            assertEquals(listOf("seal-e-1"), answer.headers().allValues(SEAL))
        }

        @Test
        fun `a stream goes on after the event that its caller names`() {
            val cut = cutMember()
            fixture.member("vm2")
            cut.isCut = false
            val whole = cut.caller.call("/draft/x", model = "warm")
            val id = whole.request().headers().firstValue(HeaderNames.REQUEST_ID).get()
            cut.isCut = true
            val rest = cut.caller.call("/draft/x", model = "warm", resumes = id to 3)
            assertEquals(200, rest.statusCode(), rest.body())
            assertEquals(
                listOf("id: 4", "id: 5", "id: 6"),
                rest.body().lines().filter { it.startsWith("id: ") }
            )
        }

        // Guards against requests that wait for the end of a cut although they could be served.
        @Test
        fun `a cut peer is left for another one`() {
            val cut = cutMember()
            cutMember("vm2")
            fixture.member("vm3")
            repeat(8) { assertEquals(200, cut.caller.call("/book/x").statusCode()) }
            assertEquals(8, desk.ran.size)
        }

        @Test
        fun `a peer without a listener is left for another one`() {
            val cut = cutMember()
            fixture.register("vm0", 1)
            fixture.member("vm2")
            repeat(4) { assertEquals(200, cut.caller.call("/book/x").statusCode()) }
            assertEquals(4, desk.ran.size)
        }

        @Test
        fun `a process that is no longer cut serves requests itself`() {
            val cut = cutMember()
            assertEquals(503, cut.caller.call("/look/x").statusCode())
            cut.isCut = false
            assertEquals(200, cut.caller.call("/look/x").statusCode())
        }
    }

    @Nested
    inner class AtMostOnce {
        @Test
        fun `a request whose peer closes without an answer is not sent again`() {
            val cut = cutMember()
            RawPeer { "" }.use { closing ->
                fixture.register("vm0", closing.port)
                val answer = cut.caller.call("/book/x")
                assertEquals(502 to "peer-failed\n", answer.statusCode() to answer.body())
                assertEquals(1, closing.heads.size)
                assertEquals("vm1", RawPeer.headerOf(closing.heads.single(), PASSED_BY))
                assertEquals(0, desk.ran.size)
            }
        }

        @Test
        fun `a success without a seal does not reach the caller`() {
            val cut = cutMember()
            RawPeer { "HTTP/1.1 200 OK\r\n$ID: $it\r\nContent-Length: 2\r\n\r\nok" }.use {
                fixture.register("vm0", it.port)
                assertEquals(502, cut.caller.call("/book/x").statusCode())
            }
        }

        // Guards against a stream that passes as complete although its peer was lost.
        @Test
        fun `a stream whose peer closes midway is cut`() {
            val cut = cutMember()
            val peer = RawPeer { id ->
                val event = "id: 1\ndata: a\n\n"
                "HTTP/1.1 200 OK\r\n$ID: $id\r\n$SEAL: s\r\nContent-Type: text/event-stream\r\n" +
                    "Transfer-Encoding: chunked\r\n\r\n${event.length.toString(16)}\r\n$event\r\n"
            }
            peer.use {
                fixture.register("vm0", it.port)
                assertFailsWith<IOException> { cut.caller.call("/draft/x", model = "warm") }
            }
        }

        @Test
        fun `a caller who leaves ends the run behind the peer`() {
            val cut = cutMember()
            fixture.member("vm2")
            desk.answerDelayMillis = 3_000
            val client = HttpClient.newHttpClient()
            val call = client.sendAsync(
                HttpRequest.newBuilder(URI("http://127.0.0.1:${cut.callersPort}/book/x"))
                    .header(HeaderNames.REQUEST_ID, "l-1")
                    .header(HeaderNames.CREDENTIAL, "key-1").build(),
                HttpResponse.BodyHandlers.ofString()
            )
            eventually("not run") { desk.ran.size == 1 }
            call.cancel(true)
            eventually("still running") { cut.running() == 0 && peerRunning() == 0 }
        }

        private fun PassingFixture.Member.running(): Int =
            metrics().first { it.startsWith("cactusfold_requests_running ") }
                .substringAfter(' ').toDouble().toInt()

        private fun peerRunning(): Int = fixture.members.last().running()
    }

    @Nested
    inner class Refusals {
        // Guards against requests that are refused, though their upstreams are back in time.
        @Test
        fun `a request stays at its process when all processes are cut`() {
            val cut = cutMember()
            cutMember("vm2")
            cutMember("vm3")
            val startedAtNanos = System.nanoTime()
            val answer = cut.caller.call("/book/x")
            val tookMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAtNanos)
            assertEquals(200, answer.statusCode())
            assertNull(answer.headers().firstValue(PASS_REFUSED).orElse(null))
            assertTrue(tookMillis < 1_000, "answered after $tookMillis ms")
            assertEquals(1, desk.ran.size)
        }

        @Test
        fun `a peer is found behind four that are cut`() {
            val cut = cutMember()
            (2..5).forEach { cutMember("vm$it") }
            fixture.member("vm6")
            repeat(5) { assertEquals(200, cut.caller.call("/book/x").statusCode()) }
            assertEquals(5, desk.ran.size)
        }

        // Guards against requests that go around among processes that are all cut.
        @Test
        fun `a request that was passed on is not passed on again`() {
            cutMember("vm1")
            val second = cutMember("vm2")
            fixture.member("vm3")
            val answer = send(second.passingPort, "/look/x", PASSED_BY to "vm1")
            assertEquals(503 to "$REFUSED\n", answer.statusCode() to answer.body())
            assertEquals(REFUSED, answer.headers().firstValue(PASS_REFUSED).get())
            assertEquals(503, send(second.passingPort, "/look/x").statusCode())
            assertEquals(0, desk.ran.size)
        }

        // Guards against a cut VM that leaves all of its requests to one peer that is slow.
        @Test
        fun `what exceeds the most requests at one peer is refused at once as not run`() {
            val cut = cutMember()
            val answering = CountDownLatch(1)
            val peer = RawPeer {
                answering.await()
                ""
            }
            peer.use {
                fixture.register("vm0", it.port)
                val calls = List(MANY) {
                    CompletableFuture.supplyAsync({ cut.caller.call("/book/x") }, callerThreads)
                }
                eventually("not refused") { calls.count { call -> call.isDone } >= MANY - MOST }
                eventually("not passed on") { peer.heads.size == MOST }
                val refused = calls.filter { call -> call.isDone }.map { call -> call.get() }
                assertEquals(List(MANY - MOST) { 503 }, refused.map { it.statusCode() })
                assertEquals(setOf("$REFUSED\n"), refused.map { it.body() }.toSet())
                answering.countDown()
                assertEquals(MOST, calls.count { call -> call.get().statusCode() == 502 })
            }
        }

        @Test
        fun `callers cannot claim that their request was passed on`() {
            val cut = cutMember()
            fixture.member("vm2")
            assertEquals(200, send(cut.callersPort, "/look/x", PASSED_BY to "vm9").statusCode())
            cut.isCut = false
            assertEquals(200, send(cut.callersPort, "/look/x", PASSED_BY to "vm9").statusCode())
            assertFalse(cut.metrics().any { it.startsWith("cactusfold_requests_taken") })
        }

        @Test
        fun `an unknown key is refused by the peer`() {
            val cut = cutMember()
            fixture.member("vm2")
            assertEquals(401, cut.caller.call("/look/x", key = "key-9").statusCode())
            assertEquals(0, desk.ran.size)
        }

        @Test
        fun `a stopping peer refuses what is passed on`() {
            val cut = cutMember()
            val peer = fixture.member("vm2")
            desk.answerDelayMillis = 1_000
            val running = CompletableFuture.supplyAsync { cut.caller.call("/book/x") }
            eventually("not run") { desk.ran.size == 1 }
            peer.stop()
            assertEquals(200, running.get().statusCode())
            assertEquals(503, cut.caller.call("/book/x").statusCode())
            assertEquals(1, desk.ran.size)
        }
    }

    @Nested
    inner class Tokens {
        // Guards against a workspace that loses its allowance to a cut.
        @Test
        fun `the tokens of a request are charged once`() {
            val cut = cutMember(ratePerSecond = RATE)
            fixture.member("vm2")
            Thread.sleep(FILL_MILLIS)
            var status = 0
            val firstMillis = tookMillis { status = emptyBucket(cut.callersPort) }
            assertEquals(200, status)
            assertTrue(firstMillis < QUICK_MILLIS, "waited for $firstMillis ms")
            val secondMillis = tookMillis { status = emptyBucket(cut.callersPort) }
            assertFalse(status == 200 && secondMillis < QUICK_MILLIS, "nothing was charged")
        }

        /** Sends a request that takes all that a full bucket holds, and returns the status. */
        private fun emptyBucket(port: Int): Int =
            send(port, "/look/x", HeaderNames.TOKEN_USAGE to "0,$RATE").statusCode()

        private fun tookMillis(action: () -> Unit): Long {
            val startedAtNanos = System.nanoTime()
            action()
            return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAtNanos)
        }
    }

    private companion object {
        const val MANY = 90
        const val MOST = PeerSender.MAX_REQUESTS_PER_PEER
        const val RATE = 20

        /** Longer than the bucket of the workspace takes to fill. */
        const val FILL_MILLIS = 2_000L

        /** Half of the time in which an empty bucket fills. */
        const val QUICK_MILLIS = 500L
        const val PASSED_BY = HeaderNames.PASSED_BY
        const val PASS_REFUSED = HeaderNames.PASS_REFUSED
        const val SEAL = HeaderNames.RESPONSE_SEAL
        const val ID = HeaderNames.REQUEST_ID
        const val REFUSED = "no-upstream-reached"
        const val PASSED_ON = "cactusfold_requests_passed_on_total{outcome=\"answered\"} 1.0"
    }
}
