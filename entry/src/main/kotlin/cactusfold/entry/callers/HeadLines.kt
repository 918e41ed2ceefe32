package cactusfold.entry.callers

import io.netty.buffer.ByteBuf
import io.netty.util.ByteProcessor

/**
 * Follows the lines of a head for what its decoded form no longer shows: a decoder joins folded
 * lines, and skips bytes before a head and spaces in its first line.
 */
internal class HeadLines : ByteProcessor {
    private enum class Position { BEFORE, REQUEST_LINE, LINE_START, NAME, VALUE, END }

    private var position = Position.BEFORE
    private var spaces = 0
    private var isAfterReturn = false

    /** What is wrong with the lines so far; null for nothing. */
    var refusal: InputRefusal? = null
        private set

    /** Takes the bytes of [input] from [from] until its reader index. */
    fun read(input: ByteBuf, from: Int) {
        val bytes = input.readerIndex() - from
        if (bytes > 0 && refusal == null) input.forEachByte(from, bytes, this)
    }

    /** Expects the next head. */
    fun reset() {
        position = Position.BEFORE
        spaces = 0
        isAfterReturn = false
    }

    override fun process(value: Byte): Boolean {
        val char = value.toInt().toChar()
        if (position == Position.END) return false
        refusal = if (isAfterReturn && char != '\n') InputRefusal.HEAD_MALFORMED else next(char)
        isAfterReturn = char == '\r'
        return refusal == null
    }

    private fun next(char: Char): InputRefusal? = when (position) {
        Position.BEFORE -> begin(char)
        Position.REQUEST_LINE -> requestLine(char)
        Position.LINE_START -> lineStart(char)
        Position.NAME -> name(char)
        Position.VALUE -> null.also { if (char == '\n') position = Position.LINE_START }
        Position.END -> null
    }

    private fun begin(char: Char): InputRefusal? {
        if (char == '\r' || char == '\n') return null
        if (char <= ' ' || char == DELETE) return InputRefusal.BYTES_BEFORE_HEAD
        position = Position.REQUEST_LINE
        return null
    }

    private fun requestLine(char: Char): InputRefusal? {
        when {
            char == '\n' -> position = Position.LINE_START
            char == ' ' -> spaces++
            // Bytes over 127 would be encoded anew on their way to an upstream.
            char < ' ' && char != '\r' || char >= DELETE -> return InputRefusal.REQUEST_LINE
        }
        return InputRefusal.REQUEST_LINE.takeIf { char == '\n' && spaces != SPACES }
    }

    private fun lineStart(char: Char): InputRefusal? {
        if (char == ' ' || char == '\t') return InputRefusal.FOLDED_LINE
        position = when (char) {
            '\r' -> Position.LINE_START
            '\n' -> Position.END
            else -> Position.NAME
        }
        return null
    }

    private fun name(char: Char): InputRefusal? {
        if (char == ':') position = Position.VALUE
        return InputRefusal.FIELD_WITHOUT_COLON.takeIf { char == '\n' }
    }

    private companion object {
        /** One on either side of the target. */
        const val SPACES = 2
        const val DELETE = '\u007f'
    }
}
