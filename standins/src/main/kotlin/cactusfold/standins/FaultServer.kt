package cactusfold.standins

import cactusfold.standins.platform.FaultInjector
import io.vertx.core.Vertx
import io.vertx.core.http.HttpServerRequest
import io.vertx.kotlin.coroutines.coAwait

/**
 * HTTP interface for fault injection: `POST /table?down=true`, `/table?delay_millis=500`,
 * `/table?lose_replies=3`, `/table?calls_per_second=50`, the same for `/objects`,
 * `/weights?slowdown=10`, `/runner/NAME?crash=true`, `/vm/NAME?state=leaving&zone=Z`.
 */
public class FaultServer(vertx: Vertx, port: Int, private val fleet: StandinFleet) {
    private val server = StandinServer(vertx, port, ::handle)

    /** Starts listening. */
    public suspend fun start() {
        server.start()
    }

    /** Stops listening. */
    public suspend fun stop() {
        server.stop()
    }

    private suspend fun handle(request: HttpServerRequest) {
        val segments = request.path().trim('/').split('/')
        val isKnownTarget = when (segments.first()) {
            "table" -> true.also { updateFaults(fleet.table.faults, request) }
            "objects" -> true.also { updateFaults(fleet.objectStore.faults, request) }
            "weights" -> true.also {
                request.getParam("slowdown")?.toDoubleOrNull()?.let {
                    fleet.weightStore.slowdown =
                        it
                }
            }
            "runner" -> crashRunner(segments.getOrNull(1), request)
            "vm" -> setVm(segments.getOrNull(1), request)
            else -> false
        }
        request.response().setStatusCode(if (isKnownTarget) OK else NOT_FOUND).end().coAwait()
    }

    private fun updateFaults(faults: FaultInjector, request: HttpServerRequest) {
        request.getParam("down")?.let { faults.isDown = it == "true" }
        request.getParam("delay_millis")?.toLongOrNull()?.let { faults.delayMillis = it }
        request.getParam("lose_replies")?.toIntOrNull()?.let { faults.dropNextResponses(it) }
        request.getParam("calls_per_second")?.toIntOrNull()?.let { faults.callsPerSecond = it }
    }

    private fun crashRunner(name: String?, request: HttpServerRequest): Boolean {
        val runner = fleet.runners[name] ?: return false
        if (request.getParam("crash") == "true") runner.crash()
        return true
    }

    private fun setVm(name: String?, request: HttpServerRequest): Boolean {
        val state = request.getParam("state") ?: return false
        fleet.vmList.setState(name ?: return false, request.getParam("zone").orEmpty(), state)
        return true
    }

    private companion object {
        const val OK = 200
        const val NOT_FOUND = 404
    }
}
