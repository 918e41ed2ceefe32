package cactusfold.entry.callers

import cactusfold.entry.upstream.Upstream
import cactusfold.node.http.PieceQueue
import cactusfold.node.time.MonotonicClock
import cactusfold.ports.serving.ResponseMetadata
import cactusfold.ports.serving.HeaderTranslator
import io.vertx.core.MultiMap
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClientAgent
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpClientRequest
import io.vertx.core.http.HttpClientResponse
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.PoolOptions
import io.vertx.core.http.RequestOptions
import io.vertx.core.net.HostAndPort
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException

/** A request as it goes to one upstream. */
public class Outgoing(
    public val id: String?,
    public val method: HttpMethod,
    public val uri: String,
    public val host: String,
    public val headers: MultiMap,
    public val body: Buffer,
    public val isStream: Boolean
)

/** The start of an upstream's answer. */
public class AnswerStart(
    public val status: Int,
    public val headers: MultiMap,
    public val facts: ResponseMetadata
)

/** How sending a request to one upstream ended. */
public sealed interface SendEnd {
    /** It did not run and never will. */
    public data class NotRun(public val reason: String, public val status: Int? = null) : SendEnd

    /** It may have run; no whole answer came. */
    public data class Broken(public val reason: String) : SendEnd

    /** The whole answer. */
    public class Whole(public val start: AnswerStart, public val body: Buffer) : SendEnd

    /** The whole stream went to the sink. */
    public data object Streamed : SendEnd
}

/** Takes a stream's answer as it comes. */
public interface StreamSink {
    /** The answer begins. */
    public fun begin(start: AnswerStart)

    /** A piece of the answer has come; suspends while the caller does not read. */
    public suspend fun piece(piece: Buffer)
}

/** Sends requests to upstreams, each over a connection that carries nothing else meanwhile. */
public class UpstreamSender(
    vertx: Vertx,
    private val translator: HeaderTranslator,
    private val clock: MonotonicClock
) {
    private val client: HttpClientAgent = vertx.createHttpClient(
        HttpClientOptions()
            .setConnectTimeout(CONNECT_MILLIS)
            .setKeepAliveTimeout(KEEP_SECONDS)
            .setTcpNoDelay(true)
            .setDecompressionSupported(false),
        PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS).setMaxWaitQueueSize(0)
    )

    /**
     * Sends [outgoing] to [upstream]. Cancelling it closes the connection.
     *
     * @param onSilent called while the upstream sends nothing to anybody.
     */
    public suspend fun send(
        upstream: Upstream,
        outgoing: Outgoing,
        sink: StreamSink?,
        onSilent: () -> Unit
    ): SendEnd = Sending(upstream, outgoing, sink, onSilent).run()

    private inner class Sending(
        private val upstream: Upstream,
        private val outgoing: Outgoing,
        private val sink: StreamSink?,
        private val onSilent: () -> Unit
    ) {
        private var request: HttpClientRequest? = null
        private var isOver = false

        suspend fun run(): SendEnd = try {
            val open = client.request(options()).coAwait()
            request = open
            open.authority(HostAndPort.authority(outgoing.host, -1))
            exchange(open)
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            failure(e.message ?: e.javaClass.simpleName)
        } finally {
            upstream.silence.ended(this)
            if (!isOver) request?.reset()
        }

        private suspend fun exchange(open: HttpClientRequest): SendEnd {
            val beganMillis = clock.nowMillis()
            upstream.silence.asked(this, beganMillis, onSilent)
            val response = open.send(outgoing.body).map { it.pause() }.coAwait()
            upstream.silence.heard(clock.nowMillis())
            val facts = translator.answer(response.statusCode(), response.headers())
            val start = AnswerStart(response.statusCode(), response.headers(), facts)
            if (facts.id != null && facts.id != outgoing.id) {
                return SendEnd.Broken("the answer belongs to request ${facts.id}")
            }
            if (facts.wasNotExecuted) return notRun(response, start)
            val isSuccess = start.status in SUCCESS
            if (isSuccess && !facts.isSealed) return SendEnd.Broken("an answer without a seal")
            upstream.answered(facts.load)
            if (isSuccess && outgoing.isStream && sink != null) {
                return relay(response, start, sink, beganMillis)
            }
            upstream.tookMillis(clock.nowMillis() - beganMillis)
            val body = response.body()
            response.resume()
            return SendEnd.Whole(start, body.coAwait()).also { isOver = true }
        }

        private suspend fun notRun(response: HttpClientResponse, start: AnswerStart): SendEnd {
            val body = response.body()
            response.resume()
            body.coAwait()
            isOver = true
            return SendEnd.NotRun("status ${start.status}", start.status)
        }

        private suspend fun relay(
            response: HttpClientResponse,
            start: AnswerStart,
            sink: StreamSink,
            beganMillis: Long
        ): SendEnd {
            val pieces = PieceQueue(response)
            sink.begin(start)
            var isFirst = true
            while (true) {
                val piece = pieces.next() ?: break
                val nowMillis = clock.nowMillis()
                upstream.silence.heard(nowMillis)
                if (isFirst) upstream.tookMillis(nowMillis - beganMillis)
                isFirst = false
                sink.piece(piece)
            }
            isOver = true
            return SendEnd.Streamed
        }

        private fun failure(reason: String): SendEnd = when (request) {
            null -> SendEnd.NotRun("not connected: $reason")
            else -> SendEnd.Broken(reason)
        }

        private fun options(): RequestOptions = RequestOptions()
            .setMethod(outgoing.method)
            .setHost(upstream.entry.host)
            .setPort(upstream.entry.port)
            .setURI(outgoing.uri)
            .setHeaders(outgoing.headers)
    }

    private companion object {
        /** A connection within a region is there within a few milliseconds, or not at all. */
        const val CONNECT_MILLIS = 500
        const val KEEP_SECONDS = 30
        const val MAX_CONNECTIONS = 256
        val SUCCESS = 200..299
    }
}
