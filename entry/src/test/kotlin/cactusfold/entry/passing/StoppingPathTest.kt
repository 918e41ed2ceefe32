package cactusfold.entry.passing

import cactusfold.entry.path.EntryFixture.Companion.eventually
import cactusfold.platform.standin.AnswerShape
import cactusfold.platform.standin.CallEnd
import cactusfold.platform.standin.CallerConnection
import cactusfold.platform.standin.HeaderNames
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ExecutorService
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

/** Requests at an entry process that was told to stop, while its peers serve. */
class StoppingPathTest {
    private val fixture = PassingFixture()
    private val desk = fixture.platform.runner("d-1", "desk")
    private val engine = fixture.platform.runner("e-1", "engine", setOf("warm"))
    private val threads: ExecutorService = Executors.newCachedThreadPool()
    private val connections = mutableListOf<CallerConnection>()

    init {
        fixture.platform.operator.timeoutMillis = LIMIT_MILLIS
    }

    private fun connect(member: PassingFixture.Member) =
        CallerConnection(member.callersPort).also { connections += it }

    private fun <T> async(call: () -> T): CompletableFuture<T> =
        CompletableFuture.supplyAsync(call, threads)

    /** Tells [member] to stop while a stream keeps it from ending for [keptMillis]. */
    private fun stop(member: PassingFixture.Member, keptMillis: Long = KEPT_MILLIS) {
        engine.shapeOf = { AnswerShape(0, events = 2, eventDelayMillis = keptMillis) }
        val runs = engine.ran.size
        val kept = connect(member).also { it.send("/draft/x", "warm", LIMIT_MILLIS) }
        eventually("not sent") { engine.ran.size > runs }
        engine.shapeOf = { AnswerShape(0) }
        async { kept.receive() }
        async { member.stop() }
    }

    @AfterEach
    fun stop() {
        connections.forEach(CallerConnection::close)
        threads.shutdownNow()
        fixture.close()
    }

    @Nested
    inner class KeptConnections {
        // Guards against refusals of what a peer would serve.
        @Test
        fun `what arrives when the process takes nothing more is served by a peer, once`() {
            val stopping = fixture.member("vm1")
            fixture.member("vm2")
            val kept = List(3) { connect(stopping) }
            stop(stopping)
            Thread.sleep(REFUSING_MILLIS)
            val answered = CallEnd.Answered(200, desk.plainBody, closes = true)
            assertEquals(answered, kept[0].call("/look/x"))
            assertEquals(answered, kept[1].call("/book/x"))
            assertEquals(2, desk.ran.size)
            kept[2].send("/draft/x", "warm", timeoutMillis = 3_000)
            val stream = kept[2].receive() as CallEnd.Answered
            assertEquals(200, stream.status)
            assertContains(stopping.metrics(), "${PASSED_ON}answered\"} 2.0")
        }

        // Guards against requests that go around among processes that all stop.
        @Test
        fun `a peer that stops as well refuses, and the request did not run`() {
            val stopping = fixture.member("vm1")
            val peer = fixture.member("vm2")
            val kept = connect(stopping)
            stop(peer)
            stop(stopping)
            Thread.sleep(REFUSING_MILLIS)
            assertRefusedAtOnce(kept)
            assertContains(stopping.metrics(), "${PASSED_ON}stopping-no-peer\"} 1.0")
        }

        @Test
        fun `without a peer a request is refused at once`() {
            val stopping = fixture.member("vm1")
            val kept = connect(stopping)
            stop(stopping)
            Thread.sleep(REFUSING_MILLIS)
            assertRefusedAtOnce(kept)
        }

        // Guards against a second run of a request whose answer could not come back.
        @Test
        fun `a request whose answer would come after the end is refused and does not run`() {
            val stopping = fixture.member("vm1")
            fixture.member("vm2")
            val kept = connect(stopping)
            stop(stopping, keptMillis = 8_000)
            Thread.sleep(LATE_MILLIS)
            assertRefusedAtOnce(kept)
            assertContains(stopping.metrics(), "${PASSED_ON}stopping-too-late\"} 1.0")
        }

        // Guards against a stream that is cut at the end of the process though it came late.
        @Test
        fun `a stream that may not end in time is refused and does not run`() {
            val stopping = fixture.member("vm1")
            fixture.member("vm2")
            val kept = connect(stopping)
            stop(stopping)
            Thread.sleep(REFUSING_MILLIS)
            val ranBefore = engine.ran.size
            kept.send("/draft/x", "warm", LIMIT_MILLIS)
            assertEquals(CallEnd.Answered(503, "stopping\n", closes = true), kept.receive())
            assertEquals(ranBefore, engine.ran.size)
        }

        // Guards against a request that is passed on twice.
        @Test
        fun `what a peer passed on is refused`() {
            val stopping = fixture.member("vm1")
            fixture.member("vm2")
            stop(stopping)
            Thread.sleep(REFUSING_MILLIS)
            CallerConnection(stopping.passingPort).use {
                val refused = CallEnd.Answered(503, "stopping\n", closes = true)
                assertEquals(refused, it.call("/book/x"))
            }
            assertEquals(0, desk.ran.size)
        }

        private fun assertRefusedAtOnce(kept: CallerConnection) {
            val startedAtNanos = System.nanoTime()
            kept.send("/book/x", timeoutMillis = LIMIT_MILLIS)
            assertEquals(CallEnd.Answered(503, "stopping\n", closes = true), kept.receive())
            val tookMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAtNanos)
            assertTrue(tookMillis < 500, "refused after $tookMillis ms")
            assertEquals(0, desk.ran.size)
        }
    }

    @Nested
    inner class Waiting {
        private val member by lazy { fixture.member("vm1") }

        /** A peer that answers at once what this process cannot serve. */
        private val peer = RawPeer {
            "HTTP/1.1 200 OK\r\n${HeaderNames.REQUEST_ID}: $it\r\n" +
                "${HeaderNames.RESPONSE_SEAL}: s\r\nContent-Type: text/event-stream\r\n" +
                "Content-Length: ${EVENT.length}\r\n\r\n$EVENT"
        }

        @AfterEach
        fun close() = peer.close()

        // Guards against requests that wait to the end of a process for what a peer has.
        @Test
        fun `a request that waits for its model is passed on when the process takes no more`() {
            engine.loadMillis = 60_000
            fixture.register("vm0", peer.port)
            val waiting = connect(member)
            waiting.send("/once/x", "cold", LIMIT_MILLIS)
            async { member.stop() }
            assertEquals(CallEnd.Answered(200, EVENT, closes = true), waiting.receive())
            // A stream that is cut by the peer would be cut before the last sixth of the stop.
            val leftMillis =
                RawPeer.headerOf(peer.heads.single(), HeaderNames.DEADLINE_MS)!!.toLong()
            assertTrue(leftMillis in 7_000..LIMIT_MILLIS, "$leftMillis ms left")
        }

        @Test
        fun `a request that no peer takes goes on waiting and is served`() {
            engine.loadMillis = 1_600
            // It coordinates the fleet, and refuses what is passed on to it.
            fixture.member("vm2").isCut = true
            val waiting = connect(member)
            waiting.send("/once/x", "cold", LIMIT_MILLIS)
            eventually("not ordered") { engine.orders.isNotEmpty() }
            async { member.stop(signaledAgoMillis = 1_400) }
            assertEquals(200, (waiting.receive() as CallEnd.Answered).status)
        }

        // Guards against a request that loses its place although it will be answered in time.
        @Test
        fun `a request that ends before the process is not passed on`() {
            engine.loadMillis = 60_000
            fixture.register("vm0", peer.port)
            val waiting = connect(member)
            waiting.send("/once/x", "cold", timeoutMillis = 4_000)
            async { member.stop() }
            assertEquals(503, (waiting.receive() as CallEnd.Answered).status)
            assertEquals(0, peer.heads.size)
        }
    }

    private companion object {
        const val EVENT = "data: a\n\n"
        const val LIMIT_MILLIS = 10_000L

        /** Within the time in which a process that stops takes nothing more. */
        const val REFUSING_MILLIS = 2_800L
        const val KEPT_MILLIS = 4_000L

        /** The target of the routes is a second, and the process closes connections at 6.7 s. */
        const val LATE_MILLIS = 6_000L
        const val PASSED_ON = "cactusfold_requests_passed_on_total{outcome=\""
    }
}
