package cactusfold.ports.http

import io.vertx.core.Vertx
import io.vertx.core.http.HttpClientAgent
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpClientRequest
import io.vertx.core.http.HttpConnection
import io.vertx.core.http.PoolOptions
import io.vertx.core.http.RequestOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import org.apache.logging.log4j.LogManager

/**
 * A request that was opened on a connection.
 *
 * @property isFirst whether the connection has carried no request before. If it has, a faulty
 *   server may still write an answer to one of these.
 */
public class OpenRequest(public val request: HttpClientRequest, public val isFirst: Boolean)

/**
 * Opens requests on pooled HTTP/1.1 connections, which are withdrawn as soon as [rules] or bytes that
 * nobody asked for show that the response to the next request might be another one.
 */
public class KeptConnections(
    vertx: Vertx,
    options: HttpClientOptions,
    pool: PoolOptions,
    rules: ResponseRules
) {
    private val client: HttpClientAgent = vertx.httpClientBuilder()
        .with(options)
        .with(pool)
        .withConnectHandler { connection ->
            ConnectionState.attach(connection, rules)
            // The request in progress fails with the same error, and is logged with its context.
            connection.exceptionHandler { log.debug("a connection failed: {}", it.message) }
        }
        .build()

    /** Has no further request use [connection], which is closed after the response in progress. */
    public fun exclude(connection: HttpConnection): Unit = ConnectionState.of(connection).withdraw()

    /** Opens a request on a connection that was not withdrawn. */
    public suspend fun open(options: RequestOptions): OpenRequest {
        while (true) {
            val request = acquire(options)
            val connection = ConnectionState.of(request.connection())
            if (connection.isReusable) {
                // A request that is reset fails with its outcome; else this is logged as an error.
                request.exceptionHandler { log.debug("a request ended: {}", it.message) }
                return OpenRequest(request, connection.recordRequest())
            }
            discard(request)
            request.connection().close()
        }
    }

    /** Closes all connections. */
    public fun close() {
        client.close()
    }

    private suspend fun acquire(options: RequestOptions): HttpClientRequest {
        val connecting = client.request(options)
        try {
            return connecting.coAwait()
        } catch (e: CancellationException) {
            // The pool assigns the connection all the same, and gets it back only from here.
            connecting.onSuccess(::discard)
            throw e
        }
    }

    private fun discard(request: HttpClientRequest) {
        request.exceptionHandler { }
        request.reset()
    }

    private companion object {
        val log = LogManager.getLogger(KeptConnections::class.java)
    }
}
