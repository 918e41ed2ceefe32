package cactusfold.entry.callers

import cactusfold.entry.EntryBounds
import cactusfold.entry.config.RouteTable
import cactusfold.entry.path.EntryFixture
import cactusfold.entry.path.FreePorts
import cactusfold.entry.process.EventLog
import cactusfold.entry.rate.RateTolerance
import cactusfold.entry.rate.WorkspaceRateLimiter
import cactusfold.entry.residency.ModelWaitQueue
import cactusfold.entry.upstream.UpstreamDirectory
import cactusfold.entry.upstream.UpstreamPolling
import cactusfold.node.time.MonotonicClock
import cactusfold.platform.WireHeaders
import cactusfold.platform.standin.CallEnd
import cactusfold.platform.standin.CallerConnection
import cactusfold.ports.serving.CallerLimits
import cactusfold.ports.serving.Repeatability
import cactusfold.ports.serving.ServingConfig
import cactusfold.ports.serving.ServingRoute
import cactusfold.ports.serving.ServingWorkspace
import cactusfold.ports.serving.WeightedService
import cactusfold.ports.table.ChangeFeed
import cactusfold.ports.table.FeedResult
import cactusfold.settings.schema.HostPort
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.dispatcher
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.system.measureTimeMillis
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

class CallerServerTest {
    private object NoFeed : ChangeFeed {
        override suspend fun snapshot(table: String): FeedResult = FeedResult.Unavailable("none")

        override suspend fun changes(table: String, position: Long, waitMillis: Long): FeedResult =
            FeedResult.Unavailable("none")
    }

    private val vertx = Vertx.vertx()
    private val clock = MonotonicClock.SYSTEM
    private val events = EventLog("vm", clock, linesPerSecond = 100)
    private val bounds =
        EntryBounds(8_000, 5_000, 500, 0.2, 10_000, 100.0, RateTolerance(8_000, 0.1, 100.0), 5_000)
    private val port = FreePorts.next()
    private var failure: Exception? = null

    private fun route(prefix: String, patienceMillis: Long?) = ServingRoute(
        name = prefix,
        host = "127.0.0.1",
        prefix = prefix,
        repeatability = Repeatability.IDEMPOTENT,
        services = persistentListOf(WeightedService("s", 1.0)),
        timeoutMillis = 16_000,
        targetMillis = 200,
        patienceMillis = patienceMillis,
        maxAttempts = 1,
        priority = 1,
        allowsAnonymous = false
    )

    private val config = ServingConfig(
        version = 1,
        routes = persistentListOf(
            route("/x/", patienceMillis = null),
            route("/stream/", patienceMillis = PATIENCE_MILLIS)
        ),
        services = persistentMapOf(),
        workspaces = persistentListOf(
            ServingWorkspace("w", persistentListOf("key-1"), null, false, 1, 10.0, 0.0)
        ),
        limits = CallerLimits(16_384, 4_096, 3_000, 15_000)
    )

    private val server: CallerServer = run {
        val directory = UpstreamDirectory(NoFeed, clock, events, "z") { UpstreamPolling.Detached }
        val scope = CoroutineScope(SupervisorJob() + vertx.orCreateContext.dispatcher())
        val promptBlocks = SharedPromptBlocks(clock, events) {}
        val flow = RequestFlowDependencies(
            table = { RouteTable(config) },
            isConfigFresh = { failure?.let { throw it } ?: true },
            directory = directory,
            waits = ModelWaitQueue(directory, clock) {},
            rateLimiter = WorkspaceRateLimiter("vm", "boot", clock, { null }) { null },
            suspects = SharedSuspects(clock) {},
            promptBlocks = promptBlocks,
            crashes = CrashDetector(scope, clock, promptBlocks) { false },
            sender = UpstreamSender(vertx, WireHeaders, clock) {},
            translator = WireHeaders,
            retries = RetryBudgets(bounds, clock) { null },
            clock = clock,
            events = events
        )
        val meters = CallerMeters(SimpleMeterRegistry())
        CallerServer(vertx, HostPort("127.0.0.1", port), scope, flow, meters, events)
    }

    init {
        runBlocking(vertx.orCreateContext.dispatcher()) {
            server.start(config.limits)
        }
    }

    @AfterEach
    fun close() {
        vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS)
    }

    private fun answer(): CallEnd = CallerConnection(port).use { it.call("/x/1") }

    @Nested
    inner class UnexpectedErrors {
        // Guards against an exception in a request's coroutine that leaves its caller waiting.
        @Test
        fun `a request whose processing throws is answered`() {
            failure = IllegalStateException("broken")
            assertEquals(CallEnd.Answered(503, "internal-error\n", closes = false), answer())
        }

        // Guards against a cancellation of something else that is taken for the caller's leaving.
        @Test
        fun `a request whose processing is cancelled while its caller waits is answered`() {
            failure = CancellationException("a channel was closed")
            assertEquals(CallEnd.Answered(503, "internal-error\n", closes = false), answer())
        }
    }

    @Nested
    inner class WithoutCoordinator {
        // Guards against a wait for a coordinator that outlasts the caller of a stream.
        @Test
        fun `a request is refused before its caller gives up`() {
            val tookMillis = measureTimeMillis {
                val end = CallerConnection(port).use {
                    it.send("/stream/1", timeoutMillis = 16_000)
                    it.receive()
                }
                assertEquals(CallEnd.Answered(503, "rate-unsure\n", closes = false), end)
            }
            assertTrue(tookMillis < PATIENCE_MILLIS, "refused after $tookMillis ms")
        }
    }

    @Nested
    inner class Stop {
        private fun stop() = runBlocking(vertx.orCreateContext.dispatcher()) { server.stop(500) }

        private fun awaitRunning(count: Int) =
            EntryFixture.eventually("not running") { server.running == count }

        // Guards against a request that ends without an answer because it is being read when the
        // remaining requests are ended.
        @Test
        fun `a request whose body is still arriving at the end is refused`() {
            CallerConnection(port).use { connection ->
                val end = CompletableFuture.supplyAsync {
                    connection.send("/x/1", bodyPauseMillis = 1_000)
                    connection.receive()
                }
                awaitRunning(1)
                stop()
                assertEquals(CallEnd.Answered(503, "stopping\n", closes = true), end.get())
            }
        }
    }

    private companion object {
        /** The least time after which callers abandon a stream. */
        const val PATIENCE_MILLIS = 2_000L
    }
}
