package cactusfold.entry.callers

import io.netty.buffer.ByteBuf

/**
 * Follows the chunks of a body, since the decoder also reads sizes with blanks or returns in them,
 * and skips what stands between a chunk and the end of its line. What follows the last chunk is
 * left to the decoder.
 */
internal class ChunkLines {
    private enum class Position {
        SIZE,
        BLANK,
        EXTENSION,
        SIZE_END,
        DATA,
        DATA_RETURN,
        DATA_END,
        LAST
    }

    private var position = Position.SIZE
    private var digits = 0
    private var sizeBytes = 0L

    /** Whether something that was read is no chunk. */
    var isMalformed = false
        private set

    /** Takes the bytes of [input] from [from] until its reader index. */
    fun read(input: ByteBuf, from: Int) {
        var index = from
        while (index < input.readerIndex() && position != Position.LAST && !isMalformed) {
            if (position == Position.DATA) {
                val count = minOf(sizeBytes, (input.readerIndex() - index).toLong())
                sizeBytes -= count
                index += count.toInt()
                if (sizeBytes == 0L) position = Position.DATA_RETURN
            } else {
                isMalformed = !accepts(input.getByte(index++).toInt().toChar())
            }
        }
    }

    /** Expects the first chunk of another body. */
    fun reset() {
        position = Position.SIZE
        digits = 0
        sizeBytes = 0
        isMalformed = false
    }

    private fun accepts(char: Char): Boolean = when (position) {
        Position.SIZE -> size(char)
        Position.BLANK -> char in BLANKS || char == ';' && moveTo(Position.EXTENSION)
        Position.EXTENSION ->
            if (char == '\r') moveTo(Position.SIZE_END) else char >= ' ' || char == '\t'
        Position.SIZE_END -> char == '\n' && endSize()
        Position.DATA_RETURN -> char == '\r' && moveTo(Position.DATA_END)
        Position.DATA_END -> char == '\n' && moveTo(Position.SIZE)
        Position.DATA, Position.LAST -> true
    }

    private fun size(char: Char): Boolean {
        val digit = if (char < DELETE) Character.digit(char, HEXADECIMAL) else -1
        return when {
            digit >= 0 -> {
                sizeBytes = sizeBytes * HEXADECIMAL + digit
                ++digits <= MAX_DIGITS
            }
            digits == 0 -> false
            char == ';' -> moveTo(Position.EXTENSION)
            char == '\r' -> moveTo(Position.SIZE_END)
            else -> char in BLANKS && moveTo(Position.BLANK)
        }
    }

    private fun endSize(): Boolean {
        digits = 0
        return moveTo(if (sizeBytes == 0L) Position.LAST else Position.DATA)
    }

    private fun moveTo(next: Position): Boolean {
        position = next
        return true
    }

    private companion object {
        const val HEXADECIMAL = 16

        /** A size of so many digits does not overflow. */
        const val MAX_DIGITS = 15
        const val BLANKS = " \t"
        const val DELETE = '\u007f'
    }
}
