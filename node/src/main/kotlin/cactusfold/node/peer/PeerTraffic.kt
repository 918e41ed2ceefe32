package cactusfold.node.peer

import io.grpc.CallOptions
import io.grpc.Channel
import io.grpc.ClientCall
import io.grpc.ClientInterceptor
import io.grpc.ClientStreamTracer
import io.grpc.Metadata
import io.grpc.MethodDescriptor
import java.util.concurrent.atomic.AtomicLong

/** Interceptor that counts calls to other processes and the bytes sent and received. */
public class PeerTraffic : ClientInterceptor {
    private val callCount = AtomicLong()
    private val byteCount = AtomicLong()

    /** The number of calls made. */
    public val calls: Long get() = callCount.get()

    /** The bytes of messages sent and received, without HTTP/2 headers. */
    public val bytes: Long get() = byteCount.get()

    override fun <A, B> interceptCall(
        method: MethodDescriptor<A, B>,
        options: CallOptions,
        next: Channel
    ): ClientCall<A, B> {
        callCount.incrementAndGet()
        return next.newCall(method, options.withStreamTracerFactory(Tracers()))
    }

    private inner class Tracers : ClientStreamTracer.Factory() {
        override fun newClientStreamTracer(
            info: ClientStreamTracer.StreamInfo,
            headers: Metadata
        ): ClientStreamTracer = object : ClientStreamTracer() {
            override fun outboundWireSize(bytes: Long) {
                byteCount.addAndGet(bytes)
            }

            override fun inboundWireSize(bytes: Long) {
                byteCount.addAndGet(bytes)
            }
        }
    }
}
