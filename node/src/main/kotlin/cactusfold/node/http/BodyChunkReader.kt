package cactusfold.node.http

import io.vertx.core.buffer.Buffer
import io.vertx.core.streams.ReadStream
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.getOrElse

/**
 * Reads the [body] of a request or response chunk by chunk. It stays paused between calls of
 * [next], which applies backpressure to the sender.
 */
public class BodyChunkReader(private val body: ReadStream<Buffer>) {
    /** Holds one requested chunk at most; the end or a failure may follow before it is taken. */
    private val chunks = Channel<Buffer>(Channel.UNLIMITED)

    init {
        body.pause()
        body.handler { chunks.trySend(it) }
        body.endHandler { chunks.close() }
        body.exceptionHandler { chunks.close(it) }
    }

    /** Returns the next chunk, or null at the end. Throws if the body is cut off. */
    public suspend fun next(): Buffer? {
        body.fetch(1)
        return chunks.receiveCatching().getOrElse { cause ->
            if (cause != null) throw cause
            null
        }
    }

    /** Drops the rest of the body as it arrives. */
    public fun discard() {
        body.handler { }
        body.resume()
    }
}
