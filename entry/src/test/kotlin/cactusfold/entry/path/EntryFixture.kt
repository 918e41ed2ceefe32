package cactusfold.entry.path

import cactusfold.entry.EntryBounds
import cactusfold.entry.EntryProcess
import cactusfold.entry.EntrySettings
import cactusfold.entry.rate.RateTolerance
import cactusfold.node.time.MonotonicClock
import cactusfold.platform.standin.CallerStandin
import cactusfold.platform.standin.OperatorStandin
import cactusfold.platform.standin.RunnerStandin
import cactusfold.platform.standin.StoreStandin
import cactusfold.settings.schema.HostPort
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.dispatcher
import java.net.BindException
import java.net.ServerSocket
import java.util.UUID
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout

/** An entry process with its own store and runners, all on the loopback interface. */
class EntryFixture(stopMillis: Long = 8_000) : AutoCloseable {
    private val vertx = Vertx.vertx()
    private val entryVertx = Vertx.vertx(io.vertx.core.VertxOptions().setEventLoopPoolSize(1))
    val store = StoreStandin(vertx).apply { start() }
    private val callers = freePort()
    private val ready = freePort()
    private val entry = EntryProcess(
        EntrySettings(
            vm = "vm1",
            address = "127.0.0.1",
            zone = "z1",
            peerPort = freePort(),
            metricsPort = freePort(),
            callers = HostPort("127.0.0.1", callers),
            ready = HostPort("127.0.0.1", ready),
            store = HostPort("127.0.0.1", store.port),
            bounds = EntryBounds(
                stopMillis,
                5_000,
                500,
                0.2,
                10_000,
                100.0,
                RateTolerance(8_000, 0.1, 100.0),
                5_000
            )
        ),
        entryVertx,
        entryVertx.orCreateContext.dispatcher(),
        MonotonicClock.SYSTEM,
        UUID.randomUUID().toString(),
        linesPerSecond = 1_000
    )

    val operator = OperatorStandin(store)
    val caller = CallerStandin(callers)

    fun runner(id: String, service: String, models: Set<String> = emptySet()): RunnerStandin {
        val runner = RunnerStandin(vertx, id, models).apply { start() }
        operator.register(id, runner, service)
        runner.onReturn = { operator.register(id, runner, service) }
        return runner
    }

    fun start() {
        operator.configure(version = 1, keys = listOf("key-1"))
        entry.listen()
        runBlocking { withTimeout(WAIT_MILLIS) { entry.start() } }
        eventually("not ready") { readyStatus() == 200 && entry.isMemberCountKnown }
    }

    /** Stops the entry process as SIGTERM does. */
    fun stop(): Unit = runBlocking(entryVertx.orCreateContext.dispatcher()) { entry.stop() }

    fun readyStatus(): Int = caller.readyStatus(ready)

    override fun close() {
        entryVertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS)
        vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS)
    }

    companion object {
        private const val WAIT_MILLIS = 20_000L

        fun eventually(message: String, condition: () -> Boolean) {
            val until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MILLIS)
            while (!condition()) {
                check(System.nanoTime() < until) { message }
                Thread.sleep(20)
            }
        }

        /** Below the ephemeral port range, so that no connection or listener takes a port. */
        private val nextPort =
            AtomicInteger(
                FIRST_PORT + (ProcessHandle.current().pid() % PORT_BLOCKS).toInt() * BLOCK
            )

        private const val FIRST_PORT = 12_000
        private const val BLOCK = 100
        private const val PORT_BLOCKS = 200

        private fun freePort(): Int {
            while (true) {
                val port = nextPort.getAndIncrement()
                try {
                    return ServerSocket(port).use { it.localPort }
                } catch (_: BindException) {
                    continue
                }
            }
        }
    }
}
