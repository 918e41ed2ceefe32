package cactusfold.entry.passing

import cactusfold.entry.callers.AnswerBodies
import cactusfold.entry.callers.AnswerStart
import cactusfold.entry.callers.SendEnd
import cactusfold.entry.callers.StreamCheck
import cactusfold.entry.callers.StreamSink
import cactusfold.entry.callers.UpstreamRequest
import cactusfold.node.http.BodyChunkReader
import cactusfold.ports.http.KeptConnections
import cactusfold.ports.http.ResponseRules
import cactusfold.ports.serving.HeaderTranslator
import io.vertx.core.Vertx
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpClientRequest
import io.vertx.core.http.HttpClientResponse
import io.vertx.core.http.PoolOptions
import io.vertx.core.http.RequestOptions
import io.vertx.core.net.HostAndPort
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import org.apache.logging.log4j.LogManager

/**
 * Sends callers' requests to peers, one on a connection at a time.
 *
 * @param bodies reads complete bodies, within limits.
 */
public class PeerSender(
    vertx: Vertx,
    private val translator: HeaderTranslator,
    private val bodies: AnswerBodies
) {
    private val connections = KeptConnections(
        vertx,
        HttpClientOptions()
            .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
            .setKeepAliveTimeout(KEEP_ALIVE_SECONDS)
            .setTcpNoDelay(true)
            .setDecompressionSupported(false),
        PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS).setMaxWaitQueueSize(0),
        ResponseRules(translator.requestIdHeader)
    )

    /**
     * Sends [passed] to [peer] and an event stream of the answer to [sink]. Cancellation closes the
     * connection. The peer's refusal is a [SendEnd.NotRun] with its reason and status.
     */
    public suspend fun send(peer: Peer, passed: UpstreamRequest, sink: StreamSink): SendEnd {
        var request: HttpClientRequest? = null
        var end: SendEnd? = null
        try {
            val opened = connections.open(options(peer, passed))
            val open = opened.request.also { request = it }
            open.authority(HostAndPort.authority(passed.host, -1))
            return exchange(open, passed, sink, opened.isFirst).also { end = it }
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            val reason = e.message ?: e.javaClass.simpleName
            if (request == null) return SendEnd.NotRun("not connected: $reason")
            return SendEnd.Broken(reason)
        } finally {
            if (end == null || end is SendEnd.Broken || end is SendEnd.Unsent) {
                request?.let {
                    connections.exclude(it.connection())
                    it.reset()
                }
            }
        }
    }

    private suspend fun exchange(
        open: HttpClientRequest,
        passed: UpstreamRequest,
        sink: StreamSink,
        isFirst: Boolean
    ): SendEnd {
        if (!passed.mayWrite()) return SendEnd.Unsent
        val response = open.send(passed.body).map(::held).coAwait()
        val facts = translator.answer(response.statusCode(), response.headers())
        val start = AnswerStart(response.statusCode(), response.headers(), facts, isFirst)
        if (facts.id != null && facts.id != passed.id) {
            return SendEnd.Broken("the answer belongs to request ${facts.id}")
        }
        response.headers()[translator.passRefusalHeader]?.let { reason ->
            bodies.read(response) ?: return SendEnd.Broken("the refusal is too long")
            return SendEnd.NotRun(reason, start.status)
        }
        val isSuccess = start.status in SUCCESS
        if (isSuccess && !facts.isSealed) return SendEnd.Broken("an answer without a seal")
        if (isSuccess && passed.isStream) {
            if (facts.isEventStream) return relay(response, start, sink)
            if (sink.isContinued) return SendEnd.Broken("the answer is no event stream")
        }
        val body = bodies.read(response) ?: return SendEnd.Broken("the answer is too long")
        return SendEnd.Whole(start, body)
    }

    /** Keeps [response] until its body is read; it may be given up and reset before. */
    private fun held(response: HttpClientResponse): HttpClientResponse =
        response.exceptionHandler { log.debug("an answer was given up: {}", it.message) }.pause()

    private suspend fun relay(
        response: HttpClientResponse,
        start: AnswerStart,
        sink: StreamSink
    ): SendEnd {
        val pieces = BodyChunkReader(response)
        sink.begin(start)
        while (true) {
            val piece = pieces.next() ?: break
            val check = sink.write(piece)
            if (check is StreamCheck.Unsound) return SendEnd.Broken(check.reason)
        }
        return when (val check = sink.checkEnd()) {
            is StreamCheck.Unsound -> SendEnd.Broken(check.reason)
            StreamCheck.Sound -> SendEnd.Streamed
        }
    }

    private fun options(peer: Peer, passed: UpstreamRequest): RequestOptions = RequestOptions()
        .setMethod(passed.method)
        .setHost(peer.address.host)
        .setPort(peer.address.port)
        .setURI(passed.uri)
        .setHeaders(passed.headers)

    public companion object {
        /** Most requests that are passed on to one peer at once. */
        public const val MAX_REQUESTS_PER_PEER: Int = 64

        /** Beside requests in progress there are connections that are being closed. */
        private const val MAX_CONNECTIONS = 2 * MAX_REQUESTS_PER_PEER

        private const val CONNECT_TIMEOUT_MILLIS = 300

        /** Less than peers keep idle connections, so that none closes as a request is sent. */
        private const val KEEP_ALIVE_SECONDS = 3
        private val SUCCESS = 200..299
        private val log = LogManager.getLogger(PeerSender::class.java)
    }
}
