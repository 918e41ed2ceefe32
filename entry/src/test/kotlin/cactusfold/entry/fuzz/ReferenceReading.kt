package cactusfold.entry.fuzz

import cactusfold.platform.standin.HeaderNames

/** A request that is whole on its connection; its body without the framing. */
internal data class WholeRequest(
    val method: String,
    val target: String,
    val id: String?,
    val hasKey: Boolean,
    val body: String
) {
    /** The path with the query, also of a target in absolute form. */
    val pathAndQuery: String get() = target.replaceFirst(ORIGIN, "")

    private companion object {
        val ORIGIN = Regex("^http://[^/]*")
    }
}

/** What follows the last whole request on a connection. */
internal sealed interface ReadingEnd {
    /** Nothing; the connection may be used for another request. */
    data object Open : ReadingEnd

    /** The last whole request ends the connection; what follows is not read. */
    data object Last : ReadingEnd

    /** A request that is not whole, and of which more may come. */
    data object Unfinished : ReadingEnd

    /** Bytes that are refused for [reason]; the connection ends with them. */
    data class Refused(val reason: String) : ReadingEnd
}

/** The only reading of all bytes that a caller sends on a connection. */
internal data class Reading(val requests: List<WholeRequest>, val end: ReadingEnd)

/**
 * Reads requests by the letter of RFC 9112: 2.2 and 5 (lines and fields), 3.2 (Host), 6.1 and 6.3
 * (length of a body) and 7.1 (chunks). Where it permits a choice between repair and refusal, this
 * reading refuses: a length beside a coding, folded lines, equal lengths, line ends without CR
 * other than those of empty lines before a request. It also refuses two values of a header that
 * identifies a request.
 */
internal class ReferenceReading private constructor(private val text: String) {
    private var position = 0
    private val requests = ArrayList<WholeRequest>()

    private class Refusal(reason: String) : Exception(reason)

    private class MissingBytes : Exception()

    private fun read(): Reading {
        val end = try {
            readAll()
        } catch (e: Refusal) {
            ReadingEnd.Refused(e.message.orEmpty())
        } catch (_: MissingBytes) {
            ReadingEnd.Unfinished
        }
        return Reading(requests, end)
    }

    private fun readAll(): ReadingEnd {
        while (true) {
            position += EMPTY_LINES.matchAt(text, position)?.value?.length ?: 0
            if (position == text.length) return ReadingEnd.Open
            if (readRequest()) return ReadingEnd.Last
        }
    }

    /** Reads one request; returns whether it is the last one of its connection. */
    private fun readRequest(): Boolean {
        // A head is judged when it is complete, as a server may do.
        if (text.indexOf(HEAD_END, position) < 0) throw MissingBytes()
        val line = REQUEST_LINE.matchEntire(line()) ?: throw Refusal("request line")
        val (method, target, minorVersion) = line.destructured
        val isOld = minorVersion == "0"
        val fields = Fields(generateSequence { line().ifEmpty { null } }.map(::field).toList())
        if (fields["host"].size != 1) throw Refusal("${fields["host"].size} hosts")
        IDENTIFYING.firstOrNull { fields[it].size > 1 }?.let { throw Refusal("two values of $it") }
        val body = body(fields, isOld)
        val id = fields[HeaderNames.REQUEST_ID].firstOrNull()
        requests += WholeRequest(method, target, id, fields[HeaderNames.CREDENTIAL].any(), body)
        val options = fields["connection"].flatMap { it.split(',') }.map { it.trim().lowercase() }
        return "close" in options || isOld && "keep-alive" !in options
    }

    private class Fields(private val fields: List<Pair<String, String>>) {
        operator fun get(name: String): List<String> =
            fields.filter { it.first.equals(name, ignoreCase = true) }.map { it.second }
    }

    private fun field(line: String): Pair<String, String> {
        val (name, value) = FIELD.matchEntire(line)?.destructured ?: throw Refusal("field line")
        return name to value.trim(' ', '\t')
    }

    private fun body(fields: Fields, isOld: Boolean): String {
        val codings = fields["transfer-encoding"]
        val lengths = fields["content-length"]
        return when {
            codings.isNotEmpty() && lengths.isNotEmpty() -> throw Refusal("length beside a coding")
            codings.isNotEmpty() && isOld -> throw Refusal("coding of HTTP/1.0")
            codings.isNotEmpty() && !codings.isChunked() -> throw Refusal("codings $codings")
            codings.isNotEmpty() -> chunks()
            lengths.isEmpty() -> ""
            else -> bytes(lengths.singleOrNull()?.lengthOrNull() ?: throw Refusal("lengths"))
        }
    }

    private fun List<String>.isChunked(): Boolean =
        singleOrNull().equals("chunked", ignoreCase = true)

    private fun String.lengthOrNull(): Int? = takeIf(DIGITS::matches)?.toIntOrNull()

    private fun chunks(): String = buildString {
        while (true) {
            val size = CHUNK.matchEntire(line())?.groupValues?.get(1)?.toIntOrNull(HEXADECIMAL)
                ?: throw Refusal("chunk size")
            if (size == 0) break
            append(bytes(size))
            val end = bytes(minOf(LINE_END.length, maxOf(1, text.length - position)))
            if (!LINE_END.startsWith(end)) throw Refusal("end of a chunk")
            if (end.length < LINE_END.length) throw MissingBytes()
        }
        while (true) line().ifEmpty { null }?.let(::field) ?: break
    }

    private fun bytes(count: Int): String {
        if (count > text.length - position) throw MissingBytes()
        position += count
        return text.substring(position - count, position)
    }

    /** Reads a line to its CRLF. */
    private fun line(): String {
        val end = text.indexOfAny(LINE_BREAKERS, position)
        if (end < 0 || end == text.length - 1 && text[end] == '\r') throw MissingBytes()
        if (!text.startsWith(LINE_END, end)) throw Refusal("a CR, LF or NUL within a line")
        val line = text.substring(position, end)
        position = end + LINE_END.length
        return line
    }

    companion object {
        const val LINE_END = "\r\n"
        private const val HEAD_END = LINE_END + LINE_END
        private const val HEXADECIMAL = 16
        private const val TOKEN = "[!#$%&'*+.^_`|~0-9A-Za-z-]+"
        private val EMPTY_LINES = Regex("(\r?\n)+")
        private val LINE_BREAKERS = charArrayOf('\r', '\n', '\u0000')
        private val REQUEST_LINE = Regex("($TOKEN) ((?:http://)?[^ \t]+) HTTP/1\\.([01])")
        private val FIELD = Regex("($TOKEN):(.*)")
        private val DIGITS = Regex("[0-9]+")
        private val CHUNK = Regex("([0-9A-Fa-f]+)(?:[ \t]*;.*)?")
        private val IDENTIFYING = with(HeaderNames) {
            listOf(REQUEST_ID, CREDENTIAL, DEADLINE_MS, MODEL, TOKEN_USAGE)
        }

        /** Reads all that was sent on one connection; [text] has a character for each byte. */
        fun of(text: String): Reading = ReferenceReading(text).read()
    }
}
