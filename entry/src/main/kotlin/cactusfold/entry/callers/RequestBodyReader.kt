package cactusfold.entry.callers

import cactusfold.node.http.BodyChunkReader
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerRequest
import kotlinx.coroutines.withTimeoutOrNull

/** How receiving the body of a caller's request ended. */
internal sealed interface ReceivedBody {
    class Complete(val body: Buffer) : ReceivedBody

    /** The body exceeds the limit; the rest of it is dropped. */
    data object TooLarge : ReceivedBody

    /** The caller stopped sending before the end of the body. */
    data object Silent : ReceivedBody
}

/** Receives the body of a caller's request. */
internal class RequestBodyReader(private val request: HttpServerRequest) {
    /** Receives at most [maxBytes], waiting for each chunk for at most [silenceMillis]. */
    suspend fun read(maxBytes: Int, silenceMillis: Long): ReceivedBody {
        val announced = request.getHeader("content-length")?.toLongOrNull() ?: 0
        if (announced > maxBytes) return ReceivedBody.TooLarge
        val chunks = BodyChunkReader(request)
        val body = Buffer.buffer()
        while (true) {
            val received = withTimeoutOrNull(silenceMillis) { Received(chunks.next()) }
            if (received == null) {
                chunks.discard()
                return ReceivedBody.Silent
            }
            body.appendBuffer(received.chunk ?: return ReceivedBody.Complete(body))
            if (body.length() > maxBytes) {
                chunks.discard()
                return ReceivedBody.TooLarge
            }
        }
    }

    /** A chunk, or the end of the body if it is null. */
    private class Received(val chunk: Buffer?)
}
