package cactusfold.entry.callers

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelDuplexHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOption
import io.netty.channel.ChannelPromise
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.channel.socket.SocketChannel
import io.netty.util.ReferenceCountUtil
import java.util.concurrent.TimeUnit

/**
 * Closes a connection whose caller [isSending] in two steps: ends the output, then drops what still
 * arrives, within bounds of time and bytes. Bytes that nobody reads would reset the connection, and
 * the caller might lose the answer that was written before.
 */
internal class LingeringClose(private val isSending: () -> Boolean) : ChannelDuplexHandler() {
    private var closing: ChannelPromise? = null
    private var droppedBytes = 0L

    override fun close(context: ChannelHandlerContext, promise: ChannelPromise) {
        val earlier = closing
        when {
            earlier != null -> earlier.addListener { promise.trySuccess() }
            mayLinger(context) -> linger(context, promise)
            else -> context.close(promise)
        }
    }

    private fun mayLinger(context: ChannelHandlerContext): Boolean {
        val channel = context.channel()
        return channel is SocketChannel &&
            channel.isActive &&
            isSending() &&
            !channel.isInputShutdown &&
            !channel.isOutputShutdown &&
            // A connection that is to be reset must not end in order.
            channel.config().getOption(ChannelOption.SO_LINGER) != 0
    }

    private fun linger(context: ChannelHandlerContext, promise: ChannelPromise) {
        closing = promise
        context.channel().config().isAutoRead = true
        context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener {
            if (it.isSuccess) (context.channel() as SocketChannel).shutdownOutput()
        }
        context.executor().schedule({ end(context) }, MAX_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun end(context: ChannelHandlerContext) {
        closing?.let { if (!it.isDone) context.close(it) }
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (closing == null) return super.channelRead(context, message)
        droppedBytes += (message as? ByteBuf)?.readableBytes() ?: 0
        ReferenceCountUtil.release(message)
        if (droppedBytes > MAX_BYTES) end(context)
    }

    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        if (closing != null && event === ChannelInputShutdownEvent.INSTANCE) {
            end(context)
        } else {
            super.userEventTriggered(context, event)
        }
    }

    private companion object {
        const val MAX_MILLIS = 1_000L
        const val MAX_BYTES = 1_048_576L
    }
}
