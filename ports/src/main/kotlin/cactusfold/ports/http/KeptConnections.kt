package cactusfold.ports.http

import io.vertx.core.http.HttpClientAgent
import io.vertx.core.http.HttpClientRequest
import io.vertx.core.http.HttpConnection
import io.vertx.core.http.RequestOptions
import io.vertx.kotlin.coroutines.coAwait
import java.util.Collections
import java.util.WeakHashMap
import kotlinx.coroutines.CancellationException

/** Opens requests on the pooled connections of [client]. */
public class KeptConnections(private val client: HttpClientAgent) {
    private val excluded: MutableSet<HttpConnection> =
        Collections.synchronizedSet(Collections.newSetFromMap(WeakHashMap()))

    /**
     * Has no further request use [connection], because it brought a refusal: a faulty server may
     * write that once more, and it would be taken for the answer to the next request.
     */
    public fun exclude(connection: HttpConnection) {
        excluded += connection
    }

    /** Opens a request on a connection that is not excluded. */
    public suspend fun open(options: RequestOptions): HttpClientRequest {
        while (true) {
            val request = acquire(options)
            if (request.connection() !in excluded) return request
            discard(request)
            request.connection().close()
        }
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
}
