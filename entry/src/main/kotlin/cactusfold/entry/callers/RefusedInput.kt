package cactusfold.entry.callers

import io.netty.handler.codec.DecoderResult

/**
 * Marks a request that is not to be served. It counts as a success, since Vert.x would close the
 * connection before the caller has read the refusal.
 */
internal sealed class RefusedInput(val refusal: InputRefusal) :
    DecoderResult(IllegalStateException(refusal.code)) {
    override fun isSuccess(): Boolean = true

    override fun isFailure(): Boolean = false

    /** The request only stands for a head that was refused. */
    class Head(refusal: InputRefusal) : RefusedInput(refusal)

    /** The head was read, and the body of the request is not whole although it has ended. */
    class Body(refusal: InputRefusal) : RefusedInput(refusal)
}
