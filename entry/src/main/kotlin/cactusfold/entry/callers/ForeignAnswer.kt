package cactusfold.entry.callers

import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer

/**
 * Recognizes the head of an answer where the body of another one should be. A faulty upstream may
 * write an answer once more, late. Where the body has neither a length nor chunks, the copy is
 * framed as a part of it.
 */
internal object ForeignAnswer {
    private val version = "HTTP/1.".toByteArray()
    private const val NEWLINE = '\n'.code.toByte()
    private const val SPACE = ' '.code.toByte()
    private const val DASH = '-'.code.toByte()
    private const val RETURN = '\r'.code.toByte()

    /** Length of `HTTP/1.1 200`. */
    private const val STATUS_LENGTH = 12

    /** Whether the body of an answer with [headers] ends with its connection. */
    fun isDelimitedByClose(headers: MultiMap): Boolean =
        !headers.contains("Content-Length") && !headers.contains("Transfer-Encoding")

    /** Whether a status line is in [body], also one that is cut off by its end. */
    fun isIn(body: Buffer): Boolean {
        var from = 0
        while (true) {
            val start = indexOfVersion(body, from)
            if (start < 0) return false
            if (isStatusLine(body, start)) return true
            from = start + 1
        }
    }

    /** Returns where a line of [events] begins with a status line; -1 if none does. */
    fun lineIn(events: Buffer): Int {
        var from = 0
        while (true) {
            val start = indexOfVersion(events, from)
            if (start < 0) return -1
            val beginsLine = start == 0 || events.getByte(start - 1) == NEWLINE
            if (beginsLine && isStatusLine(events, start)) return start
            from = start + 1
        }
    }

    private fun indexOfVersion(body: Buffer, from: Int): Int {
        for (start in from until body.length()) {
            if (body.getByte(start) != version[0]) continue
            val length = minOf(version.size, body.length() - start)
            if ((0 until length).all { body.getByte(start + it) == version[it] }) return start
        }
        return -1
    }

    private fun isStatusLine(body: Buffer, start: Int): Boolean {
        val end = minOf(body.length(), start + STATUS_LENGTH)
        val text = body.getString(start, end)
        // A few letters at the end of a body are no sign of anything.
        if (end == body.length()) return text.length >= version.size - 1
        if (!text.substring(version.size + 1).matches(STATUS)) return false
        for (i in end until body.length()) {
            val byte = body.getByte(i)
            if (byte == RETURN || byte == NEWLINE) return true
            if (byte != SPACE && byte != DASH && !byte.toInt().toChar().isLetter()) return false
        }
        return true
    }

    private val STATUS = Regex(" \\d{3}")
}
