package cactusfold.ports.http

import io.netty.channel.Channel
import io.netty.util.AttributeKey
import io.vertx.core.http.HttpConnection
import io.vertx.core.http.impl.HttpClientConnectionInternal
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean

/** What a pooled connection has carried so far, and whether it may carry a further request. */
internal class ConnectionState(
    private val connection: HttpConnection,
    private val channel: Channel
) {
    private val isWithdrawn = AtomicBoolean()
    private val isUsed = AtomicBoolean()

    /** Whether the connection may carry a further request. */
    val isReusable: Boolean get() = !isWithdrawn.get()

    /** Records a request; returns whether it is the first one. */
    fun recordRequest(): Boolean = isUsed.compareAndSet(false, true)

    /** Takes the connection out of service at once, and closes it after its last response. */
    fun withdraw() {
        if (!isWithdrawn.compareAndSet(false, true)) return
        // A decoder that calls this must not find its channel closed when it goes on.
        channel.eventLoop().execute {
            connection.shutdown(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS)
        }
    }

    companion object {
        /** Longer than any response in progress, which its request bounds. */
        private const val CLOSE_TIMEOUT_SECONDS = 3_600L
        private val key = AttributeKey.valueOf<ConnectionState>(ConnectionState::class.java.name)

        /** Follows [connection] from now on, with a codec that applies [rules]. */
        fun attach(connection: HttpConnection, rules: ResponseRules) {
            val channel = channelOf(connection)
            val state = ConnectionState(connection, channel)
            channel.attr(key).set(state)
            StrictClientCodec.install(channel.pipeline(), state, rules)
        }

        /** Returns the state of [connection], to which one was attached. */
        fun of(connection: HttpConnection): ConnectionState = channelOf(connection).attr(key).get()

        private fun channelOf(connection: HttpConnection): Channel =
            (connection as HttpClientConnectionInternal).channelHandlerContext().channel()
    }
}
