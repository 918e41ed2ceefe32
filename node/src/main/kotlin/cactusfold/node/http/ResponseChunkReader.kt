package cactusfold.node.http

import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClientResponse
import kotlinx.coroutines.CompletableDeferred

/**
 * Reads the body of [response] chunk by chunk. The response stays paused between calls of [next],
 * which applies backpressure to the sender.
 */
public class ResponseChunkReader(private val response: HttpClientResponse) {
    private var next = CompletableDeferred<Buffer?>()

    init {
        response.pause()
        response.handler { next.complete(it) }
        response.endHandler { next.complete(null) }
        response.exceptionHandler { next.completeExceptionally(it) }
    }

    /** Returns the next chunk, or null at the end. Throws if the response is cut off. */
    public suspend fun next(): Buffer? {
        response.fetch(1)
        val chunk = next.await()
        if (chunk != null) next = CompletableDeferred()
        return chunk
    }
}
