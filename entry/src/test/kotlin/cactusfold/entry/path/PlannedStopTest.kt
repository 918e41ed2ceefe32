package cactusfold.entry.path

import cactusfold.platform.standin.CallEnd
import cactusfold.platform.standin.CallerConnection
import cactusfold.platform.standin.RunnerBehavior
import java.net.http.HttpResponse
import java.util.concurrent.CompletableFuture
import kotlin.system.measureTimeMillis
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue
import org.junit.jupiter.api.Test

/** Requests in progress when a process is told to stop, under a short time to stop. */
class PlannedStopTest {
    @Test
    fun `a request that waits for its model at the end is refused, one that may have run is not`() {
        EntryFixture(stopMillis = 2_000).use { fixture ->
            val runner = fixture.runner("i-1", "engine", setOf("warm"))
            val desk = fixture.runner("i-2", "desk")
            fixture.start()
            runner.loadMillis = 60_000
            desk.behavior = RunnerBehavior.NEVER_ANSWERS
            val waiting = callAsync { fixture.caller.call("/draft/x", model = "cold") }
            val running = callAsync { fixture.caller.call("/book/x") }
            EntryFixture.eventually("not sent") { desk.ran.size == 1 }
            fixture.stop()
            assertEquals(503, waiting.get().statusCode())
            assertEquals(502, running.get().statusCode())
        }
    }

    // Guards against a fixed wait for the load balancer that is longer than the time to stop.
    @Test
    fun `a process with little time to stop ends within it`() {
        EntryFixture(stopMillis = 2_000).use { fixture ->
            fixture.start()
            val tookMillis = measureTimeMillis { fixture.stop() }
            assertTrue(tookMillis < 2_000, "stopped after $tookMillis ms")
        }
    }

    // Guards against requests that are accepted so late that the end of the drain cuts them.
    @Test
    fun `a request that arrives after the load balancer has removed the process is refused`() =
        assertRefused(signaledAgoMillis = 0, afterMillis = 2_600)

    // Guards against a stop that counts from when a busy process gets to the signal.
    @Test
    fun `the time of a stop counts from the signal`() =
        assertRefused(signaledAgoMillis = 1_500, afterMillis = 1_200)

    /** Checks a request [afterMillis] after a stop that was signaled [signaledAgoMillis] before. */
    private fun assertRefused(signaledAgoMillis: Long, afterMillis: Long) {
        EntryFixture(stopMillis = 8_000).use { fixture ->
            val desk = fixture.runner("i-1", "desk")
            fixture.start()
            val connection = CallerConnection(fixture.callers)
            desk.answerDelayMillis = 3_300
            val running = callAsync { fixture.caller.call("/book/x") }
            EntryFixture.eventually("not sent") { desk.ran.size == 1 }
            val stop = CompletableFuture.runAsync { fixture.stop(signaledAgoMillis) }
            Thread.sleep(afterMillis)
            val refused = CallEnd.Answered(503, "stopping\n", closes = true)
            assertEquals(refused, connection.use { it.call("/look/x") })
            assertEquals(200, running.get().statusCode())
            stop.get()
        }
    }

    // Guards against requests that are taken late in the time to stop and cut at its end.
    @Test
    fun `requests that come late in the time to stop are answered`() {
        for (stopMillis in listOf(3_000L, 4_000L, 8_000L)) assertLateAnswered(stopMillis)
    }

    /** Checks long requests, and a body that is still arriving, shortly before refusals begin. */
    private fun assertLateAnswered(stopMillis: Long) {
        EntryFixture(stopMillis).use { fixture ->
            val desk = fixture.runner("i-1", "desk")
            fixture.start()
            desk.answerDelayMillis = 20_000
            val connections = List(4) { CallerConnection(fixture.callers) }
            val stop = CompletableFuture.runAsync { fixture.stop() }
            Thread.sleep(LATE_MILLIS)
            val long = connections.take(2).map { connection ->
                connection.send("/book/x")
                CompletableFuture.supplyAsync { connection.receive() }
            }
            val slow = connections.drop(2).map { connection ->
                CompletableFuture.supplyAsync {
                    connection.send("/book/x", bodyPauseMillis = 1_000)
                    connection.receive()
                }
            }
            val isAtTimeLimit = LATE_MILLIS + TIMEOUT_MILLIS < stopMillis * 5 / 6
            val mayHaveRun = if (isAtTimeLimit) {
                CallEnd.Answered(504, "timed-out\n", closes = true)
            } else {
                CallEnd.Answered(502, "stopping\n", closes = true)
            }
            assertEquals(listOf(mayHaveRun, mayHaveRun), long.map { it.get() }, "$stopMillis ms")
            val refused = CallEnd.Answered(503, "stopping\n", closes = true)
            assertEquals(listOf(refused, refused), slow.map { it.get() }, "$stopMillis ms")
            assertEquals(2, desk.ran.size)
            stop.get()
            connections.forEach(CallerConnection::close)
        }
    }

    // Guards against a repeated SIGTERM that ends a process while it still drains.
    @Test
    fun `a repeated stop does not end the process before requests in progress are answered`() {
        EntryFixture(stopMillis = 6_000).use { fixture ->
            val desk = fixture.runner("i-1", "desk")
            fixture.start()
            desk.answerDelayMillis = 1_500
            val running = callAsync { fixture.caller.call("/book/x") }
            EntryFixture.eventually("not sent") { desk.ran.size == 1 }
            val first = CompletableFuture.runAsync { fixture.stop() }
            Thread.sleep(100)
            fixture.stop()
            assertTrue(running.isDone)
            assertEquals(200, running.get().statusCode())
            first.get()
        }
    }

    // Guards against a caller that does not read its answer and keeps the process from ending.
    @Test
    fun `a caller that reads nothing does not keep the process beyond its time to stop`() {
        EntryFixture(stopMillis = 4_000).use { fixture ->
            val desk = fixture.runner("i-1", "desk")
            desk.answerBytes = 3_500_000
            fixture.start()
            CallerConnection(fixture.callers, receiveBufferBytes = 4_096).use { connection ->
                connection.send("/book/x")
                EntryFixture.eventually("not sent") { desk.ran.size == 1 }
                val tookMillis = measureTimeMillis { fixture.stop() }
                assertTrue(tookMillis < 4_000, "stopped after $tookMillis ms")
            }
        }
    }

    // Guards against a drain that ends while an answer is still on its way to a slow caller.
    @Test
    fun `a caller that reads slowly gets its whole answer within the drain`() {
        EntryFixture(stopMillis = 12_000).use { fixture ->
            val desk = fixture.runner("i-1", "desk")
            desk.answerBytes = 3_500_000
            fixture.start()
            CallerConnection(fixture.callers, receiveBufferBytes = 4_096).use { connection ->
                connection.send("/book/x")
                EntryFixture.eventually("not sent") { desk.ran.size == 1 }
                val stop = CompletableFuture.runAsync { fixture.stop() }
                val end = connection.receive(lateMillis = 4_500)
                assertEquals(3_500_000, assertIs<CallEnd.Answered>(end).body.length)
                assertFalse(stop.isDone, "stopped before the answer was read")
                stop.get()
            }
        }
    }

    private companion object {
        /** Half a second before requests are refused; a busy machine may take a part of it. */
        const val LATE_MILLIS = 1_900L

        /** Time limit of the routes. */
        const val TIMEOUT_MILLIS = 4_000L
    }

    private fun callAsync(
        call: () -> HttpResponse<String>
    ): CompletableFuture<HttpResponse<String>> = CompletableFuture.supplyAsync(call)
}
