package cactusfold.entry.callers

import cactusfold.entry.upstream.Upstream
import io.netty.channel.ConnectTimeoutException
import io.vertx.core.Vertx
import io.vertx.core.net.NetClient
import io.vertx.core.net.NetClientOptions
import io.vertx.kotlin.coroutines.coAwait
import java.io.IOException
import java.net.ConnectException

/** Connects to upstreams in order to see whether they are there. */
public class UpstreamProbe(vertx: Vertx) {
    private val client: NetClient =
        vertx.createNetClient(NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS))

    /** Whether [upstream] refuses a connection; false if it does not answer at all. */
    public suspend fun isRefused(upstream: Upstream): Boolean = try {
        client.connect(upstream.entry.port, upstream.entry.host).coAwait().close()
        false
    } catch (e: ConnectException) {
        e !is ConnectTimeoutException
    } catch (_: IOException) {
        // Without a route or an answer it is not known whether the upstream has crashed.
        false
    }

    private companion object {
        /** A machine in the same region refuses within a few milliseconds. */
        const val CONNECT_TIMEOUT_MILLIS = 300
    }
}
