package cactusfold.entry.path

import cactusfold.platform.standin.HeaderNames
import cactusfold.platform.standin.RunnerStandin
import java.util.UUID
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executors
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

/** Requests whose bytes can be read in two ways, and proper ones that are merely unusual. */
class RequestFramingTest {
    private val fixture = EntryFixture()
    private val threads = Executors.newFixedThreadPool(THREADS)
    private lateinit var desk: RunnerStandin

    @BeforeEach
    fun start() {
        desk = fixture.runner("d-1", "desk")
        fixture.start()
    }

    @AfterEach
    fun close() {
        threads.shutdownNow()
        fixture.close()
    }

    /** A request with the header [lines], and what a reader may take for its body. */
    private class Form(
        vararg lines: String,
        val code: String,
        status: Int = 400,
        version: String = "HTTP/1.1",
        target: String = "/book/outer",
        before: String = "",
        host: String? = "Host: 127.0.0.1",
        body: String = "0\r\n\r\n",
        method: String = "POST"
    ) {
        val expected = status to code
        private val inner = "${head("/look/inner")}\r\n"

        /** In place of `LENGTH`, a header states the length of all that follows. */
        val text = before + listOfNotNull("$method $target $version", host, *identity(), *lines)
            .joinToString("\r\n", postfix = "\r\n\r\n") { line ->
                line.replace("LENGTH", "${(body + inner).length}")
            } + body + inner
    }

    private fun endsOf(ports: List<Int>, texts: List<String>): List<List<RawEnd>> = texts
        .map { text ->
            ports.map { CompletableFuture.supplyAsync({ RawEnd.of(it, text) }, threads) }
        }.map { ends -> ends.map { it.get() } }

    private fun problemsOf(form: Form, end: RawEnd): List<String> = listOfNotNull(
        "open".takeUnless { end.isClosed },
        "statuses ${end.statuses}".takeIf { end.statuses != listOf(form.expected.first) },
        "another code".takeUnless { end.text.endsWith("\r\n\r\n${form.expected.second}\n") },
        "no close".takeUnless { "connection: close" in end.text.lowercase() }
    )

    private fun assertRefused(vararg forms: Form) {
        val ports = with(fixture) { listOf(callers, passing, ready, metrics) }
        val problems = endsOf(ports, forms.map { it.text }).flatMapIndexed { at, ends ->
            ends.flatMapIndexed { port, end ->
                problemsOf(forms[at], end).map { "$it at port $port: ${forms[at].text}" }
            }
        }
        assertEquals(emptyList(), problems.map { it.take(PRINTED) })
        assertEquals(emptyList(), desk.arrivals.toList(), "sent on")
        val counted = fixture.metricLines("cactusfold_connections_closed_total")
        forms.map { it.expected.second }.forEach { code ->
            assertTrue(counted.any { "reason=\"$code\"" in it }, "$code not in $counted")
        }
    }

    @Nested
    inner class Lengths {
        // Guards against a body that ends elsewhere for a balancer that reads the other header.
        @Test
        fun `a length beside a coding is refused`() = assertRefused(
            Form("Content-Length: LENGTH", CHUNKED, code = "length-and-coding"),
            Form(CHUNKED, "Content-Length: LENGTH", code = "length-and-coding"),
            Form(CHUNKED, "Content-Length: 5", code = "length-and-coding"),
            Form("Transfer-Encoding: x", "Content-Length: LENGTH", code = "length-and-coding")
        )

        // Guards against lengths that old versions of the protocol let a reader choose from.
        @Test
        fun `lengths that differ or are no numbers are refused`() {
            val texts = listOf("5, LENGTH", "5,5", "+5", "-1", "0x5", "5 5", "99999999999999999999")
            val forms = listOf("HTTP/1.0", "HTTP/1.1").flatMap { version ->
                texts.map { Form("Content-Length: $it", version = version, code = BAD_HEAD) } +
                    Form("Content-Length: 5", LENGTH, version = version, code = BAD_HEAD)
            }
            assertRefused(*forms.toTypedArray())
        }

        // Guards against a body of eight bytes that only a draft of WebSocket gives a request.
        @Test
        fun `keys of an old WebSocket draft are refused`() = assertRefused(
            Form(
                "Sec-WebSocket-Key1: 1",
                "Sec-WebSocket-Key2: 2",
                method = "GET",
                code = "length-unstated"
            )
        )
    }

    @Nested
    inner class Codings {
        // Guards against codings that one reader ignores and another takes for chunks.
        @Test
        fun `codings that are unknown or not a name are refused`() = assertRefused(
            Form("Transfer-Encoding: identity", code = "coding-unknown", status = 501),
            Form("Transfer-Encoding: xchunked", code = "coding-unknown", status = 501),
            Form("Transfer-Encoding: gzip, chunked", code = "coding-unknown", status = 501),
            Form("Transfer-Encoding: \"chunked\"", code = "coding-malformed"),
            Form("Transfer-Encoding: chunked;q=1", code = "coding-malformed"),
            Form("Transfer-Encoding: chunked,", code = "coding-malformed"),
            Form("Transfer-Encoding:", code = "coding-malformed")
        )

        // As above, for a list of codings whose end or whose number of chunkings is unclear.
        @Test
        fun `chunks that are not the last coding or come twice are refused`() = assertRefused(
            Form("Transfer-Encoding: chunked, identity", code = "coding-not-last"),
            Form(CHUNKED, "Transfer-Encoding: identity", code = "coding-not-last"),
            Form("Transfer-Encoding: chunked, chunked", code = "coding-repeated"),
            Form(CHUNKED, CHUNKED, code = "coding-repeated")
        )

        // Guards against a version that knows no codings.
        @Test
        fun `a coding on an old version is refused`() = assertRefused(
            Form(
                "Connection: keep-alive",
                CHUNKED,
                version = "HTTP/1.0",
                code = "coding-in-old-version"
            )
        )
    }

    @Nested
    inner class Heads {
        // Guards against a line that one reader joins to the one before and another does not.
        @Test
        fun `folded lines are refused`() = assertRefused(
            Form("Transfer-Encoding:", " chunked", code = "folded-line"),
            Form("X: y", "\tContent-Length: 5", code = "folded-line"),
            Form(host = " Host: 127.0.0.1", code = "folded-line")
        )

        // Guards against request lines, fields and bytes before a head that readers skip or not.
        @Test
        fun `malformed lines and bytes before a head are refused`() = assertRefused(
            Form(target = "/book/a b", code = "request-line"),
            Form(target = " /book/a", code = "request-line"),
            Form(target = "/book/a\t", code = "request-line"),
            Form(target = "/book/\u00e9", code = "request-line"),
            Form("Content-Length", code = "field-without-colon"),
            Form("X : y", code = BAD_HEAD),
            Form(before = " ", code = "bytes-before-head"),
            Form(before = "\r\n\u0001", code = "bytes-before-head"),
            Form(before = "\u0016\u0003\u0001\u0002", code = "bytes-before-head")
        )

        // Guards against a host that the one who routes reads elsewhere.
        @Test
        fun `no host or two are refused`() = assertRefused(
            Form(host = null, code = "host-missing"),
            Form("Host: 127.0.0.1", code = "host-repeated"),
            Form("Host: other", version = "HTTP/1.0", code = "host-repeated"),
            Form(target = "http://other/book/outer", code = "host-repeated")
        )

        // Guards against versions whose framing nobody knows, and answers in them.
        @Test
        fun `unknown versions are refused`() = assertRefused(
            Form(version = "HTTP/9.9", code = "version-unknown", status = 501),
            Form(version = "HTTP/1.2", code = "version-unknown", status = 501),
            Form(version = "HTTP/0.9", code = "version-unknown", status = 501)
        )

        // Guards against a request that another reader takes for one of somebody else.
        @Test
        fun `two values of what identifies a request are refused`() {
            val names = with(HeaderNames) {
                listOf(REQUEST_ID, CREDENTIAL, DEADLINE_MS, MODEL, TOKEN_USAGE)
            }
            val twice = names.map { name ->
                Form("$name: 1", "${name.lowercase()}: 1", code = "header-repeated")
            }
            assertRefused(*twice.toTypedArray())
        }
    }

    @Nested
    inner class Pipelined {
        // Guards against a refusal that overtakes answers, or ends the requests before it.
        @Test
        fun `a refusal comes behind the answer before it, and nothing is read after it`() {
            desk.answerDelayMillis = 300
            val proper = "${head("/book/x")}\r\n"
            val bad = Form("Content-Length: LENGTH", CHUNKED, code = "length-and-coding")
            val end = RawEnd.of(fixture.callers, proper + bad.text + proper)
            assertEquals(listOf(200, 400) to true, end.statuses to end.isClosed, "$end")
            assertEquals(1, desk.ran.size)
        }
    }

    @Nested
    inner class Chunks {
        private val malformed = listOf(
            "0x2\r\nab\r\n0\r\n\r\n",
            "-1\r\nab\r\n0\r\n\r\n",
            "FFFFFFFFFFFFFFFFF\r\nab\r\n0\r\n\r\n",
            "2\nab\r\n0\r\n\r\n",
            " 2\r\nab\r\n0\r\n\r\n",
            "2 2\r\nab\r\n0\r\n\r\n",
            "2\r\r\nab\r\n0\r\n\r\n",
            "2\r\nabc\r\n0\r\n\r\n",
            "2\r\nab\r\n\r\n0\r\n\r\n",
            "2\r\nab\r\n0\r\nX\u0000: y\r\n\r\n"
        ).map { "${head("/book/outer", CHUNKED)}\r\n$it${head("/look/inner")}\r\n" }

        // Guards against a caller that gets no answer, and a body that is sent on in part.
        @Test
        fun `malformed chunks are refused`() {
            val ends = endsOf(with(fixture) { listOf(callers, passing) }, malformed)
            ends.flatten().forEach { end ->
                assertEquals(listOf(400) to true, end.statuses to end.isClosed, "$ends")
                assertTrue(end.text.endsWith("chunk-malformed\n"), "$end")
            }
            assertEquals(emptyList(), desk.arrivals.toList(), "sent on")
        }

        // Guards against a port that answers before the body and reads on behind malformed chunks.
        @Test
        fun `nothing is read behind malformed chunks on other ports`() {
            val ends = endsOf(with(fixture) { listOf(ready, metrics) }, malformed).flatten()
            ends.forEach { assertEquals(1 to true, it.statuses.size to it.isClosed, "$it") }
        }
    }

    @Nested
    inner class Unusual {
        private fun assertServed(vararg texts: String) = texts.forEach { text ->
            val end = RawEnd.of(fixture.callers, text + text.replace(ID, "$ID-2"), answers = 2)
            assertEquals(listOf(200, 200), end.statuses, text)
        }

        // Guards against strictness that refuses what honest callers may send.
        @Test
        fun `unusual but proper requests are served`() = assertServed(
            "${head("/book/x", CHUNKED)}\r\n2;a=\"b;c\"\r\nab\r\n0\r\n\r\n",
            "${head("/book/x", CHUNKED)}\r\n02\r\nab\r\n000\r\nX: y\r\n\r\n",
            "\r\n\r\n${head("/book/x")}\r\n",
            "${head("/book/x", "Expect: 100-continue", "Content-Length: 2")}\r\nab",
            "${head("http://127.0.0.1/book/x")}\r\n",
            "${head("/book/x", "transfer-encoding:\t Chunked \t")}\r\n0\r\n\r\n",
            "${head("/book/x", "Accept: a", "Accept: b", "X:")}\r\n",
            "${head("/book/x", "Connection: ${HeaderNames.REQUEST_ID}, Last-Event-Id")}\r\n"
        )

        @Test
        fun `an old version is served, and routed by its path alone without a host`() {
            val text = head("/book/x").replace("HTTP/1.1", "HTTP/1.0") + "\r\n"
            val hosts = listOf("Host: 127.0.0.1\r\n" to 200, "" to NO_ROUTE)
            hosts.forEach { (host, status) ->
                val sent = text.replace("Host: 127.0.0.1\r\n", host)
                val end = RawEnd.of(fixture.callers, sent)
                assertEquals(listOf(status) to true, end.statuses to end.isClosed, "$end")
            }
        }
    }

    private companion object {
        const val THREADS = 64
        const val PRINTED = 300

        /** The only route to the path states a host. */
        const val NO_ROUTE = 404
        const val CHUNKED = "Transfer-Encoding: chunked"
        const val LENGTH = "Content-Length: LENGTH"
        const val BAD_HEAD = "head-malformed"
        const val ID = "an-id"

        fun identity(id: String = "${UUID.randomUUID()}") = arrayOf(
            "${HeaderNames.REQUEST_ID}: $id",
            "${HeaderNames.CREDENTIAL}: key-1"
        )

        /** The head of a request to [target] without its empty line. */
        fun head(target: String, vararg lines: String): String =
            listOf("POST $target HTTP/1.1", "Host: 127.0.0.1", *identity(ID), *lines)
                .joinToString("") { "$it\r\n" }
    }
}
