package cactusfold.entry.callers

import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelOption
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.vertx.core.http.HttpConnection
import io.vertx.core.http.HttpServerOptions
import io.vertx.core.net.impl.ConnectionBase

/** The input of connections of Vert.x, which tells of a request only when its head is complete. */
internal class VertxConnectionInput private constructor(
    override val address: String,
    private val channel: Channel,
    private val decoder: CallerHeadDecoder
) : ConnectionInput {
    override val isReading: Boolean get() = channel.config().isAutoRead

    override fun refuseHead(): Unit = decoder.refuseHead(channel)

    companion object {
        /**
         * Has heads that arrive on [connection] be limited to [maxHeadBytes], told to [heads], and
         * refused by [check].
         * The end of the input doesn't close the connection any more.
         * To be called before anything is read from it.
         */
        fun of(
            connection: HttpConnection,
            options: HttpServerOptions,
            maxHeadBytes: () -> Int,
            heads: HeadListener,
            check: HeadCheck
        ): ConnectionInput {
            val channel = (connection as ConnectionBase).channel()
            val decoder = CallerHeadDecoder(options, maxHeadBytes, heads, check)
            channel.config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
            channel.pipeline().addFirst(LingeringClose(decoder::isUnfinished))
            channel.pipeline().replace(DECODER, DECODER, decoder)
            channel.pipeline().addAfter(DECODER, INPUT_END, InputEndHandler(heads))
            val address = connection.remoteAddress()?.host().orEmpty()
            return VertxConnectionInput(address, channel, decoder)
        }

        /** Name that Vert.x gives to its own decoder. */
        private const val DECODER = "httpDecoder"
        private const val INPUT_END = "inputEnd"
    }

    private class InputEndHandler(private val heads: HeadListener) :
        ChannelInboundHandlerAdapter() {
        override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
            if (event === ChannelInputShutdownEvent.INSTANCE) heads.inputEnded()
            super.userEventTriggered(context, event)
        }
    }
}
