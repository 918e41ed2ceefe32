package cactusfold.entry.path

import cactusfold.platform.standin.RawRequest
import io.vertx.core.json.JsonObject
import java.io.IOException
import java.net.Socket
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

/** Refusals whose connections are closed while their callers still send. */
class LingeringCloseTest {
    private val fixture = EntryFixture()

    private fun start() {
        fixture.operator.limits =
            JsonObject().put("idle-timeout-ms", 500).put("header-timeout-ms", 15_000)
        fixture.start()
    }

    /** Sends [first], goes on to send when it has been refused, and reads all of the answer. */
    private fun refusalOf(first: String, waitMillis: Long): String =
        Socket("127.0.0.1", fixture.callers).use { socket ->
            socket.soTimeout = 5_000
            socket.getOutputStream().write(first.toByteArray())
            Thread.sleep(waitMillis)
            repeat(5) {
                socket.getOutputStream().write(ByteArray(1_000) { 'x'.code.toByte() })
                Thread.sleep(50)
            }
            socket.getInputStream().bufferedReader().readText()
        }

    private fun assertRefused(status: Int, first: String, waitMillis: Long) {
        val text = try {
            refusalOf(first, waitMillis)
        } catch (e: IOException) {
            "$e"
        }
        assertEquals("$status", text.split(' ').getOrNull(1), text)
    }

    @AfterEach
    fun close(): Unit = fixture.close()

    // Guards against a close that resets the refusal of a caller that still sends.
    @Nested
    inner class Refusals {
        @Test
        fun `a caller that still sends gets the refusal of a large head`() {
            start()
            assertRefused(431, "GET / HTTP/1.1\r\nX: ${"x".repeat(70_000)}", 300)
        }

        @Test
        fun `a caller that still sends gets the refusal of a long request line`() {
            start()
            val line = "GET /${"x".repeat(20_000)} HTTP/1.1\r\nHost: 127.0.0.1\r\n"
            assertRefused(414, "${line}Content-Length: 9000\r\n\r\nx", 300)
        }

        @Test
        fun `a caller that still sends gets the refusal of a late body`() {
            start()
            val request = RawRequest("/look/x", content = "x".repeat(9_000))
            assertRefused(408, request.head + "x", 1_500)
        }
    }

    // Guards against a caller that sends without end and keeps its connection.
    @Test
    fun `the connection of a caller that sends without end is closed`() {
        start()
        val beganAtNanos = System.nanoTime()
        val end = Socket("127.0.0.1", fixture.callers).use { socket ->
            runCatching {
                socket.getOutputStream().write("GET /${"x".repeat(70_000)}".toByteArray())
                repeat(500) {
                    socket.getOutputStream().write(ByteArray(1_000))
                    Thread.sleep(10)
                }
            }
        }
        assertTrue(end.exceptionOrNull() is IOException, "$end")
        assertTrue(System.nanoTime() - beganAtNanos < 4_000_000_000L)
    }
}
