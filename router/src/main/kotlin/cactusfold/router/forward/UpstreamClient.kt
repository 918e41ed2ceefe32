package cactusfold.router.forward

import cactusfold.node.http.ResponseChunkReader
import cactusfold.router.RouterSettings
import cactusfold.router.lane.Target
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClientAgent
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

/** One attempt at a request. Its id is checked on the reply. */
public class Attempt(
    public val id: String,
    public val method: HttpMethod,
    public val uri: String,
    public val headers: List<Pair<String, String>>,
    public val body: Buffer
)

/** The head of an upstream's answer. */
public class AnswerHead(public val status: Int, public val headers: List<Pair<String, String>>)

/** A whole answer. */
public class WholeAnswer(public val head: AnswerHead, public val body: Buffer)

/** Takes a streamed answer piece by piece. */
public interface StreamSink {
    /** Takes the head; called once, before the first piece. */
    public suspend fun begin(head: AnswerHead)

    /** Takes a piece. */
    public suspend fun write(piece: Buffer)
}

/** How an attempt ended. */
public sealed interface AttemptEnd {
    /** The whole answer is here. */
    public class Whole(public val answer: WholeAnswer, public val firstByteMillis: Long) :
        AttemptEnd

    /** The whole answer went to the sink. */
    public class Streamed(public val status: Int, public val firstByteMillis: Long) : AttemptEnd

    /** No connection was made: the upstream has surely not run the request. */
    public class NotSent(public val reason: String) : AttemptEnd

    /** Something was sent and no whole answer came. [hasBegun]: the sink took a part of it. */
    public class Broken(public val reason: String, public val hasBegun: Boolean) : AttemptEnd
}

/** Sends attempts to upstreams. Event streams go to a sink, other answers are taken whole. */
public class UpstreamClient(vertx: Vertx, settings: RouterSettings) {
    private val limits = settings.upstreams
    private val client: HttpClientAgent = vertx.createHttpClient(
        HttpClientOptions()
            .setConnectTimeout(limits.connectTimeoutMillis)
            .setIdleTimeout(limits.idleTimeoutMillis.toInt())
            .setIdleTimeoutUnit(TimeUnit.MILLISECONDS)
            .setKeepAliveTimeout(KEEP_ALIVE_SECONDS),
        PoolOptions().setHttp1MaxSize(limits.connectionsMax)
    )

    /** Sends [attempt] to [target]. Cancelling resets the request, so that the upstream stops. */
    public suspend fun send(target: Target, attempt: Attempt, sink: StreamSink?): AttemptEnd {
        val exchange = Exchange(target, attempt, sink)
        return try {
            withTimeout(limits.answerTimeoutMillis) { exchange.run() }
        } catch (_: TimeoutCancellationException) {
            exchange.abort()
            exchange.failure("no whole answer within ${limits.answerTimeoutMillis} ms")
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
        client.close()
    }

    private inner class Exchange(
        private val target: Target,
        private val attempt: Attempt,
        private val sink: StreamSink?
    ) {
        private var request: HttpClientRequest? = null
        private var hasBegun = false
        private val beganNanos = System.nanoTime()

        suspend fun run(): AttemptEnd {
            val open = client.request(options()).coAwait()
            request = open
            val response = open.send(attempt.body).map { it.pause() }.coAwait()
            val firstByteMillis = (System.nanoTime() - beganNanos) / NANOS_PER_MILLI
            val echoed = response.getHeader(ID_HEADER)
            if (echoed != null && echoed != attempt.id) {
                abort()
                return failure("the answer belongs to request $echoed")
            }
            val head = AnswerHead(
                response.statusCode(),
                HopHeaders.towardsCaller(response.headers())
            )
            val isEvents = response.getHeader("content-type").orEmpty().startsWith(EVENT_STREAM)
            return if (sink != null && isEvents && head.status == OK) {
                stream(response, head, sink, firstByteMillis)
            } else {
                val body = response.body()
                response.resume()
                AttemptEnd.Whole(WholeAnswer(head, body.coAwait()), firstByteMillis)
            }
        }

        fun abort() {
            request?.reset()
        }

        fun failure(reason: String): AttemptEnd =
            if (request == null) AttemptEnd.NotSent(reason) else AttemptEnd.Broken(reason, hasBegun)

        private suspend fun stream(
            response: HttpClientResponse,
            head: AnswerHead,
            sink: StreamSink,
            firstByteMillis: Long
        ): AttemptEnd {
            val tail = StreamTail()
            val pieces = ResponseChunkReader(response)
            while (true) {
                val piece = pieces.next() ?: break
                if (!hasBegun) {
                    hasBegun = true
                    sink.begin(head)
                }
                tail.add(piece)
                sink.write(piece)
            }
            if (!tail.isComplete) return failure("the stream ended before its last event")
            return AttemptEnd.Streamed(head.status, firstByteMillis)
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

/** Remembers the end of an event stream, to see whether it was complete. */
private class StreamTail {
    private var tail = ""

    val isComplete: Boolean get() = tail.trimEnd().endsWith(LAST_EVENT)

    fun add(piece: Buffer) {
        val start = (piece.length() - TAIL_CHARS).coerceAtLeast(0)
        tail = (tail + piece.getString(start, piece.length())).takeLast(TAIL_CHARS)
    }

    private companion object {
        const val LAST_EVENT = "data: [DONE]"
        const val TAIL_CHARS = 64
    }
}
