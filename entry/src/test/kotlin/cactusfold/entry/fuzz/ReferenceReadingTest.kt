package cactusfold.entry.fuzz

import cactusfold.entry.fuzz.ReadingEnd.Last
import cactusfold.entry.fuzz.ReadingEnd.Open
import cactusfold.entry.fuzz.ReadingEnd.Refused
import cactusfold.entry.fuzz.ReadingEnd.Unfinished
import cactusfold.platform.standin.HeaderNames
import kotlin.test.assertEquals
import kotlin.test.assertIs
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

class ReferenceReadingTest {
    private val chunked = "Transfer-Encoding: chunked"

    private fun request(
        vararg fields: String,
        body: String = "",
        line: String = "POST /a?b HTTP/1.1",
        host: String = "Host: h\r\n"
    ) = "$line\r\n$host${fields.joinToString("") { "$it\r\n" }}\r\n$body"

    private fun bodies(text: String) = ReferenceReading.of(text).requests.map { it.body }

    private fun assertRefused(vararg texts: String) = texts.forEach {
        val reading = ReferenceReading.of(it + request())
        assertIs<Refused>(reading.end, "$reading of $it")
        assertEquals(emptyList(), reading.requests, it)
    }

    private fun assertUnfinished(text: String) =
        assertEquals(Reading(emptyList(), Unfinished), ReferenceReading.of(text))

    @Nested
    inner class WholeRequests {
        // Guards against a reading that takes the bytes of one request for those of another.
        @Test
        fun `a body ends by its length, its last chunk or its head`() {
            val text = request("Content-Length: 03", body = "abc") +
                request(chunked, body = "1;x=y\r\na\r\nA\r\n0123456789\r\n0\r\nX: y\r\n\r\n") +
                "\r\n" + request()
            assertEquals(listOf("abc", "a0123456789", ""), bodies(text))
            assertEquals(Open, ReferenceReading.of(text).end)
        }

        // Guards against a reading that reads on behind the last request of a connection.
        @Test
        fun `a request that ends its connection is the last`() {
            for (last in listOf(
                request("Connection: x, Close"),
                request(line = "GET /a HTTP/1.0")
            )) {
                val reading = ReferenceReading.of(last + request())
                assertEquals(Last, reading.end, last)
                assertEquals(1, reading.requests.size)
            }
        }

        // Guards against a comparison with the whole target, of which upstreams get the path.
        @Test
        fun `a target in absolute form names the path and query`() {
            val reading = ReferenceReading.of(request(line = "GET http://h/a?b HTTP/1.1"))
            assertEquals("/a?b", reading.requests.single().pathAndQuery)
        }
    }

    @Nested
    inner class Refusals {
        // Guards against framing with two readings that passes as one.
        @Test
        fun `a body without one plain length or coding is refused`() = assertRefused(
            request("Content-Length: 5", chunked, body = "0\r\n\r\n"),
            request("Transfer-Encoding: identity"),
            request("Transfer-Encoding: chunked, identity", body = "0\r\n\r\n"),
            request("Transfer-Encoding: \"chunked\"", body = "0\r\n\r\n"),
            request(chunked, chunked, body = "0\r\n\r\n"),
            request(
                chunked,
                "Connection: keep-alive",
                line = "POST / HTTP/1.0",
                body = "0\r\n\r\n"
            ),
            request("Content-Length: 2", "Content-Length: 3", body = "abc"),
            request("Content-Length: +2", body = "ab"),
            request("Content-Length: 0x2", body = "ab"),
            request("Content-Length: 99999999999999999999", body = "ab")
        )

        // Guards against a head of which another server sees other fields.
        @Test
        fun `a head with an unclear line, host or id is refused`() = assertRefused(
            request(host = ""),
            request("Host: h"),
            request("X : y"),
            request("X: y", " z"),
            request("X: y\nZ: z"),
            request("X: \u0000"),
            request("${HeaderNames.REQUEST_ID}: 1", "${HeaderNames.REQUEST_ID.lowercase()}: 1")
        )

        // Guards against chunks whose end another server sees elsewhere.
        @Test
        fun `a chunk without a plain size or end is refused`() = listOf(
            "0x2\r\nab\r\n0\r\n\r\n",
            "-1\r\nab\r\n0\r\n\r\n",
            "\r\nab\r\n0\r\n\r\n",
            "fffffffff\r\nab\r\n0\r\n\r\n",
            "2\nab\r\n0\r\n\r\n",
            "2\r\nabcd\r\n0\r\n\r\n",
            "2\r\nab0\r\n\r\n",
            "0\r\nX : y\r\n\r\n"
        ).forEach { assertRefused(request(chunked, body = it)) }
    }

    @Nested
    inner class UnfinishedRequests {
        // Guards against a request that counts as whole or refused before its last byte.
        @Test
        fun `no beginning of a request is whole or refused`() {
            for (text in listOf(
                request("Content-Length: 3", body = "abc"),
                request(chunked, body = "3\r\nabc\r\n0\r\n\r\n")
            )) {
                (1 until text.length).forEach { assertUnfinished(text.take(it)) }
            }
        }
    }
}
