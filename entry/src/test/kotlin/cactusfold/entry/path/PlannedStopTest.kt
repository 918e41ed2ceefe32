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

    private fun callAsync(
        call: () -> HttpResponse<String>
    ): CompletableFuture<HttpResponse<String>> = CompletableFuture.supplyAsync(call)
}
