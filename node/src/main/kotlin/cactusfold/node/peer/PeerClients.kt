package cactusfold.node.peer

import cactusfold.protocol.HolderGrpcKt.HolderCoroutineStub
import cactusfold.protocol.PeerGrpcKt.PeerCoroutineStub
import cactusfold.settings.schema.HostPort
import io.grpc.ManagedChannel
import io.grpc.Status
import io.grpc.StatusException
import io.grpc.netty.NettyChannelBuilder
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.nio.NioSocketChannel
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import kotlinx.coroutines.withTimeoutOrNull

/** The outcome of a call to another process. */
public sealed interface PeerResult<out A> {
    /** The peer returned [value]. */
    public data class Answer<A>(public val value: A) : PeerResult<A>

    /** The peer could not be reached, did not answer in time, or returned an error status. */
    public data class Failed(public val reason: String) : PeerResult<Nothing>
}

/** gRPC channels to other processes, one per address, created on first use. */
public class PeerClients(private val eventLoops: EventLoopGroup) {
    /** Counters of the calls and bytes on all channels. */
    public val traffic: PeerTraffic = PeerTraffic()

    private val channels = ConcurrentHashMap<HostPort, ManagedChannel>()

    /** Calls the peer service at [address]. */
    public suspend fun <A> peer(
        address: HostPort,
        timeoutMillis: Long,
        call: suspend PeerCoroutineStub.() -> A
    ): PeerResult<A> = callWithTimeout(timeoutMillis) { PeerCoroutineStub(channel(address)).call() }

    /** Calls the service at [address] that answers for the shards which that process holds. */
    public suspend fun <A> holder(
        address: HostPort,
        timeoutMillis: Long,
        call: suspend HolderCoroutineStub.() -> A
    ): PeerResult<A> = callWithTimeout(timeoutMillis) {
        HolderCoroutineStub(channel(address)).call()
    }

    /** Closes all channels and cancels calls in progress. */
    public fun close() {
        channels.values.forEach { it.shutdownNow() }
    }

    private suspend fun <A> callWithTimeout(
        timeoutMillis: Long,
        call: suspend () -> A
    ): PeerResult<A> = try {
        withTimeoutOrNull(timeoutMillis) { PeerResult.Answer(call()) }
            ?: PeerResult.Failed("no answer within $timeoutMillis ms")
    } catch (e: StatusException) {
        PeerResult.Failed(describe(e.status))
    }

    private fun describe(status: Status): String =
        listOfNotNull(status.code.name, status.description).joinToString(": ")

    /** Returns the channel to [address], which is created on first use. */
    public fun channel(address: HostPort): ManagedChannel = channels.computeIfAbsent(address) {
        NettyChannelBuilder.forAddress(InetSocketAddress(it.host, it.port))
            .usePlaintext()
            .intercept(traffic)
            .directExecutor()
            .eventLoopGroup(eventLoops)
            .channelType(NioSocketChannel::class.java)
            .idleTimeout(IDLE_MINUTES, TimeUnit.MINUTES)
            .build()
    }

    private companion object {
        const val IDLE_MINUTES = 5L
    }
}
