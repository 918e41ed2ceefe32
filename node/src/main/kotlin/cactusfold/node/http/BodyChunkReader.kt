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
    private val chunks = Channel<Buffer>(Channel.UNLIMITED) { undelivered = it }

    /** A chunk that arrived for a read that was cancelled before it returned. */
    private var undelivered: Buffer? = null
    private var isRequested = false

    init {
        body.pause()
        body.handler { chunks.trySend(it) }
        body.endHandler { chunks.close() }
        body.exceptionHandler { chunks.close(it) }
    }

    /**
     * Returns the next chunk, or null at the end. Throws if the body is cut off. A call that is
     * cancelled takes nothing; the next one returns what has arrived meanwhile.
     */
    public suspend fun next(): Buffer? {
        if (!isRequested) {
            isRequested = true
            body.fetch(1)
        }
        val chunk = undelivered ?: chunks.receiveCatching().getOrElse { cause ->
            if (cause != null) throw cause
            return null
        }
        undelivered = null
        isRequested = false
        return chunk
    }

    /** Drops the rest of the body as it arrives. */
    public fun discard() {
        body.handler { }
        body.resume()
    }
}
