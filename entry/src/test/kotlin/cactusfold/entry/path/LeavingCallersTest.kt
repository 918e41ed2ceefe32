package cactusfold.entry.path

import cactusfold.platform.standin.AnswerShape
import cactusfold.platform.standin.BodyFraming
import cactusfold.platform.standin.CallEnd
import cactusfold.platform.standin.CallerConnection
import cactusfold.platform.standin.RawRequest
import cactusfold.platform.standin.RunnerStandin
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

/** Callers that end their output, or leave, before, while and after their requests run. */
class LeavingCallersTest {
    private val fixture = EntryFixture()
    private val threads = Executors.newCachedThreadPool()

    /** What a request does when its caller leaves. */
    private enum class State(
        val path: String,
        val model: String? = null,
        val leavesAfterMillis: Long = 300,
        val isBegun: Boolean = false
    ) {
        WAITS_FOR_MODEL("/draft/x", "cold"),
        RUNS("/look/late"),
        RUNS_ONCE("/book/late"),
        STREAM_RUNS("/draft/late", "warm"),
        STREAMS("/draft/slow", "warm", isBegun = true),
        ANSWERED("/look/soon", leavesAfterMillis = 1_000)
    }

    private enum class Before { NOTHING, ANSWER, REQUEST }

    private data class Case(val state: State, val before: Before, val version: String = "HTTP/1.1")

    private val cases = State.entries.flatMap { state ->
        Before.entries.map { Case(state, it) } + Case(state, Before.NOTHING, "HTTP/1.0")
    }

    private inner class Call(val case: Case) {
        private val requests = List(if (case.before == Before.REQUEST) 2 else 1) {
            RawRequest(case.state.path, case.state.model, version = case.version)
        }
        private val connection = CallerConnection(fixture.callers)
        private val ids = requests.map { it.id }
        private var leftAtNanos = 0L

        fun send() {
            if (case.before == Before.ANSWER) {
                assertIs<CallEnd.Answered>(connection.call("/look/soon"))
            }
            connection.write(requests.joinToString(""))
            if (case.state.isBegun) connection.awaitBeginning()
            Thread.sleep(case.state.leavesAfterMillis)
        }

        fun leave(action: CallerConnection.() -> Unit) {
            leftAtNanos = System.nanoTime()
            connection.action()
        }

        /** Why the ends of the requests are wrong; null if each has its answer or a refusal. */
        fun problemOfEnds(runners: List<RunnerStandin>): String? {
            val ends = requests.map { connection.receive() }
            connection.close()
            val ran = runners.flatMap { it.ran }.map { it.id }
            val isRight = ends.zip(ids).all { (end, id) ->
                val isProbed = case.version == "HTTP/1.1" || case.state.isBegun
                when ((end as? CallEnd.Answered)?.status) {
                    200 -> true
                    502 -> !isProbed
                    503 -> (!isProbed || case.state == State.WAITS_FOR_MODEL) && id !in ran
                    else -> false
                }
            }
            return "$case: $ends".takeUnless { isRight }
        }

        /** Why the work for a caller who left lasted too long; null if it did not. */
        fun problemOfWork(runners: List<RunnerStandin>): String? {
            val late = runners.flatMap { it.ran }.filter { it.id in ids }.mapNotNull {
                val endedAtNanos = it.endedAtNanos ?: System.nanoTime()
                val afterMillis = TimeUnit.NANOSECONDS.toMillis(endedAtNanos - leftAtNanos)
                afterMillis.takeIf { millis -> millis > GONE_MILLIS }
            }
            return "$case: work until $late ms after the caller left".takeIf { late.isNotEmpty() }
        }
    }

    private fun start(): List<RunnerStandin> {
        val engines = List(10) { fixture.runner("e-$it", "engine", setOf("warm")) }
        val desks = List(10) { fixture.runner("d-$it", "desk") }
        fixture.start()
        return (engines + desks).onEach { runner ->
            runner.loadMillis = 500
            runner.shapeOf = { request ->
                when {
                    request.path().endsWith("/late") -> AnswerShape(1_500)
                    request.path() == "/draft/slow" ->
                        AnswerShape(events = 3, eventDelayMillis = 1_000)
                    else -> AnswerShape()
                }
            }
        }
    }

    private fun <A> inParallel(calls: List<Call>, action: (Call) -> A): List<A> =
        calls.map { CompletableFuture.supplyAsync({ action(it) }, threads) }.map { it.get() }

    private fun assertWorkEnds(action: CallerConnection.() -> Unit) {
        val runners = start()
        val calls = cases.map(::Call)
        inParallel(calls) {
            it.send()
            it.leave(action)
        }
        Thread.sleep(2_500)
        val problems = calls.mapNotNull { it.problemOfWork(runners) }
        assertTrue(problems.isEmpty(), problems.joinToString("\n"))
    }

    @AfterEach
    fun close() {
        threads.shutdownNow()
        fixture.close()
    }

    @Nested
    inner class HalfClose {
        // Guards against the end of a caller's output that counts as its leaving.
        @Test
        fun `each whole request is answered after its caller has ended its output`() {
            val runners = start()
            val calls = cases.filter { it.state != State.ANSWERED }.map(::Call)
            val problems = inParallel(calls) {
                it.send()
                it.leave(CallerConnection::endOutput)
                it.problemOfEnds(runners)
            }.filterNotNull()
            assertTrue(problems.isEmpty(), problems.joinToString("\n"))
        }

        // Guards against connections of callers that have ended their output and stay open.
        @Test
        fun `a connection is closed after its last answer`() {
            start()
            CallerConnection(fixture.callers).use { connection ->
                connection.write("${RawRequest("/look/x")}${RawRequest("/look/x")}")
                connection.endOutput()
                repeat(2) {
                    assertEquals(200, assertIs<CallEnd.Answered>(connection.receive()).status)
                }
                Thread.sleep(500)
                assertTrue(connection.isClosedByPeer())
            }
        }

        // Guards against a body that cannot become whole and keeps its connection.
        @Test
        fun `a connection that ends within a body is closed`() {
            val runners = start()
            for (framing in listOf(BodyFraming.LENGTH, BodyFraming.CHUNKED)) {
                CallerConnection(fixture.callers).use { connection ->
                    connection.write("${RawRequest("/look/x", framing = framing)}".dropLast(3))
                    connection.endOutput()
                    val end = assertIs<CallEnd.Cut>(connection.receive())
                    assertTrue(end.afterMillis < 1_000, "$end")
                }
            }
            assertEquals(emptyList(), runners.flatMap { it.ran })
        }

        // Guards against a caller who ended its output first and left later.
        @Test
        fun `the work ends for a caller who leaves after it has ended its output`() {
            assertWorkEnds {
                endOutput()
                Thread.sleep(250)
                close()
            }
        }
    }

    @Nested
    inner class Leaving {
        // Guards against upstreams that work for callers who will never read.
        @Test
        fun `the work ends soon after the caller has closed its connection`(): Unit =
            assertWorkEnds(CallerConnection::close)

        @Test
        fun `the work ends soon after the caller has reset its connection`(): Unit =
            assertWorkEnds(CallerConnection::reset)
    }

    private companion object {
        const val GONE_MILLIS = 500L
    }
}
