package cactusfold.entry.fuzz

import cactusfold.platform.standin.HeaderNames
import kotlin.random.Random

/** A change of a request's framing; [name] tells it in reports. */
internal class Mutation(val name: String, val apply: RequestDraft.(Random) -> Unit) {
    companion object {
        private val IDENTIFYING = with(HeaderNames) {
            listOf(REQUEST_ID, CREDENTIAL, DEADLINE_MS, MODEL, TOKEN_USAGE)
        }
        private val NOMINATED = IDENTIFYING +
            listOf("Content-Length", "Transfer-Encoding", "Host", "Last-Event-Id", "keep-alive")

        /** Changes after which the request is read as before. */
        private val harmless = listOf(
            Mutation("nominates a header") { fields += "Connection: ${NOMINATED.random(it)}" },
            Mutation("asks to continue") { fields += "Expect: 100-continue" },
            Mutation("empty lines before") { line = "\r\n".repeat(it.nextInt(1, 4)) + line },
            Mutation("closes") { fields += "Connection: close" },
            Mutation("HTTP/1.0") {
                if (isHosted && fields.none(RequestDraft::isCoding)) version = "HTTP/1.0"
            },
            Mutation("upgrade") { fields += listOf("Upgrade: h2c", "Connection: upgrade") },
            Mutation("length as text") {
                setLengths(it, "${content.length}".padStart(12, '0'))
            }
        )

        private val codings = listOf(
            Mutation("length and chunks") {
                setCodings(it, "chunked")
                fields.add(it.nextInt(fields.size), "Content-Length: ${framed.length}")
            },
            Mutation("length over an inner body") {
                setCodings(it, "chunked")
                fields.add(it.nextInt(fields.size), "Content-Length: ${content.length}")
                framed = "0\r\n\r\n$content"
            },
            Mutation("other coding") {
                val codings = listOf(
                    "identity", "gzip", "xchunked", "\"chunked\"", "chunked;q=1",
                    "chunked identity", "chunked, identity", "identity, chunked", "gzip, chunked",
                    "chunked, chunked", "\u000bchunked", "chunked\u0000", ""
                )
                setCodings(it, codings.random(it))
                if (it.nextBoolean()) framed = "0\r\n\r\n$content"
                if (it.nextBoolean()) framed = content
            },
            Mutation("two codings") {
                setCodings(it, "chunked", listOf("identity", "chunked", "gzip").random(it))
            },
            Mutation("HTTP/1.0 in chunks") {
                setCodings(it, "chunked")
                if (isHosted) version = "HTTP/1.0"
                if (it.nextBoolean()) fields += "Connection: keep-alive"
            },
            Mutation("folded coding") {
                unframe()
                fields += "Transfer-Encoding:\r\n${listOf(" ", "\t").random(it)}chunked"
                framed = "0\r\n\r\n$content"
            }
        )

        private val lengths = listOf(
            Mutation("odd length") {
                val size = content.length
                val odd = listOf(
                    "+$size", "-1", "-$size", "0x$size", "$size,$size", "$size, ${size + 1}", "",
                    "a", "${size}a", "$size $size", "99999999999999999999999", "\"$size\"",
                    "$size.0", "1e1", "${Int.MAX_VALUE}${Int.MAX_VALUE}"
                )
                setLengths(it, odd.random(it))
            },
            Mutation("two lengths") {
                val other = listOf(0, content.length, content.length + 1).random(it)
                setLengths(it, content.length, other)
            },
            Mutation("shorter length") {
                content.indices.filter { index -> content[index] > ' ' }.randomOrNull(it)
                    ?.let { length -> setLengths(it, length) }
            },
            Mutation("longer length") { setLengths(it, content.length + it.nextInt(1, 300)) }
        )

        private val chunks = listOf(
            Mutation("bad chunk size") {
                setCodings(it, "chunked")
                val size = listOf(
                    "0x2", "-1", "+2", "", " 2", "g", "ffffffffff", "fffffffffffffffff", "2 2",
                    ",2", "\u00002", "-0", "0x0", "2\r", "\"2\""
                ).random(it)
                framed = "$size\r\nab\r\n0\r\n\r\n$content"
            },
            Mutation("chunk without end") {
                setCodings(it, "chunked")
                val chunk = listOf("2\r\nab", "2\r\nabc\r\n", "2\r\nab\n", "2\r\nab\r", "2\nab\r\n")
                    .random(it)
                framed = "${chunk}0\r\n\r\n$content"
            },
            Mutation("odd last chunk") {
                setCodings(it, "chunked")
                val last = listOf(
                    "0\n\n", "0\r\n\n", "0\n\r\n", "0\r\nX : y\r\n\r\n", "0\r\nX: y\nZ: z\r\n\r\n",
                    "0\r\n y\r\n\r\n", "0\r\nX\r\n\r\n", "0\r\n: y\r\n\r\n", "0;\n\r\n\r\n"
                ).random(it)
                framed = "2\r\nab\r\n$last$content"
            }
        )

        private val heads = listOf(
            // Older versions need no host.
            Mutation("no host") {
                fields.removeAll { it.startsWith("Host:") }
                version = "HTTP/1.1"
            },
            Mutation("two hosts") {
                if (!isHosted) fields += "Host: 127.0.0.1"
                fields.add(it.nextInt(fields.size), "Host: ${listOf("127.0.0.1", "x").random(it)}")
            },
            Mutation("doubled header") { random ->
                val name = IDENTIFYING.random(random)
                val field = fields.firstOrNull { it.startsWith(name) } ?: "$name: 10,10"
                if (field !in fields) fields += field
                val other = listOf(field, "${field}1", field.lowercase()).random(random)
                fields.add(random.nextInt(fields.size), other)
            },
            Mutation("odd line") {
                val odd = listOf(
                    "X : y", "X\t: y", " X: y", "X", ": y", "X: y\nZ: z", "X: y\rZ: z",
                    "X: y\u0000", "X\u0000: y", "X: y\r\n z", "X(): y", "X Y: z", "\n", "X: y\r\r",
                    "\u0000"
                )
                fields.add(it.nextInt(fields.size), odd.random(it))
            },
            Mutation("space before a colon") {
                val index = it.nextInt(fields.size)
                fields[index] = fields[index].replaceFirst(":", listOf(" :", "\t:").random(it))
            },
            Mutation("folded line") {
                val index = it.nextInt(fields.size)
                fields[index] = fields[index].replaceFirst(": ", ":\r\n ")
            },
            Mutation("bare line end") {
                val index = it.nextInt(fields.size)
                val end = listOf("\n", "\r", "\n\n").random(it)
                fields[index] = "${fields[index]}${end}X: y"
            },
            Mutation("cut") { framed = framed.dropLast(it.nextInt(1, 20)) }
        )

        val ALL: List<Mutation> = harmless + codings + lengths + chunks + heads
    }
}
