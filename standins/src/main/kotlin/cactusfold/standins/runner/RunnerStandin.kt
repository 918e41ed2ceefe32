package cactusfold.standins.runner

import cactusfold.standins.StandinServer
import cactusfold.standins.platform.WeightStoreStandin
import io.vertx.core.Vertx
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import io.vertx.kotlin.coroutines.coAwait
import java.util.UUID
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/**
 * Fake of a model engine: loads and unloads models on order, limits concurrent requests, streams
 * tokens, and crashes on a prompt that contains the crash marker.
 */
public class RunnerStandin(
    vertx: Vertx,
    private val options: RunnerOptions,
    weightStore: WeightStoreStandin
) {
    private val loadJobs = SupervisorJob()
    private val scope = CoroutineScope(loadJobs + Dispatchers.Default)
    private val restartScope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val memory = RunnerMemory(options, weightStore, scope)
    private val engine = CompletionEngine(options, memory, ::crash)
    private val server = StandinServer(vertx, options.port, ::handle)
    private val crashCount = AtomicInteger()

    @Volatile
    private var incarnation = UUID.randomUUID().toString()

    @Volatile
    private var isDown = false

    @Volatile
    private var reportedLoad = LoadReport(0, 0)

    /** The bound port, or the configured one before [start]. */
    public val port: Int get() = server.actualPort

    /** Number of loads started so far. */
    public val loads: Int get() = memory.loads.get()

    /** Number of load orders rejected for lack of memory so far. */
    public val overcommits: Int get() = memory.overcommits.get()

    /** Number of crashes so far. */
    public val crashes: Int get() = crashCount.get()

    /** Number of requests cancelled by their callers so far. */
    public val cancelled: Int get() = engine.cancelled.get()

    /** Number of requests completed so far. */
    public val finished: Int get() = engine.finished.get()

    /** Whether any request carried an `Authorization` header, that is, a caller's API key. */
    public val receivedAuthorization: Boolean get() = engine.receivedAuthorization

    /** Starts listening. */
    public suspend fun start() {
        server.start()
        scope.launch { reportLoad() }
    }

    /** Stops listening and cancels loads and a pending restart. */
    public suspend fun stop() {
        restartScope.cancel()
        server.stop()
        scope.cancel()
    }

    /** Simulates a crash: closes all connections, clears memory and restarts after a delay. */
    public fun crash() {
        crashCount.incrementAndGet()
        isDown = true
        engine.closeConnections()
        (loadJobs as Job).cancelChildren()
        memory.clear()
        restartScope.launch {
            server.closeForRestart()
            delay(options.restartMillis)
            incarnation = UUID.randomUUID().toString()
            isDown = false
            server.start()
        }
        scope.launch { reportLoad() }
    }

    private suspend fun reportLoad() {
        while (true) {
            val snapshot = LoadReport(engine.running.get(), engine.waiting.get())
            delay(options.reportLagMillis)
            reportedLoad = snapshot
        }
    }

    private suspend fun handle(request: HttpServerRequest) {
        if (isDown) {
            request.connection().close()
            return
        }
        when (request.path()) {
            "/admin/inventory" -> handleInventory(request)
            "/admin/load" -> handleOrder(request) { body ->
                memory.load(
                    body.getString("order_id"),
                    body.getString("model"),
                    body.getLong("memory_bytes"),
                    body.getLong("fence")
                )
            }
            "/admin/unload" -> handleOrder(request) { body ->
                memory.unload(body.getString("model"), body.getLong("fence"))
            }
            else -> engine.serve(request)
        }
    }

    private suspend fun handleOrder(
        request: HttpServerRequest,
        execute: (JsonObject) -> OrderReply
    ) {
        val reply = execute(request.body().coAwait().toJsonObject())
        val status = when (reply) {
            OrderReply.TAKEN -> ACCEPTED
            OrderReply.STALE_FENCE -> CONFLICT
            OrderReply.NO_MEMORY -> UNPROCESSABLE_CONTENT
        }
        val body = JsonObject().put("result", reply.name.lowercase())
        request.response().setStatusCode(status).end(body.toBuffer()).coAwait()
    }

    private suspend fun handleInventory(request: HttpServerRequest) {
        memory.observeFence(request.getParam("fence")?.toLongOrNull() ?: 0)
        val models = memory.models.values.map {
            JsonObject().put("name", it.name).put("phase", it.phase.name.lowercase())
        }
        val body = JsonObject()
            .put("boot_id", incarnation)
            .put("models", JsonArray(models))
            .put("on_disk", JsonArray(memory.modelsOnDisk.toList()))
            .put("running", reportedLoad.running)
            .put("waiting", reportedLoad.waiting)
            .put("fence", memory.fence.get())
        request.response().end(body.toBuffer()).coAwait()
    }

    private class LoadReport(val running: Int, val waiting: Int)

    private companion object {
        const val ACCEPTED = 202
        const val CONFLICT = 409
        const val UNPROCESSABLE_CONTENT = 422
    }
}
