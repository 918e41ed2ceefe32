package cactusfold.entry.fuzz

import cactusfold.platform.standin.HeaderNames

/** An answer of the process, as a caller reads it. */
internal data class ReceivedAnswer(val status: Int, val id: String?, val body: String) {
    companion object {
        private const val HEAD_END = "\r\n\r\n"
        private const val HEXADECIMAL = 16

        /** Returns the final answers in [text], and what is left that is no whole answer. */
        fun allOf(text: String): Pair<List<ReceivedAnswer>, String> {
            val answers = ArrayList<ReceivedAnswer>()
            var rest = text
            while (true) {
                val (answer, bytes) = first(rest) ?: return answers to rest
                rest = rest.drop(bytes)
                if (answer.status != CONTINUE) answers += answer
            }
        }

        private const val CONTINUE = 100

        private fun first(text: String): Pair<ReceivedAnswer, Int>? {
            val headEnd = text.indexOf(HEAD_END).takeIf { it >= 0 } ?: return null
            val lines = text.take(headEnd).split("\r\n")
            val status = STATUS_LINE.matchEntire(lines[0])?.groupValues?.get(1)?.toInt()
                ?: return null
            val fields = lines.drop(1)
                .associate { it.substringBefore(':').lowercase() to it.substringAfter(':').trim() }
            val start = headEnd + HEAD_END.length
            val (body, bytes) = when {
                "transfer-encoding" in fields -> chunks(text.drop(start)) ?: return null
                else -> {
                    val length = fields["content-length"]?.toInt() ?: 0
                    text.drop(start).take(length) to length
                }
            }
            if (start + bytes > text.length) return null
            return ReceivedAnswer(status, fields[ID], body) to start + bytes
        }

        private fun chunks(text: String): Pair<String, Int>? {
            val body = StringBuilder()
            var position = 0
            while (true) {
                val lineEnd = text.indexOf("\r\n", position).takeIf { it >= 0 } ?: return null
                val size = text.substring(position, lineEnd).toIntOrNull(HEXADECIMAL) ?: return null
                position = lineEnd + 2 + size + 2
                if (position > text.length) return null
                if (size == 0) return "$body" to position
                body.append(text, lineEnd + 2, lineEnd + 2 + size)
            }
        }

        private val STATUS_LINE = Regex("HTTP/1\\.[01] ([1-5][0-9]{2})(?: .*)?")
        private val ID = HeaderNames.REQUEST_ID.lowercase()
    }
}
