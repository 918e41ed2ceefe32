package cactusfold.entry.callers

import io.vertx.core.http.HttpConnection
import io.vertx.core.net.impl.ConnectionBase

/** The output of connections of Vert.x, which has no public interface for it. */
internal object VertxConnectionOutput : ConnectionOutput {
    override fun unsentBytes(connection: HttpConnection): Long {
        val buffer = (connection as? ConnectionBase)?.channel()?.unsafe()?.outboundBuffer()
            ?: return 0
        return buffer.totalPendingWriteBytes() - buffer.currentProgress()
    }

    /** Closes below the handler whose own close would first wait for what is left. */
    override fun cut(connection: HttpConnection) {
        when (connection) {
            is ConnectionBase -> connection.channel().pipeline().firstContext().close()
            else -> connection.close()
        }
    }
}
