package cactusfold.standins.platform

import cactusfold.standins.StandinServer
import io.vertx.core.Vertx
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import io.vertx.kotlin.coroutines.coAwait
import java.util.concurrent.ConcurrentHashMap

/**
 * Fake of the platform's VM list. The first state of a VM is visible at once, each later one after
 * [lagMillis].
 */
public class VmListStandin(vertx: Vertx, port: Int, private val lagMillis: Long) {
    private class Change(val zone: String, val state: String, val visibleAtMillis: Long)

    private val changes = ConcurrentHashMap<String, List<Change>>()
    private val server = StandinServer(vertx, port, ::handle)

    /** The bound port, or the configured one before [start]. */
    public val port: Int get() = server.actualPort

    /** Starts listening. */
    public suspend fun start() {
        server.start()
    }

    /** Stops listening. */
    public suspend fun stop() {
        server.stop()
    }

    /** Sets the state of a VM, `live` or `leaving`. */
    public fun setState(name: String, zone: String, state: String) {
        val visibleAtMillis = nowMillis() + if (changes.containsKey(name)) lagMillis else 0
        changes.merge(name, listOf(Change(zone, state, visibleAtMillis))) { old, new -> old + new }
    }

    private suspend fun handle(request: HttpServerRequest) {
        val now = nowMillis()
        val vms = changes.mapNotNull { (name, list) ->
            val current = list.lastOrNull { it.visibleAtMillis <= now } ?: return@mapNotNull null
            JsonObject().put("name", name).put("zone", current.zone).put("state", current.state)
        }
        request.response().end(JsonObject().put("vms", JsonArray(vms)).toBuffer()).coAwait()
    }

    private fun nowMillis(): Long = System.nanoTime() / NANOS_PER_MILLI

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
