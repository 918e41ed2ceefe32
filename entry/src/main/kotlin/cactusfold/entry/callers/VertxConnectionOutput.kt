package cactusfold.entry.callers

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelOption
import io.vertx.core.http.HttpConnection
import io.vertx.core.net.impl.ConnectionBase

/** The output of connections of Vert.x, which has no public interface for it. */
internal object VertxConnectionOutput : ConnectionOutput {
    override fun unsentBytes(connection: HttpConnection): Long {
        val buffer = (connection as? ConnectionBase)?.channel()?.unsafe()?.outboundBuffer()
            ?: return 0
        return buffer.totalPendingWriteBytes() - buffer.currentProgress()
    }

    override fun resetOnClose(connection: HttpConnection, isReset: Boolean) {
        val lingerSeconds = if (isReset) RESET_LINGER_SECONDS else DEFAULT_LINGER_SECONDS
        (connection as? ConnectionBase)?.channel()?.config()
            ?.setOption(ChannelOption.SO_LINGER, lingerSeconds)
    }

    /** Closes [connection], whose caller may still be sending, after what was written is sent. */
    fun end(connection: HttpConnection) {
        when (connection) {
            is ConnectionBase -> connection.channel().pipeline().run {
                writeAndFlush(Unpooled.EMPTY_BUFFER).addListener { close() }
            }
            else -> connection.close()
        }
    }

    /**
     * Closes below the handler whose own close would first wait for what is left. A connection that
     * is closed already has no handlers.
     */
    override fun cut(connection: HttpConnection) {
        when (connection) {
            is ConnectionBase -> connection.channel().pipeline().firstContext()?.close()
            else -> connection.close()
        }
    }

    private const val RESET_LINGER_SECONDS = 0
    private const val DEFAULT_LINGER_SECONDS = -1
}
