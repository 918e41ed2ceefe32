package cactusfold.ports.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelPipeline
import io.netty.channel.ChannelPromise
import io.netty.channel.CombinedChannelDuplexHandler
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.LastHttpContent
import org.apache.logging.log4j.LogManager

/** Thrown for a response whose head is malformed, or joined from the heads of two responses. */
public class MalformedHeadException(message: String) : Exception(message)

/**
 * HTTP/1.1 codec of a client, without pipelining and upgrades, for servers that may write a
 * response once more, late and only in part.
 *
 * Such a part shows in two ways. It arrives while no request is in progress: then the connection
 * carries no further request, even if the part is a single byte that is no message yet. Or it
 * precedes a response, and the two heads are read as one: then that is no response.
 */
internal class StrictClientCodec private constructor(
    private val exchange: ExchangeState,
    decoder: HttpResponseDecoder
) : CombinedChannelDuplexHandler<HttpResponseDecoder, HttpRequestEncoder>(
    decoder,
    HttpRequestEncoder()
) {
    override fun write(ctx: ChannelHandlerContext, message: Any, promise: ChannelPromise) {
        if (message is HttpRequest) exchange.begin(message.method())
        super.write(ctx, message, promise)
    }

    private class ExchangeState {
        /** Whether a request was written whose response has not ended. */
        var isInProgress = false

        /** Whether that request asks for the head of a response alone. */
        var isHead = false
            private set

        fun begin(method: HttpMethod) {
            isInProgress = true
            isHead = method == HttpMethod.HEAD
        }
    }

    private class Decoder(
        private val exchange: ExchangeState,
        private val connection: ConnectionState,
        private val rules: ResponseRules
    ) : HttpResponseDecoder(HttpDecoderConfig().setValidateHeaders(true)) {
        /** Whether the last head was an interim one, whose end is not that of the response. */
        private var isInterim = false

        override fun createMessage(initialLine: Array<out String>): HttpMessage {
            // Only its number is kept, which is the same for "0200" and "200".
            if (initialLine[1].length != STATUS_DIGITS) {
                throw MalformedHeadException("the status has not three digits")
            }
            return super.createMessage(initialLine)
        }

        /** Keeps both headers for [ResponseRules.faultOf]. */
        override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
            Unit

        override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
            exchange.isHead || super.isContentAlwaysEmpty(message)

        override fun decode(ctx: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
            if (!exchange.isInProgress) {
                dropUnsolicited(ctx, buffer)
                return
            }
            val decodedBefore = out.size
            super.decode(ctx, buffer, out)
            for (message in out.drop(decodedBefore)) {
                if (message is HttpResponse) inspect(message)
                if (message is LastHttpContent && !isInterim) {
                    exchange.isInProgress = false
                    // The next request may be written before this method is called again.
                    if (buffer.isReadable) dropUnsolicited(ctx, buffer)
                }
            }
        }

        private fun inspect(response: HttpResponse) {
            isInterim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL
            if (response.decoderResult().isSuccess) {
                rules.faultOf(response)?.let {
                    response.decoderResult = DecoderResult.failure(MalformedHeadException(it))
                }
            }
            if (!isInterim && !rules.allowsReuse(response)) connection.withdraw()
        }

        private fun dropUnsolicited(ctx: ChannelHandlerContext, buffer: ByteBuf) {
            if (connection.isReusable) {
                log.info(
                    "{} bytes from {} came while no request was in progress: {}",
                    buffer.readableBytes(),
                    ctx.channel().remoteAddress(),
                    beginningOf(buffer)
                )
            }
            buffer.skipBytes(buffer.readableBytes())
            connection.withdraw()
        }

        private fun beginningOf(buffer: ByteBuf): String {
            val length = minOf(buffer.readableBytes(), LOGGED_BYTES)
            return buffer.toString(buffer.readerIndex(), length, Charsets.ISO_8859_1)
                .filter { it in ' '..'~' }
        }
    }

    companion object {
        private const val STATUS_DIGITS = 3

        /** Enough for a status line. */
        private const val LOGGED_BYTES = 24
        private val log = LogManager.getLogger(StrictClientCodec::class.java)

        /** Replaces the codec in [pipeline], before the first request is written. */
        fun install(pipeline: ChannelPipeline, connection: ConnectionState, rules: ResponseRules) {
            val exchange = ExchangeState()
            val codec = StrictClientCodec(exchange, Decoder(exchange, connection, rules))
            val name = pipeline.context(HttpClientCodec::class.java).name()
            pipeline.replace(name, name, codec)
        }
    }
}
