package cactusfold.ports.http

import cactusfold.ports.json.BoundedJson
import io.netty.channel.ConnectTimeoutException
import io.vertx.core.MultiMap
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpClientRequest
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.PoolOptions
import io.vertx.core.http.RequestOptions
import io.vertx.core.json.DecodeException
import io.vertx.core.json.JsonObject
import io.vertx.kotlin.coroutines.coAwait
import java.util.concurrent.TimeUnit
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull

/** The address that a request is sent to. */
public data class HttpTarget(public val host: String, public val port: Int)

/**
 * An HTTP request with a small body.
 *
 * @property target null for the client's default target.
 * @property timeoutMillis null for the client's default timeout.
 */
public data class HttpCall(
    public val method: String,
    public val path: String,
    public val headers: Map<String, String> = emptyMap(),
    public val body: ByteArray = ByteArray(0),
    public val target: HttpTarget? = null,
    public val timeoutMillis: Long? = null
)

/** The outcome of a request. It tells whether the server may have received the request. */
public sealed interface HttpOutcome {
    /** The complete response. */
    public data class Answer(
        public val status: Int,
        public val body: Buffer,
        public val headers: MultiMap = MultiMap.caseInsensitiveMultiMap()
    ) : HttpOutcome {
        /** Returns the body as a JSON object, or null if it is not one. */
        public fun json(): JsonObject? = try {
            BoundedJson.parseObject(body.bytes)
        } catch (_: DecodeException) {
            null
        }
    }

    /**
     * Nothing was sent, mostly because no connection could be made.
     *
     * @property isTimeout whether the target did not respond in time, rather than refuse.
     */
    public data class NotSent(public val reason: String, public val isTimeout: Boolean = false) :
        HttpOutcome

    /**
     * The request was sent at least in part, and no complete response arrived.
     *
     * @property isTooLong whether a response was given up for its length.
     * @property isTimeout whether the connection was open for all of the time allowed.
     */
    public data class NoAnswer(
        public val reason: String,
        public val isTooLong: Boolean = false,
        public val isTimeout: Boolean = false
    ) : HttpOutcome
}

/**
 * HTTP client for small requests, mostly to one address, each with a timeout.
 *
 * @property defaultTarget null if each request states its target.
 * @property closesOnTimeout whether the connection of a request that timed out is closed. If not,
 *   it returns to the pool only after the response, and unresponsive connections exhaust the pool.
 * @param rules what a response shows about its connection.
 * @property bodies collects the bodies of responses, within limits.
 */
public class PlatformHttp(
    vertx: Vertx,
    private val defaultTarget: HttpTarget?,
    private val timeoutMillis: Long,
    poolSize: Int = DEFAULT_POOL_SIZE,
    private val closesOnTimeout: Boolean = false,
    rules: ResponseRules = ResponseRules(),
    private val bodies: BodyCollector =
        BodyCollector(DEFAULT_BODY_BYTES, ByteBudget(DEFAULT_BODIES_BYTES))
) {
    public constructor(
        vertx: Vertx,
        host: String,
        port: Int,
        timeoutMillis: Long,
        poolSize: Int = DEFAULT_POOL_SIZE
    ) : this(vertx, HttpTarget(host, port), timeoutMillis, poolSize)

    private val connections = KeptConnections(
        vertx,
        HttpClientOptions()
            .setConnectTimeout(timeoutMillis.toInt())
            .setIdleTimeout(IDLE_SECONDS)
            .setIdleTimeoutUnit(TimeUnit.SECONDS)
            .setKeepAliveTimeout(IDLE_SECONDS / 2),
        PoolOptions().setHttp1MaxSize(poolSize),
        rules
    )

    /**
     * Sends [call] and returns its outcome.
     *
     * @param shouldSend evaluated when the connection is established, right before anything is
     *   written; nothing is sent if it returns false.
     */
    public suspend fun send(call: HttpCall, shouldSend: () -> Boolean = { true }): HttpOutcome {
        var sent = false
        var open: HttpClientRequest? = null
        val requestTimeoutMillis = call.timeoutMillis ?: timeoutMillis
        val outcome = withTimeoutOrNull(requestTimeoutMillis) {
            try {
                val request = connections.open(optionsOf(call)).request
                open = request
                if (!shouldSend()) {
                    request.reset()
                    return@withTimeoutOrNull HttpOutcome.NotSent("canceled before sending")
                }
                sent = true
                // The response may arrive before this thread goes on, and its body be lost.
                val answer = request.response().compose { response ->
                    bodies.collect(response).map {
                        HttpOutcome.Answer(response.statusCode(), it, response.headers())
                    }
                }
                request.end(Buffer.buffer(call.body))
                answer.coAwait()
            } catch (e: CancellationException) {
                throw e
            } catch (e: AnswerTooLongException) {
                HttpOutcome.NoAnswer(e.message.orEmpty(), isTooLong = true)
            } catch (e: Throwable) {
                failureOf(
                    sent,
                    e.message ?: e.javaClass.simpleName,
                    isTimeout = e is ConnectTimeoutException
                )
            }
        }
        if (outcome != null) return outcome
        if (closesOnTimeout) open?.reset()
        return failureOf(sent, "no response within $requestTimeoutMillis ms", isTimeout = true)
    }

    /** Closes all connections. */
    public fun close(): Unit = connections.close()

    private fun failureOf(sent: Boolean, reason: String, isTimeout: Boolean): HttpOutcome =
        if (sent) {
            HttpOutcome.NoAnswer(reason, isTimeout = isTimeout)
        } else {
            HttpOutcome.NotSent(reason, isTimeout)
        }

    private fun optionsOf(call: HttpCall): RequestOptions {
        val target = checkNotNull(call.target ?: defaultTarget) { "no target for ${call.path}" }
        val options = RequestOptions()
            .setMethod(HttpMethod.valueOf(call.method))
            .setHost(target.host)
            .setPort(target.port)
            .setURI(call.path)
        call.headers.forEach { (name, value) -> options.putHeader(name, value) }
        return options
    }

    private companion object {
        const val DEFAULT_POOL_SIZE = 16
        const val IDLE_SECONDS = 30

        /** Limits for a process that is not short of memory. */
        const val DEFAULT_BODY_BYTES = 16 * 1024 * 1024
        const val DEFAULT_BODIES_BYTES = 64L * 1024 * 1024
    }
}
