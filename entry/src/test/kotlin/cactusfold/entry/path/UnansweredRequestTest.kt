package cactusfold.entry.path

import cactusfold.entry.path.EntryFixture.Companion.eventually
import cactusfold.platform.standin.CallEnd
import cactusfold.platform.standin.CallerConnection
import cactusfold.platform.standin.RunnerBehavior
import cactusfold.platform.standin.RunnerStandin
import io.vertx.core.json.JsonObject
import java.util.concurrent.CompletableFuture
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

/** Requests that were read completely get an answer, whatever happens on the way. */
class UnansweredRequestTest {
    @Nested
    inner class IdleTimeout {
        // Guards against an idle timer that closes a connection whose request waits for its answer.
        @Test
        fun `a request that waits longer than the idle timeout is answered`() {
            EntryFixture().use { fixture ->
                fixture.operator.limits = JsonObject().put("idle-timeout-ms", 500)
                val desk = fixture.runner("i-1", "desk")
                fixture.start()
                desk.answerDelayMillis = 1_500
                CallerConnection(fixture.callers).use {
                    assertEquals(200, it.status("/book/x"))
                }
            }
        }

        // Guards against an idle timer that cuts a request which waits for its model while its VM
        // drains.
        @Test
        fun `a request that waits for its model through a stop is answered`() {
            EntryFixture().use { fixture ->
                fixture.operator.limits = JsonObject().put("idle-timeout-ms", 3_000)
                val runner = fixture.runner("i-1", "engine", setOf("warm"))
                fixture.start()
                runner.loadMillis = 60_000
                CallerConnection(fixture.callers).use { connection ->
                    val end = CompletableFuture.supplyAsync { connection.call("/draft/x", "cold") }
                    Thread.sleep(1_000)
                    val stop = CompletableFuture.runAsync { fixture.stop() }
                    val answer = assertIs<CallEnd.Answered>(end.get(), "${end.get()}")
                    assertEquals(503, answer.status)
                    assertTrue(runner.ran.isEmpty())
                    stop.get()
                }
            }
        }

        // Guards against a caller that never reads and holds its answer in memory.
        @Test
        fun `an answer that its caller does not read is cut after the idle timeout`() {
            EntryFixture().use { fixture ->
                fixture.operator.limits = JsonObject().put("idle-timeout-ms", 500)
                val desk = fixture.runner("i-1", "desk")
                desk.answerBytes = 3_500_000
                fixture.start()
                CallerConnection(fixture.callers, receiveBufferBytes = 4_096).use {
                    it.send("/book/x")
                    assertIs<CallEnd.Cut>(it.receive(lateMillis = 3_000))
                }
            }
        }

        // Guards against a limit on the whole time in which an answer is read.
        @Test
        fun `an answer that its caller reads slowly but steadily is sent completely`() {
            EntryFixture().use { fixture ->
                fixture.operator.limits = JsonObject().put("idle-timeout-ms", 500)
                val desk = fixture.runner("i-1", "desk")
                desk.answerBytes = 3_500_000
                fixture.start()
                CallerConnection(fixture.callers, receiveBufferBytes = 4_096).use {
                    it.send("/book/x", timeoutMillis = 20_000)
                    val end = it.receive(readPauseMillis = 4)
                    assertEquals(3_500_000, assertIs<CallEnd.Answered>(end, "$end").body.length)
                }
            }
        }

        @Test
        fun `an idle connection is closed by the timeout of the configuration in force`() {
            EntryFixture().use { fixture ->
                fixture.runner("i-1", "desk")
                fixture.start()
                CallerConnection(fixture.callers).use { connection ->
                    assertEquals(200, connection.status("/look/x"))
                    fixture.operator.limits = JsonObject().put("idle-timeout-ms", 500)
                    fixture.operator.configure(version = 2, keys = listOf("key-1"))
                    val changedAtNanos = System.nanoTime()
                    eventually("still open") { connection.isClosedByPeer() }
                    val openMillis = (System.nanoTime() - changedAtNanos) / 1_000_000
                    assertTrue(openMillis < 5_000, "closed after $openMillis ms")
                }
            }
        }
    }

    @Nested
    inner class StreamRetries {
        private fun withTwoRunners(test: (EntryFixture, RunnerStandin, RunnerStandin) -> Unit) =
            EntryFixture().use { fixture ->
                val first = fixture.runner("i-1", "engine", setOf("warm"))
                val second = fixture.runner("i-2", "engine", setOf("warm"))
                fixture.start()
                test(fixture, first, second)
            }

        // Guards against an error answer that is written into a stream that has begun, which threw
        // and left the connection open without an end.
        @Test
        fun `a stream whose retry is answered with an error is cut at once`() =
            withTwoRunners { fixture, first, second ->
                first.behavior = RunnerBehavior.CLOSES_MID_STREAM
                second.behavior = RunnerBehavior.FAILS
                repeat(6) {
                    CallerConnection(fixture.callers).use { connection ->
                        when (val end = connection.call("/draft/x", "warm")) {
                            is CallEnd.Answered -> assertEquals(500, end.status)
                            is CallEnd.Cut -> assertTrue(end.afterMillis < 1_000, "$end")
                        }
                    }
                }
                assertTrue(first.ran.isNotEmpty())
            }

        // Guards against the headers of a stream that broke before its first event being mixed with
        // those of the answer that the caller gets.
        @Test
        fun `an answer after a stream without events has the headers of one upstream`() =
            withTwoRunners { fixture, first, second ->
                first.behavior = RunnerBehavior.CLOSES_BEFORE_EVENT
                second.behavior = RunnerBehavior.FAILS
                repeat(6) {
                    val answer = fixture.caller.call("/draft/x", model = "warm")
                    val seals = fixture.caller.sealCount(answer)
                    // 502 where the runner that breaks off was the second.
                    assertTrue(answer.statusCode() to seals in setOf(500 to 1, 502 to 0))
                }
                assertTrue(first.ran.isNotEmpty())
            }
    }

    private fun CallerConnection.status(path: String, model: String? = null): Int =
        assertIs<CallEnd.Answered>(call(path, model)).status
}
