package cactusfold.entry.callers

import cactusfold.entry.passing.RequestPassing
import cactusfold.node.time.MonotonicClock
import cactusfold.ports.serving.HeaderTranslator
import io.vertx.core.Future
import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerResponse

/**
 * Writes the response to a caller's request.
 *
 * @param closeDelimited null unless the caller takes the end of its connection for that of a
 *   stream.
 * @param isToPeer whether a peer passed the request on, and learns from a refusal whether another
 *   peer may serve it.
 * @property held accounts for the events of a stream that wait for the caller.
 */
public class CallerReply(
    private val response: HttpServerResponse,
    private val translator: HeaderTranslator,
    private val clock: MonotonicClock,
    private val closeDelimited: CloseDelimitedConnection? = null,
    public val held: HeldStreams.Stream,
    private val isToPeer: Boolean = false,
    private val closesConnection: () -> Boolean
) : StreamSink {
    private var splitter = SseEventSplitter()

    private var position = StreamPosition()
    private var lastPieceAtMillis = 0L
    private var sent: Future<Void>? = null
    private var lastWrite: Future<Void> = Future.succeededFuture()

    /** When the first complete event of a stream was sent to the caller; null before that. */
    public var firstPieceAtMillis: Long? = null
        private set

    /** The longest time between two writes of stream events so far. */
    public var longestPauseMillis: Long = 0
        private set

    /** Comments of a stream before its first event, by which no stream begins. */
    private var leadingComments = Buffer.buffer()

    /** Status and headers of a stream of which no event has been sent yet. */
    private var pendingStart: AnswerStart? = null

    /** Status and headers of the last upstream's answer; null if none arrived. */
    public var lastStart: AnswerStart? = null
        private set

    /** Whether a part of the response has been sent, so that no other can take its place. */
    public val hasBegun: Boolean get() = response.headWritten()

    /** Whether the caller has closed the connection. */
    public val isClosed: Boolean get() = response.closed()

    /** Whether the connection takes no further request after this response. */
    public var closesAfter: Boolean = false

    private var isAborted = false

    /** Whether the response has been written completely, or cannot be any more. */
    public val hasEnded: Boolean
        get() = response.ended() || isClosed || isAborted || held.isDropped

    /** The id of the last complete event that was sent to the caller; null if none had one. */
    public val lastEventId: String? get() = position.lastEventId

    /**
     * Called right before the first event of an upstream is sent to the caller, which it is only if
     * the result is sound.
     */
    public var beforeFirstEvent: suspend () -> StreamCheck = { StreamCheck.Sound }

    /** Number of complete events that were sent to the caller. */
    public var eventCount: Int = 0
        private set

    override val isContinued: Boolean get() = hasBegun || position.isResumed

    /** Records that the caller resumes a stream after [lastEventId]; null if it does not. */
    public fun resumesAfter(lastEventId: String?) {
        position = StreamPosition(lastEventId)
    }

    override fun begin(start: AnswerStart) {
        lastStart = start
        // A stream that is resumed at another upstream keeps the status and headers of the first.
        splitter = SseEventSplitter()
        leadingComments = Buffer.buffer()
        pendingStart = start.takeUnless { hasBegun }
    }

    /** Sets the status and headers of the stream, before its first piece. */
    private fun commitStart() {
        val start = pendingStart ?: return
        pendingStart = null
        setHead(start.status, translator.towardsCaller(start.headers))
        if (closeDelimited == null) {
            response.setChunked(true)
        } else {
            closeDelimited.begin()
            response.putHeader("Connection", "close")
        }
    }

    override suspend fun write(piece: Buffer): StreamCheck {
        val countBefore = splitter.eventCount
        val complete = splitter.add(piece)
        if (splitter.eventCount == 0) {
            leadingComments.appendBuffer(complete)
        } else if (complete.length() > 0) {
            if (countBefore == 0) {
                val check = checkFirst()
                if (check is StreamCheck.Unsound) return check
            }
            if (!position.increasesBy(splitter.completedIds)) return OUT_OF_ORDER
            position.sent(splitter.completedIds)
            eventCount += splitter.eventCount - countBefore
            send(leadingComments.appendBuffer(complete))
            leadingComments = Buffer.buffer()
        }
        if (splitter.isForeign) return FOREIGN
        val heldBytes = splitter.partial.length() + leadingComments.length()
        return if (heldBytes > MAX_EVENT_BYTES) TOO_LONG else StreamCheck.Sound
    }

    private suspend fun checkFirst(): StreamCheck {
        val isNext = position.isContinuedBy(splitter.completedIds.firstOrNull())
        return if (isNext) beforeFirstEvent() else OUT_OF_ORDER
    }

    private suspend fun send(events: Buffer) {
        recordPiece(clock.nowMillis())
        commitStart()
        lastWrite = response.write(events)
        held.written(events.length(), lastWrite)
        held.awaitRoom()
    }

    override fun checkEnd(): StreamCheck = when {
        splitter.partial.length() > 0 -> INSIDE_EVENT
        splitter.eventCount == 0 -> WITHOUT_EVENT
        else -> StreamCheck.Sound
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
        commitStart()
        sent = if (closeDelimited == null) response.end() else endByClose(closeDelimited)
    }

    private fun endByClose(connection: CloseDelimitedConnection): Future<Void> = lastWrite.compose {
        connection.complete()
        response.end()
    }.compose { connection.close() }

    /** Resets the connection because the response cannot be completed. */
    public fun abort() {
        isAborted = true
        response.reset()
    }

    /** Relays an upstream's complete answer. */
    public fun relayAnswer(answer: SendEnd.Whole) {
        lastStart = answer.start
        setHead(answer.start.status, translator.towardsCaller(answer.start.headers))
        sent = response.end(answer.body)
    }

    /** Sends an error answer that comes from this process rather than from an upstream. */
    public fun sendError(id: String?, answer: ErrorAnswer) {
        setHead(answer.status, translator.refusal(id, answer.retryAfterMillis))
        if (isToPeer && answer is ErrorAnswer.NotRun && answer.code in OTHER_PEER_HELPS) {
            response.putHeader(translator.passRefusalHeader, answer.code)
        }
        response.putHeader("Content-Type", "text/plain")
        sent = response.end(Buffer.buffer(answer.code + "\n"))
    }

    private fun setHead(status: Int, headers: MultiMap) {
        // An earlier attempt to set them may have failed midway.
        response.headers().clear()
        response.setStatusCode(status)
        headers.forEach { response.headers().add(it.key, it.value) }
        if (closesAfter || closesConnection()) response.putHeader("Connection", "close")
    }

    /**
     * Writes what a caller skips that still waits for the answer. On the connection of a caller who
     * has left, it brings a reset. Returns false if nothing can be written before the answer.
     */
    public fun probe(): Boolean {
        when {
            hasEnded -> Unit
            hasBegun -> response.write(Buffer.buffer(COMMENT))
            closeDelimited != null -> return false
            else -> response.writeContinue()
        }
        return true
    }

    /** Calls [action] when the response has been sent or failed; at once if there is none. */
    public fun whenSent(action: () -> Unit) {
        val future = sent ?: return action()
        future.onComplete { action() }
    }

    /** Calls [action] if the end of the response cannot be sent. */
    public fun whenUnsent(action: () -> Unit) {
        sent?.onFailure { action() }
    }

    private companion object {
        /** Codes of refusals, all of them of requests that did not run. */
        val OTHER_PEER_HELPS = setOf(
            RequestPassing.NO_UPSTREAM_REACHED,
            RequestPassing.FULL,
            ErrorAnswer.STOPPING
        )
        val FOREIGN = StreamCheck.Unsound("another answer follows in the stream")
        val TOO_LONG = StreamCheck.Unsound("an event is too long")
        val OUT_OF_ORDER = StreamCheck.Unsound("the stream does not go on after its last event")
        val INSIDE_EVENT = StreamCheck.Unsound("the stream ended inside an event")
        val WITHOUT_EVENT = StreamCheck.Unsound("the stream ended without an event")

        const val COMMENT = ":\n\n"

        /** An event holds some tokens; an event without end would take all memory. */
        const val MAX_EVENT_BYTES = 64 * 1024
    }
}
