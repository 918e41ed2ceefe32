package cactusfold.entry.queueing

import cactusfold.decisions.queue.WaitingRequest
import cactusfold.entry.idle.VirtualTime
import cactusfold.entry.process.EventLog
import cactusfold.entry.upstream.FakeFeed
import cactusfold.entry.upstream.Upstream
import cactusfold.entry.upstream.UpstreamDirectory
import cactusfold.entry.upstream.UpstreamPolling
import cactusfold.node.time.MonotonicClock
import cactusfold.platform.WireHeaders
import io.vertx.core.MultiMap
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import kotlin.coroutines.CoroutineContext
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Delay
import kotlinx.coroutines.InternalCoroutinesApi
import kotlinx.coroutines.Runnable
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

/** Requests that compete for the places of one runner at one VM. */
@OptIn(InternalCoroutinesApi::class)
class PlaceQueueTest {
    private val clock = MonotonicClock.SYSTEM
    private val feed = FakeFeed()
    private val directory =
        UpstreamDirectory(feed, clock, EventLog("vm", clock, linesPerSecond = 100), "z") {
            UpstreamPolling.Coordinator
        }
    private val served = mutableListOf<String>()

    /** Runs [test] with a runner that has [SLOTS] places, of which [busy] are taken. */
    private fun withRunner(
        busy: Int,
        queueClock: MonotonicClock = clock,
        queueScope: CoroutineScope? = null,
        test: suspend CoroutineScope.(PlaceQueue, Upstream) -> Unit
    ) = runBlocking {
        val row = JsonObject().put(
            "service",
            "s"
        ).put("address", "127.0.0.1:1").put("zone", "z")
            .put("version", "v1").put("slots", SLOTS).put("state", "ready").put("warmup-ms", 0)
            .put("seq", 1).put("born", 1L).put("models", JsonArray())
        feed.put("u", row.toBuffer().bytes)
        val queue = PlaceQueue(directory, queueClock, queueScope ?: this) { false }
        launch { directory.run() }
        val runner = withTimeout(TIMEOUT_MILLIS) {
            while (directory.find("u") == null) delay(1)
            directory.find("u")!!
        }
        repeat(busy) { runner.requestStarted(null) }
        withTimeout(TIMEOUT_MILLIS) {
            test(queue, runner)
            currentCoroutineContext().cancelChildren()
        }
        currentCoroutineContext().cancelChildren()
    }

    private fun need(runner: Upstream, serviceMillis: Long = 0) = PlaceNeed(
        group = "m",
        serviceMillis = serviceMillis,
        needsModel = true,
        candidates = { listOf(runner) }
    ) { candidates, hasPlace -> directory.choose(candidates, FACTS, hasPlace) }

    private fun request(id: String, priority: Int, limitMillis: Long = 10_000): WaitingRequest {
        val nowMillis = clock.nowMillis()
        return WaitingRequest(
            id,
            "",
            1.0,
            nowMillis + limitMillis,
            1,
            priority = priority,
            arrivedAtMillis = nowMillis,
            targetAtMillis = nowMillis + limitMillis / 2
        )
    }

    private fun CoroutineScope.serve(queue: PlaceQueue, runner: Upstream, request: WaitingRequest) =
        launch {
            assertIs<PlaceResult.Free>(queue.await(request, need(runner)))
            runner.requestStarted(null)
            served += request.id
        }

    @Nested
    inner class Order {
        // Guards against reports that take the places for which tips wait.
        @Test
        fun `a tip gets the next place before reports that came first`() =
            withRunner(busy = SLOTS) { queue, runner ->
                val waits = listOf("report" to 2, "tip" to 0)
                    .map { serve(queue, runner, request(it.first, it.second)) }
                while (queue.count < 2) delay(1)
                runner.requestEnded(null)
                queue.check()
                while (served.isEmpty()) delay(1)
                assertEquals(listOf("tip"), served)
                runner.requestEnded(null)
                queue.check()
                waits.forEach { it.join() }
                assertEquals(listOf("tip", "report"), served)
            }

        // Guards against more requests than places when several ends are seen at a time.
        @Test
        fun `a place is given to one request only`() = withRunner(busy = SLOTS) { queue, runner ->
            repeat(3) { serve(queue, runner, request("r$it", 1)) }
            while (queue.count < 3) delay(1)
            runner.requestEnded(null)
            repeat(3) { queue.check() }
            delay(SHORT_MILLIS)
            assertEquals(1 to SLOTS, served.size to runner.inFlight)
        }

        // Guards against a place that is lost with a caller who leaves just when it is given.
        @Test
        fun `the place of a caller who leaves goes to the next one`() =
            withRunner(busy = SLOTS) { queue, runner ->
                val leaving = serve(queue, runner, request("a", 0))
                while (queue.count < 1) delay(1)
                val next = serve(queue, runner, request("b", 1))
                while (queue.count < 2) delay(1)
                runner.requestEnded(null)
                queue.check()
                leaving.cancel()
                next.join()
                assertEquals(listOf("b"), served)
            }
    }

    @Nested
    inner class Resumption {
        // Guards against a pass that a request begins within the pass that gives it a place: the
        // list that the outer pass has read holds requests that were given a place already.
        @Test
        fun `a request that was given a place may ask for the next one at once`() {
            val time = VirtualTime()
            val inline = object : CoroutineDispatcher(), Delay by time {
                override fun dispatch(context: CoroutineContext, block: Runnable) = block.run()
            }
            val failures = mutableListOf<Throwable>()
            val scope = CoroutineScope(
                inline + SupervisorJob() + CoroutineExceptionHandler { _, e -> failures += e }
            )
            withRunner(busy = SLOTS, queueClock = time, queueScope = scope) { queue, runner ->
                repeat(CALLERS) { caller ->
                    scope.launch {
                        repeat(CALLS) {
                            val request = WaitingRequest(
                                "r$caller-$it",
                                "",
                                1.0,
                                deadlineMillis = 10_000,
                                costTokens = 1
                            )
                            assertIs<PlaceResult.Free>(queue.await(request, need(runner)))
                            served += request.id
                        }
                    }
                }
                repeat(SLOTS) { runner.requestEnded(null) }
                queue.check()
                time.advance(1_000)
                assertEquals(emptyList(), failures)
                assertEquals(CALLERS * CALLS, served.size)
                assertEquals(0, queue.count)
                assertTrue(queue.hasPlace(runner))
            }
        }
    }

    @Nested
    inner class Refusals {
        // Guards against callers who wait for long and are refused then.
        @Test
        fun `what cannot be served in time is refused at once with its time`() =
            withRunner(busy = SLOTS) { queue, runner ->
                val startedAtMillis = clock.nowMillis()
                val result =
                    queue.await(request("r", 0, limitMillis = 500), need(runner, 40_000))
                val refused = assertIs<PlaceResult.Refused>(result)
                assertEquals("all-full", refused.code)
                assertTrue(refused.retryAfterMillis in 5_000L..20_000L, "$refused")
                assertTrue(clock.nowMillis() - startedAtMillis < 400)
            }

        // Guards against refusals while there is room: an exclusion of 40 ms ends soon.
        @Test
        fun `nobody is refused while less than half of the places are taken`() =
            withRunner(busy = 1) { queue, runner ->
                runner.recordFull(clock.nowMillis())
                val wait = async { queue.await(request("r", 0, 500), need(runner, 40_000)) }
                assertIs<PlaceResult.Free>(wait.await())
            }

        // Guards against requests that wait for ever, also after a suspension of the process.
        @Test
        fun `a request is refused when its limit comes`() =
            withRunner(busy = SLOTS) { queue, runner ->
                val result = queue.await(request("r", 0, limitMillis = SHORT_MILLIS), need(runner))
                assertIs<PlaceResult.Refused>(result)
                assertEquals(0, queue.count)
            }
    }

    private companion object {
        val FACTS = WireHeaders.call(MultiMap.caseInsensitiveMultiMap())
        const val SLOTS = 4
        const val CALLERS = 8
        const val CALLS = 5
        const val SHORT_MILLIS = 50L
        const val TIMEOUT_MILLIS = 5_000L
    }
}
