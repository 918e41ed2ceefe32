package cactusfold.standins.service

import cactusfold.standins.StandinServer
import io.vertx.core.Vertx
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.json.JsonObject
import io.vertx.kotlin.coroutines.coAwait
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.delay

/** Stands in for a plain service. Counts how often each body was run, and answers with the count. */
public class ServiceStandin(vertx: Vertx, port: Int) {
    private val server = StandinServer(vertx, port, ::handle)
    private val executions = ConcurrentHashMap<String, AtomicInteger>()

    /** How long a call takes. */
    @Volatile
    public var delayMillis: Long = 5

    /** Whether connections are closed after the call was run, without an answer. */
    @Volatile
    public var closesBeforeResponse: Boolean = false

    /** Headers of the last call, by lower-case name. */
    @Volatile
    public var lastHeaders: Map<String, String> = emptyMap()

    /** The port that is listened on. */
    public val port: Int get() = server.actualPort

    /** How often [body] was run. */
    public fun executionCountOf(body: String): Int = executions[body]?.get() ?: 0

    /** Begins to listen. */
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
