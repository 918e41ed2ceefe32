package cactusfold.standins

import io.vertx.core.Vertx
import io.vertx.core.http.HttpServer
import io.vertx.core.http.HttpServerRequest
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import org.apache.logging.log4j.LogManager

/** HTTP server on loopback that handles each request in a coroutine, started undispatched. */
public class StandinServer(
    private val vertx: Vertx,
    port: Int,
    private val handle: suspend (HttpServerRequest) -> Unit
) {
    private val scope = CoroutineScope(SupervisorJob() + vertx.dispatcher())
    private var boundPort = port
    private var server: HttpServer? = null

    /** The bound port, or the configured one before [start]. */
    public val actualPort: Int get() = server?.actualPort() ?: boundPort

    /** Starts listening. */
    public suspend fun start() {
        server =
            vertx.createHttpServer().requestHandler(::accept).listen(boundPort, LOOPBACK).coAwait()
    }

    /** Closes the port and all connections, as a crash does; [start] rebinds the same port. */
    public suspend fun closeForRestart() {
        val port = actualPort
        server?.close()?.coAwait()
        server = null
        boundPort = port
    }

    /** Stops listening and closes all connections. */
    public suspend fun stop() {
        server?.close()?.coAwait()
        scope.cancel()
    }

    private fun accept(request: HttpServerRequest) {
        val context = vertx.getOrCreateContext()
        scope.launch(context.dispatcher(), CoroutineStart.UNDISPATCHED) {
            try {
                handle(request)
            } catch (e: Exception) {
                log.warn("request {} failed", request.path(), e)
                request.connection().close()
            }
        }
    }

    public companion object {
        /** The only address that stand-ins bind to. */
        public const val LOOPBACK: String = "127.0.0.1"

        private val log = LogManager.getLogger(StandinServer::class.java)
    }
}
