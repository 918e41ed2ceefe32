package cactusfold.node.http

import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClientResponse
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.getOrElse

/**
 * Reads the body of [response] chunk by chunk. The response stays paused between calls of [next],
 * which applies backpressure to the sender.
 */
public class ResponseChunkReader(private val response: HttpClientResponse) {
    /** Holds one requested chunk at most; the end or a failure may follow before it is taken. */
    private val chunks = Channel<Buffer>(Channel.UNLIMITED)

    init {
        response.pause()
        response.handler { chunks.trySend(it) }
        response.endHandler { chunks.close() }
        response.exceptionHandler { chunks.close(it) }
    }

    /** Returns the next chunk, or null at the end. Throws if the response is cut off. */
    public suspend fun next(): Buffer? {
        response.fetch(1)
        return chunks.receiveCatching().getOrElse { cause ->
            if (cause != null) throw cause
            null
        }
    }
}
