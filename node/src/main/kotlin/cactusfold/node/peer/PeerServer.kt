package cactusfold.node.peer

import cactusfold.settings.schema.HostPort
import io.grpc.BindableService
import io.grpc.Server
import io.grpc.netty.NettyServerBuilder
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.nio.NioServerSocketChannel
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

/** The gRPC server for calls from other processes of the fleet. */
public class PeerServer(
    address: HostPort,
    eventLoops: EventLoopGroup,
    services: List<BindableService>
) {
    private val server: Server = NettyServerBuilder
        .forAddress(InetSocketAddress(address.host, address.port))
        .bossEventLoopGroup(eventLoops)
        .workerEventLoopGroup(eventLoops)
        .channelType(NioServerSocketChannel::class.java)
        .directExecutor()
        .maxInboundMessageSize(MAX_MESSAGE_BYTES)
        .apply { services.forEach { addService(it) } }
        .build()

    /** The port on which the server listens. */
    public val port: Int get() = server.port

    public fun start() {
        server.start()
    }

    /** Rejects new calls, waits up to [graceMillis] for those in progress, then cancels them. */
    public fun stop(graceMillis: Long) {
        server.shutdown()
        if (!server.awaitTermination(graceMillis, TimeUnit.MILLISECONDS)) server.shutdownNow()
    }

    private companion object {
        const val MAX_MESSAGE_BYTES = 16 * 1024 * 1024
    }
}
