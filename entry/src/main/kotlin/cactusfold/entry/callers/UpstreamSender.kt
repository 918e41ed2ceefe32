package cactusfold.entry.callers

import cactusfold.decisions.rate.UpstreamStart
import cactusfold.entry.upstream.Upstream
import cactusfold.node.http.BodyChunkReader
import cactusfold.node.time.MonotonicClock
import cactusfold.ports.http.KeptConnections
import cactusfold.ports.http.ResponseRules
import cactusfold.ports.serving.HeaderTranslator
import cactusfold.ports.serving.ResponseMetadata
import io.netty.channel.ConnectTimeoutException
import io.vertx.core.MultiMap
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpClientRequest
import io.vertx.core.http.HttpClientResponse
import io.vertx.core.http.HttpClosedException
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.PoolOptions
import io.vertx.core.http.RequestOptions
import io.vertx.core.net.HostAndPort
import io.vertx.kotlin.coroutines.coAwait
import java.io.IOException
import java.net.ConnectException
import kotlinx.coroutines.CancellationException
import org.apache.logging.log4j.LogManager

/**
 * A request in the form in which it is sent to an upstream.
 *
 * @property mayWrite evaluated right before the request is written; nothing is sent if it is false.
 * @property onFirstData called with the milliseconds from the sending to the first piece of a stream,
 *   or to the head of another successful answer.
 */
public class UpstreamRequest(
    public val id: String?,
    public val method: HttpMethod,
    public val uri: String,
    public val host: String,
    public val headers: MultiMap,
    public val body: Buffer,
    public val isStream: Boolean,
    public val mayWrite: () -> Boolean = { true },
    public val onFirstData: (Long) -> Unit = {}
)

private val SUCCESS = 200..299

/**
 * Status and headers of an upstream's answer.
 *
 * @property isFirst whether the connection had carried no request before.
 */
public class AnswerStart(
    public val status: Int,
    public val headers: MultiMap,
    public val facts: ResponseMetadata,
    public val isFirst: Boolean = true
)

/** How sending a request to one upstream ended. */
public sealed interface SendEnd {
    /** Whether this is a complete and successful answer. */
    public val isSuccess: Boolean get() = false

    /**
     * The upstream did not execute the request and will not; [status] is null if not connected.
     *
     * @property isRefused whether it refused the connection, so nothing listens at its address.
     */
    public data class NotRun(
        public val reason: String,
        public val status: Int? = null,
        public val isRefused: Boolean = false
    ) : SendEnd

    /** The request was not written, because it was no longer permitted. */
    public data object Unsent : SendEnd

    /**
     * No complete answer arrived; the upstream may have executed the request.
     *
     * @property closed set if the upstream closed or reset the connection.
     */
    public data class Broken(public val reason: String, public val closed: Closed? = null) :
        SendEnd

    /** The upstream's complete answer. */
    public class Whole(public val start: AnswerStart, public val body: Buffer) : SendEnd {
        override val isSuccess: Boolean get() = start.status in SUCCESS
    }

    /** The complete stream was passed to the sink. */
    public data object Streamed : SendEnd {
        override val isSuccess: Boolean get() = true
    }
}

/** The upstream closed a connection [writtenForMillis] after the first part of its answer. */
public data class Closed(public val writtenForMillis: Long)

/** Receives a streamed answer. */
public interface StreamSink {
    /** Whether a part of the stream was sent before, which only further events can follow. */
    public val isContinued: Boolean

    /** Receives the status and headers, before any piece; called once for each send. */
    public fun begin(start: AnswerStart)

    /** Receives a piece of the body; suspends while the caller does not read (backpressure). */
    public suspend fun write(piece: Buffer): StreamCheck

    /** Checks whether the pieces received since [begin] may be all of the stream. */
    public fun checkEnd(): StreamCheck
}

/**
 * Whether a stream may be what its upstream meant to send. Its framing alone does not show that.
 */
public sealed interface StreamCheck {
    /** Nothing is wrong with the stream. */
    public data object Sound : StreamCheck

    /** The stream was broken off, or cannot be passed on, for this [reason]. */
    public data class Unsound(public val reason: String) : StreamCheck
}

/**
 * Sends requests to upstreams over pooled HTTP/1.1 connections, without pipelining.
 *
 * @param bodies reads complete bodies, within limits.
 * @param onData called with an upstream when data arrived from it.
 * @param onLeaving called with an upstream whose answer to any request says that it is leaving.
 * @param onAnswer called with each answer of an upstream to the request that was sent to it, and
 *   when that was sent.
 */
public class UpstreamSender(
    vertx: Vertx,
    private val translator: HeaderTranslator,
    private val clock: MonotonicClock,
    private val bodies: AnswerBodies,
    private val onLeaving: (UpstreamStart) -> Unit,
    private val onData: (Upstream) -> Unit = {},
    private val onAnswer: (Upstream, ResponseMetadata, sentAtMillis: Long) -> Unit
) {
    private val connections = KeptConnections(
        vertx,
        HttpClientOptions()
            .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
            .setKeepAliveTimeout(KEEP_ALIVE_SECONDS)
            .setTcpNoDelay(true)
            .setDecompressionSupported(false),
        PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS_PER_UPSTREAM).setMaxWaitQueueSize(0),
        ResponseRules(translator.requestIdHeader, closesOnFailure = true)
    )

    /**
     * Sends [upstreamRequest] to [upstream]. Cancellation closes the connection.
     *
     * @param onSilent called repeatedly while the upstream sends no data on any connection.
     */
    public suspend fun send(
        upstream: Upstream,
        upstreamRequest: UpstreamRequest,
        sink: StreamSink?,
        onSilent: () -> Unit
    ): SendEnd = SendAttempt(upstream, upstreamRequest, sink, onSilent).run()

    private inner class SendAttempt(
        private val upstream: Upstream,
        private val upstreamRequest: UpstreamRequest,
        private val sink: StreamSink?,
        private val onSilent: () -> Unit
    ) {
        private var request: HttpClientRequest? = null
        private var isFirst = false
        private var isComplete = false
        private var firstPieceAtMillis: Long? = null

        suspend fun run(): SendEnd = try {
            val opened = connections.open(options())
            isFirst = opened.isFirst
            val open = opened.request.also { request = it }
            open.authority(HostAndPort.authority(upstreamRequest.host, -1))
            exchange(open)
        } catch (e: CancellationException) {
            throw e
        } catch (e: Throwable) {
            failure(e)
        } finally {
            upstream.silence.sendEnded(this)
            // The request may be sent again, and must not get a second copy of this answer.
            if (!isComplete) {
                request?.let {
                    connections.exclude(it.connection())
                    it.reset()
                }
            }
        }

        private suspend fun exchange(open: HttpClientRequest): SendEnd {
            if (!upstream.isUsable || !upstreamRequest.mayWrite()) return SendEnd.Unsent
            val startedAtMillis = clock.nowMillis()
            upstream.silence.sendStarted(this, startedAtMillis, onSilent)
            val response = open.send(upstreamRequest.body).map(::held).coAwait()
            upstream.silence.dataReceived(clock.nowMillis())
            onData(upstream)
            val facts = translator.answer(response.statusCode(), response.headers())
            val start = AnswerStart(response.statusCode(), response.headers(), facts, isFirst)
            if (facts.isLeaving) onLeaving(upstream.start)
            mismatch(facts)?.let { return SendEnd.Broken(it) }
            onAnswer(upstream, facts, startedAtMillis)
            facts.pauseMillis?.let { upstream.recordPause(it, clock.nowMillis()) }
            if (facts.wasNotExecuted) return notRun(response, start)
            val isSuccess = start.status in SUCCESS
            if (isSuccess && !facts.isSealed) return SendEnd.Broken("an answer without a seal")
            upstream.recordAnswer(facts.load, clock.nowMillis())
            if (isSuccess && upstreamRequest.isStream && sink != null) {
                if (facts.isEventStream) return relay(response, start, sink, startedAtMillis)
                if (sink.isContinued) return SendEnd.Broken("the answer is no event stream")
            }
            val tookMillis = clock.nowMillis() - startedAtMillis
            upstream.recordLatency(tookMillis)
            if (isSuccess) upstreamRequest.onFirstData(tookMillis)
            val body = bodies.read(response) ?: return SendEnd.Broken("the answer is too long")
            if (ForeignAnswer.isDelimitedByClose(response.headers()) && ForeignAnswer.isIn(body)) {
                return SendEnd.Broken("another answer follows")
            }
            isComplete = true
            return SendEnd.Whole(start, body)
        }

        /** Keeps [response] until its body is read; it may be given up and reset before. */
        private fun held(response: HttpClientResponse): HttpClientResponse =
            response.exceptionHandler { log.debug("an answer was given up: {}", it.message) }
                .pause()

        /**
         * Returns why an answer with [facts] cannot be taken for that to this request, or null. One
         * that names no request is accepted on a connection that has carried no other, and only
         * there.
         */
        private fun mismatch(facts: ResponseMetadata): String? = when {
            facts.id == upstreamRequest.id -> null
            facts.id != null -> "the answer belongs to request ${facts.id}"
            !isFirst -> "the answer names no request"
            else -> null
        }

        private suspend fun notRun(response: HttpClientResponse, start: AnswerStart): SendEnd {
            // The connection is closed if the rest of the answer is not worth reading.
            isComplete = bodies.read(response) != null
            return SendEnd.NotRun("status ${start.status}", start.status)
        }

        private suspend fun relay(
            response: HttpClientResponse,
            start: AnswerStart,
            sink: StreamSink,
            startedAtMillis: Long
        ): SendEnd {
            val pieces = BodyChunkReader(response)
            sink.begin(start)
            while (true) {
                val piece = pieces.next() ?: break
                val nowMillis = clock.nowMillis()
                upstream.silence.dataReceived(nowMillis)
                onData(upstream)
                if (firstPieceAtMillis == null) {
                    firstPieceAtMillis = nowMillis
                    upstream.recordLatency(nowMillis - startedAtMillis)
                    upstreamRequest.onFirstData(nowMillis - startedAtMillis)
                }
                val check = sink.write(piece)
                if (check is StreamCheck.Unsound) return SendEnd.Broken(check.reason)
            }
            return when (val check = sink.checkEnd()) {
                // The upstream may have crashed: the end of a connection can be the end of an
                // answer.
                is StreamCheck.Unsound -> SendEnd.Broken(check.reason, closedNow())
                StreamCheck.Sound -> SendEnd.Streamed.also { isComplete = true }
            }
        }

        private fun failure(cause: Throwable): SendEnd {
            val reason = cause.message ?: cause.javaClass.simpleName
            if (request == null) {
                val isRefused = cause is ConnectException && cause !is ConnectTimeoutException
                return SendEnd.NotRun("not connected: $reason", isRefused = isRefused)
            }
            val isClosed = cause is IOException || cause is HttpClosedException
            return SendEnd.Broken(reason, closedNow().takeIf { isClosed })
        }

        private fun closedNow(): Closed {
            val nowMillis = clock.nowMillis()
            return Closed(nowMillis - (firstPieceAtMillis ?: nowMillis))
        }

        private fun options(): RequestOptions = RequestOptions()
            .setMethod(upstreamRequest.method)
            .setHost(upstream.entry.host)
            .setPort(upstream.entry.port)
            .setURI(upstreamRequest.uri)
            .setHeaders(upstreamRequest.headers)
    }

    private companion object {
        /** Connections within a region are established within a few milliseconds or not at all. */
        const val CONNECT_TIMEOUT_MILLIS = 500
        const val KEEP_ALIVE_SECONDS = 30
        const val MAX_CONNECTIONS_PER_UPSTREAM = 256
        val log = LogManager.getLogger(UpstreamSender::class.java)
    }
}
