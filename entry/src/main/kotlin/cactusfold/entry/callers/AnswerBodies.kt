package cactusfold.entry.callers

import cactusfold.node.http.BodyChunkReader
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClientResponse

/**
 * Reads complete bodies of answers into memory, within a limit for each and one for all that are
 * being read. An upstream may send bytes without end, on many connections at once. When all bodies
 * together are too long, the longest ones are given up, so that a short answer still arrives.
 */
public class AnswerBodies(private val maxBytes: Int = MAX_BYTES, private val maxTotalBytes: Long) {
    private val reading = mutableSetOf<Body>()

    private class Body {
        var buffer: Buffer = Buffer.buffer()
            private set
        var isGivenUp = false
            private set

        /** Frees the memory; the connection may stay open until the upstream sends again. */
        fun giveUp() {
            isGivenUp = true
            buffer = Buffer.buffer()
        }
    }

    /** Bytes of all bodies that are being read. */
    public val totalBytes: Int get() = reading.sumOf { it.buffer.length() }

    /** Returns the body of [response]; null if it exceeds a limit. */
    public suspend fun read(response: HttpClientResponse): Buffer? {
        val body = Body()
        val pieces = BodyChunkReader(response)
        reading += body
        try {
            while (true) {
                val piece = pieces.next() ?: return body.buffer.takeUnless { body.isGivenUp }
                if (body.isGivenUp) return null
                body.buffer.appendBuffer(piece)
                if (body.buffer.length() > maxBytes) return null
                makeRoom()
            }
        } finally {
            reading -= body
        }
    }

    private fun makeRoom() {
        while (totalBytes > maxTotalBytes) reading.maxBy { it.buffer.length() }.giveUp()
    }

    private companion object {
        /** The size that bodies of callers have by default at most. */
        const val MAX_BYTES = 4 * 1024 * 1024
    }
}
