package cactusfold.entry.callers

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.TooLongFrameException
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.ByteProcessor
import io.netty.util.ReferenceCountUtil
import io.vertx.core.http.HttpServerOptions
import io.vertx.core.http.impl.VertxHttpRequestDecoder

/**
 * Decodes requests, tells [heads] of those whose heads arrive in parts, and limits the size of each
 * head by [maxBytes] as it is when the head is decoded, as well as the framing of each body.
 *
 * A head that [check] or the decoder itself refuses, is replaced by a request with the result
 * [RefusedInput.Head]. A body that is malformed ends, and the result of its request becomes
 * [RefusedInput.Body]. Nothing that follows on the connection is read after either.
 */
internal class CallerHeadDecoder(
    options: HttpServerOptions,
    private val maxBytes: () -> Int,
    private val heads: HeadListener,
    private val check: HeadCheck
) : VertxHttpRequestDecoder(options) {
    private val lines = HeadLines()
    private val chunks = ChunkLines()
    private var isInHead = false
    private var isRefused = false
    private var headBytes = 0L

    /** The version of the head that is decoded, as it was written. */
    private var version = ""

    /** The request whose body is decoded; null for none. */
    private var current: HttpRequest? = null

    /** Whether the caller may be sending something that is not read as a whole request. */
    val isUnfinished: Boolean get() = isRefused || isInHead || current != null

    /** Bytes of a chunk's size line, or of trailers, since the last content of the body. */
    private var framingBytes = 0L

    override fun decode(context: ChannelHandlerContext, input: ByteBuf, out: MutableList<Any>) {
        val request = current
        when {
            isRefused -> input.skipBytes(input.readableBytes())
            request != null -> decodeBody(request, context, input, out)
            else -> decodeHead(context, input, out)
        }
    }

    override fun decodeLast(context: ChannelHandlerContext, input: ByteBuf, out: MutableList<Any>) {
        when {
            isRefused -> input.skipBytes(input.readableBytes())
            else -> super.decodeLast(context, input, out)
        }
    }

    override fun createMessage(initialLine: Array<out String>): HttpMessage {
        val message = super.createMessage(initialLine)
        version = initialLine[VERSION_AT]
        // In the old version the decoder would choose between lengths that differ.
        if (message.protocolVersion() == HttpVersion.HTTP_1_0) {
            message.protocolVersion = HttpVersion.HTTP_1_1
        }
        return message
    }

    /** Keeps both headers, so that such a head is refused. */
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit = Unit

    private fun decodeBody(
        request: HttpRequest,
        context: ChannelHandlerContext,
        input: ByteBuf,
        out: MutableList<Any>
    ) {
        val unreadBytes = input.readableBytes()
        val from = input.readerIndex()
        super.decode(context, input, out)
        if (HttpUtil.isTransferEncodingChunked(request)) {
            chunks.read(input, from)
            if (chunks.isMalformed) {
                out.forEach(ReferenceCountUtil::release)
                out.clear()
                return refuseBody(request, input, out)
            }
        }
        val last = out.lastOrNull()
        if (last != null) {
            framingBytes = 0
            if (last !is LastHttpContent) return
            current = null
            if (last.decoderResult().isFailure) {
                ReferenceCountUtil.release(out.removeLast())
                refuseBody(request, input, out)
            }
            return
        }
        val readBytes = unreadBytes - input.readableBytes()
        framingBytes += readBytes
        // What is left belongs to the framing only if nothing of it could be read.
        val leftBytes = if (readBytes == 0) input.readableBytes() else 0
        if (framingBytes + leftBytes > PARTS * maxBytes()) refuseBody(request, input, out)
    }

    private fun refuseBody(request: HttpRequest, input: ByteBuf, out: MutableList<Any>) {
        isRefused = true
        input.skipBytes(input.readableBytes())
        current = null
        request.decoderResult = RefusedInput.Body(InputRefusal.CHUNK_MALFORMED)
        heads.refused(InputRefusal.CHUNK_MALFORMED.code)
        out += LastHttpContent.EMPTY_LAST_CONTENT
    }

    private fun decodeHead(context: ChannelHandlerContext, input: ByteBuf, out: MutableList<Any>) {
        val unreadBytes = input.readableBytes()
        val from = input.readerIndex()
        val hasBegun = isInHead || input.forEachByte(BEFORE_HEAD) >= 0
        super.decode(context, input, out)
        lines.read(input, from)
        val head = out.firstOrNull() as? HttpRequest
        if (hasBegun) headBytes += unreadBytes - input.readableBytes()
        val refusal = if (head == null) refusalOfPart(input) else refusalOf(head)
        when {
            refusal != null -> {
                input.skipBytes(input.readableBytes())
                refuse(refusal, head?.method(), out)
            }
            head != null -> endHead(head, out)
            hasBegun && !isInHead -> {
                isInHead = true
                heads.headBegan()
            }
        }
    }

    private fun refusalOfPart(input: ByteBuf): InputRefusal? = lines.refusal
        ?: InputRefusal.HEAD_TOO_LARGE.takeIf {
            headBytes + input.readableBytes() > PARTS * maxBytes()
        }

    private fun refusalOf(head: HttpRequest): InputRefusal? {
        val failure = head.decoderResult().cause()
        return when {
            failure is TooLongHttpLineException -> InputRefusal.LINE_TOO_LARGE
            failure is TooLongFrameException -> InputRefusal.HEAD_TOO_LARGE
            lines.refusal != null -> lines.refusal
            failure != null -> InputRefusal.HEAD_MALFORMED
            else -> check.refusalOf(DecodedHead(version, head.uri(), head.headers()))
                ?: excess(head)
        }
    }

    private fun endHead(head: HttpRequest, out: MutableList<Any>) {
        head.protocolVersion = HttpVersion.valueOf(version)
        current = head.takeIf { out.last() !is LastHttpContent }
        chunks.reset()
        leaveHead()
    }

    /** Returns the reason why [head] is too large; line ends don't count. */
    private fun excess(head: HttpRequest): InputRefusal? {
        val maxBytes = maxBytes()
        if (headBytes <= maxBytes) return null
        val lineBytes = head.method().name().length + head.uri().length + version.length + SPACES
        val lineEndBytes = LINE_END_BYTES * (head.headers().entries().size + EXTRA_LINES)
        return when {
            lineBytes > maxBytes -> InputRefusal.LINE_TOO_LARGE
            headBytes - lineBytes - lineEndBytes > maxBytes -> InputRefusal.HEAD_TOO_LARGE
            else -> null
        }
    }

    private fun refuse(refusal: InputRefusal, method: HttpMethod?, out: MutableList<Any>) {
        isRefused = true
        out.forEach(ReferenceCountUtil::release)
        out.clear()
        out += standIn(refusal, method)
        out += LastHttpContent.EMPTY_LAST_CONTENT
        leaveHead()
        heads.refused(refusal.code)
    }

    /** The answer to HEAD has no body, which would be taken for another answer. */
    private fun standIn(refusal: InputRefusal, method: HttpMethod?): HttpMessage {
        val line = arrayOf(if (method == HttpMethod.HEAD) "HEAD" else "GET", "/", "HTTP/1.1")
        return createMessage(line).apply { decoderResult = RefusedInput.Head(refusal) }
    }

    private fun leaveHead() {
        headBytes = 0
        lines.reset()
        if (!isInHead) return
        isInHead = false
        heads.headEnded()
    }

    /** Puts a request that is refused in the place of the head that is late on [channel]. */
    fun refuseHead(channel: Channel) {
        if (!isInHead) return
        isRefused = true
        isInHead = false
        val context = channel.pipeline().context(this) ?: return
        context.fireChannelRead(standIn(InputRefusal.HEAD_TIMED_OUT, method = null))
        context.fireChannelRead(LastHttpContent.EMPTY_LAST_CONTENT)
        context.fireChannelReadComplete()
    }

    private companion object {
        /** Where the parts of a request line have the version. */
        const val VERSION_AT = 2

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
