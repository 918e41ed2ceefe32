package cactusfold.ports.http

import io.vertx.core.http.HttpClientAgent
import io.vertx.core.http.HttpClientRequest
import io.vertx.core.http.HttpConnection
import io.vertx.core.http.RequestOptions
import io.vertx.kotlin.coroutines.coAwait
import java.util.Collections
import java.util.WeakHashMap
import kotlinx.coroutines.CancellationException
import org.apache.logging.log4j.LogManager

/**
 * A request that was opened on a connection.
 *
 * @property isFirst whether the connection has carried no request before. If it has, a faulty
 *   server may still write an answer to one of these.
 */
public class OpenRequest(public val request: HttpClientRequest, public val isFirst: Boolean)

/** Opens requests on the pooled connections of [client]. */
public class KeptConnections(private val client: HttpClientAgent) {
    private val excluded = connectionSet()
    private val used = connectionSet()

    private fun connectionSet(): MutableSet<HttpConnection> =
        Collections.synchronizedSet(Collections.newSetFromMap(WeakHashMap()))

    /**
     * Has no further request use [connection], because its last answer may be written once more by
     * a faulty server, and would be taken for the answer to the next request.
     */
    public fun exclude(connection: HttpConnection) {
        excluded += connection
    }

    /** Opens a request on a connection that is not excluded. */
    public suspend fun open(options: RequestOptions): OpenRequest {
        while (true) {
            val request = acquire(options)
            val connection = request.connection()
            if (connection !in excluded) {
                // A request that is reset fails with its outcome; else this is logged as an error.
                request.exceptionHandler { log.debug("a request ended: {}", it.message) }
                return OpenRequest(request, isFirst(connection))
            }
            discard(request)
            connection.close()
        }
    }

    private fun isFirst(connection: HttpConnection): Boolean {
        if (!used.add(connection)) return false
        // The request in progress fails with the same error, and is logged with its context.
        connection.exceptionHandler { log.debug("a connection failed: {}", it.message) }
        return true
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
