package cactusfold.standins.service

import cactusfold.standins.StandinServer
import io.vertx.core.Vertx
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.json.JsonObject
import io.vertx.kotlin.coroutines.coAwait
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.delay

/**
 * Fake of a plain service. It counts how often it executed each request body and responds with that
 * count.
 */
public class ServiceStandin(vertx: Vertx, port: Int) {
    private val server = StandinServer(vertx, port, ::handle)
    private val executions = ConcurrentHashMap<String, AtomicInteger>()

    /** Processing time of a call. */
    @Volatile
    public var delayMillis: Long = 5

    /** Whether the connection is closed after execution, without a response. */
    @Volatile
    public var closesBeforeResponse: Boolean = false

    /** Headers of the most recent call, by lower-case name. */
    @Volatile
    public var lastHeaders: Map<String, String> = emptyMap()

    /** The bound port, or the configured one before [start]. */
    public val port: Int get() = server.actualPort

    /** Returns how often [body] was executed. */
    public fun executionCountOf(body: String): Int = executions[body]?.get() ?: 0

    /** Starts listening. */
    public suspend fun start() {
        server.start()
    }

    /** Stops listening. */
    public suspend fun stop() {
        server.stop()
    }

    private suspend fun handle(request: HttpServerRequest) {
        lastHeaders = request.headers().associate { it.key.lowercase() to it.value }
        val body = request.body().coAwait().toString()
        delay(delayMillis)
        val count = executions.computeIfAbsent(body) { AtomicInteger() }.incrementAndGet()
        if (closesBeforeResponse) {
            request.connection().close()
            return
        }
        val answer = JsonObject()
            .put("method", request.method().name())
            .put("path", request.path())
            .put("run", count)
        request.response()
            .putHeader("content-type", "application/json")
            .putHeader("x-request-id", request.getHeader("x-request-id") ?: "none")
            .end(answer.toBuffer()).coAwait()
    }
}
