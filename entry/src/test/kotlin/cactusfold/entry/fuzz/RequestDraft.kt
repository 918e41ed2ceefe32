package cactusfold.entry.fuzz

import cactusfold.platform.standin.HeaderNames
import kotlin.random.Random

/** A request whose parts can be changed before it is sent. */
internal class RequestDraft(val id: String, random: Random, val content: String) {
    var line: String
    var version = "HTTP/1.1"
    val fields = mutableListOf(
        "Host: 127.0.0.1",
        "${HeaderNames.REQUEST_ID}: $id",
        "${HeaderNames.CREDENTIAL}: key-1",
        "${HeaderNames.DEADLINE_MS}: 4000"
    )

    val isHosted: Boolean get() = fields.any { it.startsWith("Host:") }

    /** The body as it is sent. */
    var framed = ""

    init {
        val isSafe = random.nextBoolean()
        val method = (
            if (isSafe) {
                listOf(
                    "GET",
                    "DELETE",
                    "POST"
                )
            } else {
                listOf("POST", "PUT", "PATCH")
            }
            )
            .random(random)
        val prefix = if (random.nextInt(30) ==
            0
        ) {
            "/nowhere/"
        } else if (isSafe) {
            "/look/"
        } else {
            "/book/"
        }
        val origin = if (random.nextInt(20) == 0) "http://127.0.0.1" else ""
        val query = listOf("", "?", "?a=1&b=%2F+x", "?/../?=").random(random)
        line = "$method $origin$prefix$id$query"
        if (random.nextInt(4) == 0) fields += "X-Note: ${"x".repeat(random.nextInt(200))}"
        when (random.nextInt(3)) {
            0 -> if (content.isNotEmpty()) frameByLength() else framed = ""
            1 -> frameByLength()
            else -> frameInChunks(random)
        }
        fields.shuffle(random)
    }

    private fun frameByLength() {
        fields += "Content-Length: ${content.length}"
        framed = content
    }

    private fun frameInChunks(random: Random) {
        fields += listOf("Transfer-Encoding: chunked", "transfer-encoding:\tChunked").random(random)
        framed = chunked(content, random)
    }

    /** Removes what states the length of the body. */
    fun unframe() {
        fields.removeAll { it.startsWith("content-length", true) || isCoding(it) }
    }

    /** Makes the body one of chunks, stated by [codings]. */
    fun setCodings(random: Random, vararg codings: String) {
        unframe()
        codings.forEach { fields.add(random.nextInt(fields.size + 1), "Transfer-Encoding: $it") }
        framed = chunked(content, random)
    }

    /** Makes the body one whose length is stated by [lengths]. */
    fun setLengths(random: Random, vararg lengths: Any) {
        unframe()
        lengths.forEach { fields.add(random.nextInt(fields.size + 1), "Content-Length: $it") }
        framed = content
    }

    override fun toString(): String =
        "$line $version\r\n" + fields.joinToString("") { "$it\r\n" } + "\r\n" + framed

    companion object {
        fun isCoding(field: String): Boolean = field.startsWith("transfer-encoding", true)

        /** Returns [content] in chunks with a last one, at times with extensions and trailers. */
        fun chunked(content: String, random: Random): String = buildString {
            for (chunk in content.chunked(random.nextInt(1, 80))) {
                val size = chunk.length.toString(radix = 16)
                append(listOf(size, size.uppercase(), "0$size").random(random))
                append(listOf("", "", ";x", ";x=\"y z\"").random(random))
                append("\r\n$chunk\r\n")
            }
            append("0\r\n")
            if (random.nextInt(5) == 0) append("X-Trailer: y\r\n")
            if (random.nextInt(20) == 0) append("Content-Length: 7\r\n")
            append("\r\n")
        }
    }
}
