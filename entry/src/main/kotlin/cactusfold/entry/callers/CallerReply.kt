package cactusfold.entry.callers

import cactusfold.node.time.MonotonicClock
import cactusfold.ports.serving.HeaderTranslator
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerResponse
import kotlinx.coroutines.CompletableDeferred

/** Writes the response to a caller's request. */
public class CallerReply(
    private val response: HttpServerResponse,
    private val translator: HeaderTranslator,
    private val clock: MonotonicClock,
    private val closesConnection: () -> Boolean
) : StreamSink {
    private var splitter = SseEventSplitter()
    private var start: AnswerStart? = null
    private var lastPieceAtMillis = 0L

    /** When the first complete event of a stream was sent to the caller; null before that. */
    public var firstPieceAtMillis: Long? = null
        private set

    /** The longest time between two writes of stream events so far. */
    public var longestPauseMillis: Long = 0
        private set

    /** Whether the status and headers of a stream were sent, with its first complete event. */
    public var hasBegun: Boolean = false
        private set

    /** The id of the last complete event that was sent to the caller. */
    public val lastEventId: String? get() = splitter.lastEventId

    override val isBetweenEvents: Boolean get() = splitter.partial.length() == 0

    override fun begin(start: AnswerStart) {
        splitter = SseEventSplitter(splitter.lastEventId)
        this.start = start
    }

    /** A stream that is resumed at another upstream keeps the status and headers of the first. */
    private fun sendHead() {
        if (hasBegun) return
        hasBegun = true
        val sent = checkNotNull(start) { "a piece came before the status and headers" }
        response.setStatusCode(sent.status)
        translator.towardsCaller(sent.headers).forEach { response.headers().add(it.key, it.value) }
        if (closesConnection()) response.putHeader("Connection", "close")
        response.setChunked(true)
    }

    override suspend fun write(piece: Buffer): Boolean {
        val complete = splitter.add(piece)
        if (complete.length() > 0) {
            sendHead()
            recordPiece(clock.nowMillis())
            response.write(complete)
            if (response.writeQueueFull()) awaitDrain()
        }
        return splitter.partial.length() <= MAX_EVENT_BYTES
    }

    private fun recordPiece(nowMillis: Long) {
        if (firstPieceAtMillis == null) {
            firstPieceAtMillis = nowMillis
        } else {
            longestPauseMillis = maxOf(longestPauseMillis, nowMillis - lastPieceAtMillis)
        }
        lastPieceAtMillis = nowMillis
    }

    /** Ends a stream whose upstream has sent all of its events. */
    public fun endStream() {
        sendHead()
        response.end()
    }

    /** Resets the connection because the response cannot be completed. */
    public fun abort() {
        response.reset()
    }

    /** Relays an upstream's complete answer. */
    public fun relayAnswer(answer: SendEnd.Whole) {
        response.setStatusCode(answer.start.status)
        translator.towardsCaller(answer.start.headers)
            .forEach { response.headers().add(it.key, it.value) }
        end(answer.body)
    }

    /** Sends an error answer that comes from this process rather than from an upstream. */
    public fun sendError(id: String?, answer: ErrorAnswer) {
        response.setStatusCode(answer.status)
        translator.refusal(id, answer.retryAfterMillis)
            .forEach { response.headers().add(it.key, it.value) }
        response.putHeader("Content-Type", "text/plain")
        end(Buffer.buffer(answer.code + "\n"))
    }

    private fun end(body: Buffer) {
        if (closesConnection()) response.putHeader("Connection", "close")
        response.end(body)
    }

    private suspend fun awaitDrain() {
        val drained = CompletableDeferred<Unit>()
        response.drainHandler { drained.complete(Unit) }
        if (response.writeQueueFull()) drained.await()
    }

    private companion object {
        /** An event holds some tokens; an event without end would take all memory. */
        const val MAX_EVENT_BYTES = 64 * 1024
    }
}
