package cactusfold.standins.platform

import cactusfold.standins.StandinServer
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.HttpServerRequest
import io.vertx.kotlin.coroutines.coAwait
import java.util.concurrent.ConcurrentHashMap

/** Stands in for the object store: `PUT` and `GET` of S3's path-style REST protocol. */
public class ObjectStoreStandin(vertx: Vertx, port: Int) {
    /** Faults, switched while it runs. */
    public val faults: FaultInjector = FaultInjector()

    private val objects = ConcurrentHashMap<String, Buffer>()
    private val server = StandinServer(vertx, port, ::handle)

    /** The port that is listened on. */
    public val port: Int get() = server.actualPort

    /** Begins to listen. */
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
