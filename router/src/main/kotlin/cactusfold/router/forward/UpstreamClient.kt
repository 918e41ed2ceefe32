package cactusfold.router.forward

import cactusfold.node.http.BodyChunkReader
import cactusfold.ports.http.KeptConnections
import cactusfold.ports.http.ResponseRules
import cactusfold.router.UpstreamSettings
import cactusfold.router.lane.Target
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpClientRequest
import io.vertx.core.http.HttpClientResponse
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.PoolOptions
import io.vertx.core.http.RequestOptions
import io.vertx.kotlin.coroutines.coAwait
import java.util.concurrent.TimeUnit
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.withTimeout

/** One attempt to run a request. An upstream that echoes an id must echo [id]. */
public class Attempt(
    public val id: String,
    public val method: HttpMethod,
    public val uri: String,
    public val headers: List<Pair<String, String>>,
    public val body: Buffer
)

/** Status and headers of an upstream response. */
public class ResponseHead(public val status: Int, public val headers: List<Pair<String, String>>) {
    /** Whether this is the head of a successful event stream. */
    public val isEventStream: Boolean
        get() = status in 200..299 &&
            headers.any { (name, value) ->
                name.equals("content-type", ignoreCase = true) &&
                    value.startsWith("text/event-stream", ignoreCase = true)
            }
}

/** A completely received response. */
public class BufferedResponse(public val head: ResponseHead, public val body: Buffer)

/** Receives a streamed response chunk by chunk. */
public interface StreamSink {
    /** Receives the head; called once, before the first chunk. */
    public suspend fun begin(head: ResponseHead)

    /** Receives a chunk; suspends to apply backpressure. */
    public suspend fun write(chunk: Buffer)
}

/** Result of an attempt. */
public sealed interface AttemptResult {
    /** The complete response was received. */
    public class Buffered(public val response: BufferedResponse, public val firstByteMillis: Long) :
        AttemptResult

    /** The complete response was written to the sink. */
    public class Streamed(public val status: Int, public val firstByteMillis: Long) : AttemptResult

    /** No connection was made, so the upstream has not run the request. */
    public class NotSent(public val reason: String) : AttemptResult

    /**
     * The request may have been sent, and no complete response was received.
     *
     * @property hasStreamed whether a part of the response was passed to the sink.
     */
    public class Broken(public val reason: String, public val hasStreamed: Boolean) : AttemptResult
}

/** HTTP client for upstreams. Event streams go to a sink; other responses are buffered. */
public class UpstreamClient(vertx: Vertx, private val limits: UpstreamSettings) {
    private val connections = KeptConnections(
        vertx,
        HttpClientOptions()
            .setConnectTimeout(limits.connectTimeoutMillis)
            .setIdleTimeout(limits.idleTimeoutMillis.toInt())
            .setIdleTimeoutUnit(TimeUnit.MILLISECONDS)
            .setKeepAliveTimeout(KEEP_ALIVE_SECONDS),
        PoolOptions().setHttp1MaxSize(limits.connectionsMax),
        // Upstreams need not name the request, and a response without a name says nothing.
        ResponseRules(closesOnFailure = true)
    )

    /** Sends [attempt] to [target]. Cancellation resets the request so that the upstream stops. */
    public suspend fun send(target: Target, attempt: Attempt, sink: StreamSink?): AttemptResult {
        val exchange = Exchange(target, attempt, sink)
        return try {
            withTimeout(limits.answerTimeoutMillis) { exchange.run() }
        } catch (_: TimeoutCancellationException) {
            exchange.abort()
            exchange.failure("no complete response within ${limits.answerTimeoutMillis} ms")
        } catch (e: CancellationException) {
            exchange.abort()
            throw e
        } catch (e: Exception) {
            exchange.abort()
            exchange.failure(e.message ?: e.javaClass.simpleName)
        }
    }

    /** Closes all connections. */
    public fun close() {
        connections.close()
    }

    private inner class Exchange(
        private val target: Target,
        private val attempt: Attempt,
        private val sink: StreamSink?
    ) {
        private var request: HttpClientRequest? = null
        private var hasStreamed = false
        private val startedNanos = System.nanoTime()

        suspend fun run(): AttemptResult {
            val open = connections.open(options()).request
            request = open
            val response = open.send(attempt.body).map { it.pause() }.coAwait()
            val firstByteMillis = (System.nanoTime() - startedNanos) / NANOS_PER_MILLI
            val echoedId = response.getHeader(ID_HEADER)
            if (echoedId != null && echoedId != attempt.id) {
                abort()
                return failure("the response belongs to request $echoedId")
            }
            val head = ResponseHead(
                response.statusCode(),
                HopByHopHeaders.towardsCaller(response.headers())
            )
            val isEventStream = response.getHeader(
                "content-type"
            ).orEmpty().startsWith(EVENT_STREAM)
            return if (sink != null && isEventStream && head.status == OK) {
                stream(response, head, sink, firstByteMillis)
            } else {
                val body = response.body()
                response.resume()
                AttemptResult.Buffered(BufferedResponse(head, body.coAwait()), firstByteMillis)
            }
        }

        fun abort() {
            request?.reset()
        }

        fun failure(reason: String): AttemptResult = if (request == null) {
            AttemptResult.NotSent(reason)
        } else {
            AttemptResult.Broken(reason, hasStreamed)
        }

        private suspend fun stream(
            response: HttpClientResponse,
            head: ResponseHead,
            sink: StreamSink,
            firstByteMillis: Long
        ): AttemptResult {
            val tail = StreamTail()
            val chunks = BodyChunkReader(response)
            while (true) {
                val chunk = chunks.next() ?: break
                if (!hasStreamed) {
                    hasStreamed = true
                    sink.begin(head)
                }
                tail.add(chunk)
                sink.write(chunk)
            }
            if (!tail.isComplete) return failure("the stream ended before its last event")
            return AttemptResult.Streamed(head.status, firstByteMillis)
        }

        private fun options(): RequestOptions {
            val options = RequestOptions()
                .setMethod(attempt.method)
                .setHost(target.address.host)
                .setPort(target.address.port)
                .setURI(attempt.uri)
            attempt.headers.forEach { (name, value) -> options.addHeader(name, value) }
            options.putHeader(ID_HEADER, attempt.id)
            return options
        }
    }

    private companion object {
        const val KEEP_ALIVE_SECONDS = 30
        const val NANOS_PER_MILLI = 1_000_000L
        const val OK = 200
        const val ID_HEADER = "x-request-id"
        const val EVENT_STREAM = "text/event-stream"
    }
}

/** Keeps the tail of an event stream to detect whether the stream was complete. */
private class StreamTail {
    private var tail = ""

    val isComplete: Boolean get() = tail.trimEnd().endsWith(LAST_EVENT)

    fun add(chunk: Buffer) {
        val start = (chunk.length() - TAIL_CHARS).coerceAtLeast(0)
        tail = (tail + chunk.getString(start, chunk.length())).takeLast(TAIL_CHARS)
    }

    private companion object {
        const val LAST_EVENT = "data: [DONE]"
        const val TAIL_CHARS = 64
    }
}
