package cactusfold.entry.callers

import io.vertx.core.buffer.Buffer

/**
 * Splits a stream of server-sent events at event boundaries, and counts the complete events
 * returned. Comments are no events.
 */
public class SseEventSplitter {
    private var rest: Buffer = Buffer.buffer()

    /** The ids of the events that the last piece completed. */
    public var completedIds: List<String> = emptyList()
        private set

    /** Number of complete events. */
    public var eventCount: Int = 0
        private set

    /** Whether the head of another answer stood in place of an event, and the stream ends there. */
    public var isForeign: Boolean = false
        private set

    /** Bytes of an event that is not complete yet. */
    public val partial: Buffer get() = rest

    /** Adds [piece] and returns the events that it completes; empty when there are none. */
    public fun add(piece: Buffer): Buffer {
        val received = if (rest.length() == 0) piece else rest.copy().appendBuffer(piece)
        val foreignFrom = ForeignAnswer.lineIn(received)
        isForeign = foreignFrom >= 0
        val all = if (isForeign) received.slice(0, foreignFrom) else received
        val end = endOfLastEvent(all)
        if (end == 0) {
            rest = all
            completedIds = emptyList()
            return EMPTY
        }
        val whole = all.slice(0, end)
        rest = all.getBuffer(end, all.length())
        val lines = whole.toString().lines()
        completedIds = lines.filter { it.startsWith(ID_FIELD) }
            .map { it.removePrefix(ID_FIELD).trim() }
        countEvents(lines)
        return whole
    }

    private fun endOfLastEvent(buffer: Buffer): Int {
        for (i in buffer.length() - 1 downTo 1) {
            if (buffer.getByte(i) != NEWLINE) continue
            val before = buffer.getByte(i - 1)
            val isBlankLine = before == NEWLINE ||
                (before == RETURN && i >= 2 && buffer.getByte(i - 2) == NEWLINE)
            if (isBlankLine) return i + 1
        }
        return 0
    }

    private fun countEvents(lines: List<String>) {
        var hasField = false
        for (line in lines) {
            if (line.isNotEmpty()) {
                hasField = hasField || !line.startsWith(COMMENT)
            } else if (hasField) {
                eventCount++
                hasField = false
            }
        }
    }

    private companion object {
        const val NEWLINE = '\n'.code.toByte()
        const val RETURN = '\r'.code.toByte()
        const val ID_FIELD = "id:"
        const val COMMENT = ':'
        val EMPTY: Buffer = Buffer.buffer()
    }
}
