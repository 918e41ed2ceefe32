package cactusfold.entry.callers

import cactusfold.node.http.BodyChunkReader
import cactusfold.node.time.MonotonicClock
import cactusfold.ports.http.ByteShare
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerRequest
import kotlinx.coroutines.withTimeoutOrNull

/** How receiving the body of a caller's request ended. */
internal sealed interface ReceivedBody {
    class Complete(val body: Buffer) : ReceivedBody

    /** The body exceeds the limit. */
    data object TooLarge : ReceivedBody

    /** The body is not whole, although nothing more of it comes. */
    class Refused(val refusal: InputRefusal) : ReceivedBody

    /** The bodies of other requests leave no memory for this one. */
    data object NoMemory : ReceivedBody

    /** The caller stopped sending before the end of the body, or did not end it in time. */
    data object TimedOut : ReceivedBody
}

/**
 * Bounds of a body, each as the configuration in force has it.
 *
 * @property pauseMillis how long the caller may pause between two chunks.
 * @property endsAtMillis when the time limit of the request ends.
 */
internal class BodyBounds(
    val maxBytes: () -> Int,
    val pauseMillis: () -> Long,
    val endsAtMillis: () -> Long
)

/** Receives the body of a caller's request within [bounds]. */
internal class RequestBodyReader(
    private val request: HttpServerRequest,
    private val clock: MonotonicClock,
    private val bounds: BodyBounds
) {
    private val chunks = BodyChunkReader(request)
    private var isTimedOut = false

    /** Until when chunks are still read after the request's time limit; null before that. */
    private var lastReadUntilMillis: Long? = null

    /** Receives the body into memory that is taken of [memory]. */
    suspend fun read(memory: ByteShare): ReceivedBody {
        val announced = request.getHeader("content-length")?.toLongOrNull() ?: 0
        if (announced > bounds.maxBytes()) return ReceivedBody.TooLarge
        if (!memory.tryTake(announced.toInt())) return ReceivedBody.NoMemory
        val body = Buffer.buffer(announced.toInt())
        var taken = announced.toInt()
        while (true) {
            val received = next() ?: return ReceivedBody.TimedOut
            val chunk = received.chunk ?: return ended(body)
            val length = body.length() + chunk.length()
            if (length > bounds.maxBytes()) return ReceivedBody.TooLarge
            if (length > taken) {
                if (!memory.tryTake(length - taken)) return ReceivedBody.NoMemory
                taken = length
            }
            body.appendBuffer(chunk)
        }
    }

    private fun ended(body: Buffer): ReceivedBody = when (val result = request.decoderResult()) {
        is RefusedInput -> ReceivedBody.Refused(result.refusal)
        else -> ReceivedBody.Complete(body)
    }

    /** Drops the rest of a body that was refused; returns whether it ended within the bounds. */
    suspend fun dropRest(): Boolean {
        while (!isTimedOut) {
            val received = next() ?: break
            if (received.chunk == null) return true
        }
        return withTimeoutOrNull(LAST_READ_MILLIS) {
            while (chunks.next() != null) Unit
        } != null
    }

    /** Returns what arrives next; null if nothing does within the bounds. */
    private suspend fun next(): Received? {
        val waitsFromMillis = clock.nowMillis()
        while (true) {
            val nowMillis = clock.nowMillis()
            val limitMillis = bounds.endsAtMillis() - nowMillis
            val pauseMillis = bounds.pauseMillis() - (nowMillis - waitsFromMillis)
            val leftMillis = minOf(limitMillis, pauseMillis)
            if (leftMillis <= 0) return last(nowMillis, limitMillis <= 0)
            nextWithin(minOf(leftMillis, CHECK_INTERVAL_MILLIS))?.let { return it }
        }
    }

    /** After a pause of this process, what arrived meanwhile is not read yet. */
    private suspend fun last(nowMillis: Long, isOverLimit: Boolean): Received? {
        val untilMillis = lastReadUntilMillis ?: (nowMillis + LAST_READ_MILLIS)
        if (isOverLimit) lastReadUntilMillis = untilMillis
        return nextWithin(untilMillis - nowMillis).also { isTimedOut = it == null }
    }

    private suspend fun nextWithin(millis: Long): Received? =
        withTimeoutOrNull(millis) { Received(chunks.next()) }

    /** A chunk, or the end of the body if it is null. */
    private class Received(val chunk: Buffer?)

    private companion object {
        /** Many times as long as the event loop takes to read what has arrived. */
        const val LAST_READ_MILLIS = 50L

        /** Bounds of a changed configuration count within this time. */
        const val CHECK_INTERVAL_MILLIS = 500L
    }
}
