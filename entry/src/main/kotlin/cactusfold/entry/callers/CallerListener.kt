package cactusfold.entry.callers

import cactusfold.ports.serving.HeaderTranslator
import cactusfold.settings.schema.HostPort
import io.vertx.core.Vertx
import io.vertx.core.http.HttpConnection
import io.vertx.core.http.HttpServer
import io.vertx.core.http.HttpServerOptions
import io.vertx.core.http.HttpServerRequest
import io.vertx.kotlin.coroutines.coAwait

/** HTTP servers whose [connections] are known and limited from their first moment. */
internal class CallerListener(
    private val vertx: Vertx,
    private val connections: CallerConnections,
    private val limits: ConnectionLimits,
    translator: HeaderTranslator
) {
    private val check = HeadCheck(translator.singleHeaders)

    /**
     * Listens on [address]. A head that is late or refused for what it says comes to [refuseHead]
     * as a request, which has to be answered; all other requests come to [handler].
     */
    suspend fun listen(
        address: HostPort,
        options: HttpServerOptions = HttpServerOptions(),
        refuseHead: (HttpServerRequest, InputRefusal) -> Unit,
        handler: (HttpServerRequest) -> Unit
    ): HttpServer {
        // The decoder limits each head as configured; Vert.x would keep the limits of the start.
        // With HTTP/2 it would tell of a connection only when its first request is complete.
        options.setMaxHeaderSize(HEAD_MAX_BYTES)
            .setMaxInitialLineLength(HEAD_MAX_BYTES)
            .setHttp2ClearTextEnabled(false)
        return vertx.createHttpServer(options)
            .connectionHandler { opened(it, options) }
            .requestHandler {
                val result = it.decoderResult()
                if (result is RefusedInput.Head) refuseHead(it, result.refusal) else handler(it)
            }
            .listen(address.port, address.host)
            .coAwait()
    }

    private fun opened(connection: HttpConnection, options: HttpServerOptions) {
        connections.opened(connection) { heads ->
            VertxConnectionInput.of(connection, options, limits::headMaxBytes, heads, check)
        }
    }

    private companion object {
        /** More than any configuration permits for a head. */
        const val HEAD_MAX_BYTES = 1_048_576
    }
}
