package cactusfold.entry.callers

import cactusfold.node.http.ResponseChunkReader
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClientResponse

/**
 * Reads complete bodies of answers into memory, within a limit for each and one for all that are
 * being read. An upstream may send bytes without end, on many connections at once.
 */
public class AnswerBodies(
    private val maxBytes: Int = MAX_BYTES,
    private val maxTotalBytes: Int = MAX_TOTAL_BYTES
) {
    /** Bytes of all bodies that are being read. */
    public var totalBytes: Int = 0
        private set

    /** Returns the body of [response]; null if it exceeds a limit. */
    public suspend fun read(response: HttpClientResponse): Buffer? {
        val body = Buffer.buffer()
        val pieces = ResponseChunkReader(response)
        try {
            while (true) {
                val piece = pieces.next() ?: return body
                totalBytes += piece.length()
                body.appendBuffer(piece)
                if (body.length() > maxBytes || totalBytes > maxTotalBytes) return null
            }
        } finally {
            totalBytes -= body.length()
        }
    }

    private companion object {
        /** The size that bodies of callers have by default at most. */
        const val MAX_BYTES = 4 * 1024 * 1024

        /** A sixth of the heap. */
        const val MAX_TOTAL_BYTES = 6 * 1024 * 1024
    }
}
