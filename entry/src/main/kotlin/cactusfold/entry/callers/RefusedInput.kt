package cactusfold.entry.callers

import io.netty.handler.codec.DecoderResult

/**
 * Marks the request that stands for a head that was not complete in its time. It counts as a
 * success, since Vert.x would close the connection before the caller has read the refusal.
 */
internal object TimedOutHead : DecoderResult(IllegalStateException("the head took too long")) {
    override fun isSuccess(): Boolean = true

    override fun isFailure(): Boolean = false
}
