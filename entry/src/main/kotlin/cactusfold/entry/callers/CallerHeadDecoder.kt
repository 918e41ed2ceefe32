package cactusfold.entry.callers

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.TooLongFrameException
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.ByteProcessor
import io.vertx.core.http.HttpServerOptions
import io.vertx.core.http.impl.VertxHttpRequestDecoder

/**
 * Decodes requests, tells [heads] of those whose heads arrive in parts, and limits the size of each
 * head by [maxBytes] as it is when the head is decoded, as well as the framing of each body.
 */
internal class CallerHeadDecoder(
    options: HttpServerOptions,
    private val maxBytes: () -> Int,
    private val heads: HeadListener
) : VertxHttpRequestDecoder(options) {
    private var isInHead = false
    private var isInBody = false
    private var isRefused = false
    private var headBytes = 0L

    /** Whether the caller may be sending something that is not read as a whole request. */
    val isUnfinished: Boolean get() = isRefused || isInHead || isInBody

    /** Bytes of a chunk's size line, or of trailers, since the last content of the body. */
    private var framingBytes = 0L

    override fun decode(context: ChannelHandlerContext, input: ByteBuf, out: MutableList<Any>) {
        when {
            isRefused -> input.skipBytes(input.readableBytes())
            isInBody -> decodeBody(context, input, out)
            else -> decodeHead(context, input, out)
        }
    }

    private fun decodeBody(context: ChannelHandlerContext, input: ByteBuf, out: MutableList<Any>) {
        val unreadBytes = input.readableBytes()
        super.decode(context, input, out)
        if (out.isNotEmpty()) {
            framingBytes = 0
            isInBody = out.last() !is LastHttpContent
            return
        }
        val readBytes = unreadBytes - input.readableBytes()
        framingBytes += readBytes
        // What is left belongs to the framing only if nothing of it could be read.
        val leftBytes = if (readBytes == 0) input.readableBytes() else 0
        if (framingBytes + leftBytes <= PARTS * maxBytes()) return
        isRefused = true
        isInBody = false
        val cause = TooLongHttpHeaderException(FRAMING_TOO_LARGE)
        out += DefaultLastHttpContent().apply { decoderResult = DecoderResult.failure(cause) }
    }

    private fun decodeHead(context: ChannelHandlerContext, input: ByteBuf, out: MutableList<Any>) {
        val unreadBytes = input.readableBytes()
        val hasBegun = isInHead || input.forEachByte(BEFORE_HEAD) >= 0
        super.decode(context, input, out)
        if (!hasBegun) return
        headBytes += unreadBytes - input.readableBytes()
        val head = out.firstOrNull() as? HttpRequest
        when {
            head != null -> endHead(head, out)
            headBytes + input.readableBytes() > PARTS * maxBytes() ->
                refuse(TooLongHttpHeaderException(TOO_LARGE), out)
            !isInHead -> {
                isInHead = true
                heads.headBegan()
            }
        }
    }

    private fun endHead(head: HttpRequest, out: MutableList<Any>) {
        excess(head)?.let {
            isRefused = true
            head.decoderResult = DecoderResult.failure(it)
            if (out.last() !is LastHttpContent) out += LastHttpContent.EMPTY_LAST_CONTENT
        }
        isInBody = out.last() !is LastHttpContent
        leaveHead()
    }

    /** Returns the reason why [head] is too large; line ends don't count. */
    private fun excess(head: HttpRequest): TooLongFrameException? {
        val maxBytes = maxBytes()
        if (headBytes <= maxBytes || head.decoderResult().isFailure) return null
        val lineBytes = head.method().name().length + head.uri().length +
            head.protocolVersion().text().length + SPACES
        val lineEndBytes = LINE_END_BYTES * (head.headers().entries().size + EXTRA_LINES)
        return when {
            lineBytes > maxBytes -> TooLongHttpLineException(TOO_LARGE)
            headBytes - lineBytes - lineEndBytes > maxBytes -> TooLongHttpHeaderException(TOO_LARGE)
            else -> null
        }
    }

    private fun refuse(cause: TooLongFrameException, out: MutableList<Any>) {
        isRefused = true
        out += createInvalidMessage().apply { decoderResult = DecoderResult.failure(cause) }
        leaveHead()
    }

    private fun leaveHead() {
        headBytes = 0
        if (!isInHead) return
        isInHead = false
        heads.headEnded()
    }

    /** Puts a request with the result [TimedOutHead] in the place of the head on [channel]. */
    fun refuseHead(channel: Channel) {
        if (!isInHead) return
        isRefused = true
        isInHead = false
        val context = channel.pipeline().context(this) ?: return
        val request = createMessage(arrayOf("GET", "/", "HTTP/1.1"))
        context.fireChannelRead(request.apply { decoderResult = TimedOutHead })
        context.fireChannelRead(LastHttpContent.EMPTY_LAST_CONTENT)
        context.fireChannelReadComplete()
    }

    private companion object {
        const val TOO_LARGE = "the head of a request is too large"
        const val FRAMING_TOO_LARGE = "a chunk's size line or the trailers are too large"

        /** The request line and the header fields may each have the maximum size. */
        const val PARTS = 2L
        const val SPACES = 2
        const val LINE_END_BYTES = 2

        /** The request line and the empty one. */
        const val EXTRA_LINES = 2
        const val DELETE: Byte = 127

        /** Finds the first byte of a head: line ends and control characters may come before it. */
        val BEFORE_HEAD = ByteProcessor { it in 0..' '.code || it == DELETE }
    }
}
