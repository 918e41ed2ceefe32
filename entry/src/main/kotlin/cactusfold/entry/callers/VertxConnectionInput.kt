package cactusfold.entry.callers

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.vertx.core.http.HttpConnection
import io.vertx.core.net.impl.ConnectionBase

/** The input of connections of Vert.x, which tells of a request only when its head is complete. */
internal object VertxConnectionInput {
    /** Has [action] called each time bytes arrive on [connection]. */
    fun onReceived(connection: HttpConnection, action: () -> Unit) {
        (connection as? ConnectionBase)?.channel()?.pipeline()?.addFirst(Received(action))
    }

    private class Received(private val action: () -> Unit) : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            action()
            context.fireChannelRead(message)
        }
    }
}
