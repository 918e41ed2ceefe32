package cactusfold.standins.platform

import cactusfold.standins.StandinServer
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.HttpServerRequest
import io.vertx.kotlin.coroutines.coAwait
import java.util.concurrent.ConcurrentHashMap

/** In-memory fake of the object store: `PUT` and `GET` with path-style S3 URLs. */
public class ObjectStoreStandin(vertx: Vertx, port: Int) {
    /** Injected faults, adjustable at run time. */
    public val faults: FaultInjector = FaultInjector()

    private val objects = ConcurrentHashMap<String, Buffer>()
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

    private suspend fun handle(request: HttpServerRequest) {
        val body = request.body().coAwait()
        if (faults.isDown) {
            request.connection().close()
            return
        }
        faults.delayResponse()
        val response = request.response()
        when (request.method()) {
            HttpMethod.PUT -> {
                objects[request.path()] = body
                response.end().coAwait()
            }
            else -> {
                val found = objects[request.path()]
                response.setStatusCode(if (found == null) NOT_FOUND else OK)
                response.end(found ?: Buffer.buffer()).coAwait()
            }
        }
    }

    private companion object {
        const val OK = 200
        const val NOT_FOUND = 404
    }
}
