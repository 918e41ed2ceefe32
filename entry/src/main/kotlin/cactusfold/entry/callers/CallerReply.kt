package cactusfold.entry.callers

import cactusfold.node.time.MonotonicClock
import cactusfold.ports.serving.HeaderTranslator
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerResponse
import kotlinx.coroutines.CompletableDeferred

/** The one answer to a caller's request. */
public class CallerReply(
    private val response: HttpServerResponse,
    private val translator: HeaderTranslator,
    private val clock: MonotonicClock,
    private val closesConnection: () -> Boolean
) : StreamSink {
    private var cutter = EventCutter()
    private var lastPieceAtMillis = 0L

    /** When the first whole event of a stream went to the caller; null before. */
    public var firstPieceAtMillis: Long? = null
        private set

    /** The longest time between two pieces of a stream so far. */
    public var longestPauseMillis: Long = 0
        private set

    /** Whether the head of a stream has gone to the caller. */
    public var hasBegun: Boolean = false
        private set

    /** The id of the last whole event that went to the caller. */
    public val lastEventId: String? get() = cutter.lastEventId

    override fun begin(start: AnswerStart) {
        // An answer that goes on at another upstream keeps the head of its first one.
        cutter = EventCutter(cutter.lastEventId)
        if (hasBegun) return
        hasBegun = true
        response.setStatusCode(start.status)
        translator.towardsCaller(start.headers).forEach { response.headers().add(it.key, it.value) }
        if (closesConnection()) response.putHeader("Connection", "close")
        response.setChunked(true)
    }

    override suspend fun piece(piece: Buffer) {
        val whole = cutter.add(piece)
        if (whole.length() == 0) return
        passed(clock.nowMillis())
        response.write(whole)
        if (response.writeQueueFull()) awaitRoom()
    }

    private fun passed(nowMillis: Long) {
        if (firstPieceAtMillis == null) {
            firstPieceAtMillis = nowMillis
        } else {
            longestPauseMillis = maxOf(longestPauseMillis, nowMillis - lastPieceAtMillis)
        }
        lastPieceAtMillis = nowMillis
    }

    /** Ends a stream that is complete. */
    public fun endStream() {
        if (cutter.partial.length() > 0) response.write(cutter.partial)
        response.end()
    }

    /** Breaks off an answer that can't be completed. */
    public fun cut() {
        response.reset()
    }

    /** Passes on an upstream's whole answer. */
    public fun whole(answer: SendEnd.Whole) {
        response.setStatusCode(answer.start.status)
        translator.towardsCaller(answer.start.headers)
            .forEach { response.headers().add(it.key, it.value) }
        end(answer.body)
    }

    /** Answers in the system's own name. */
    public fun own(id: String?, answer: OwnAnswer) {
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

    private suspend fun awaitRoom() {
        val room = CompletableDeferred<Unit>()
        response.drainHandler { room.complete(Unit) }
        if (response.writeQueueFull()) room.await()
    }
}
