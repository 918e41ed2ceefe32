package cactusfold.entry.path

import cactusfold.entry.path.EntryFixture.Companion.eventually
import cactusfold.entry.process.MemoryShares
import cactusfold.platform.standin.AnswerShape
import cactusfold.platform.standin.CallEnd
import cactusfold.platform.standin.CallerConnection
import cactusfold.platform.standin.RunnerStandin
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test

/** Hundreds of callers that do not read their streams, beside others that do. */
class SlowCallersTest {
    private val memory = MemoryShares(DEPLOYED_HEAP_BYTES)
    private lateinit var fixture: EntryFixture
    private lateinit var runner: RunnerStandin
    private val http = HttpClient.newHttpClient()
    private val slow = mutableListOf<CallerConnection>()

    @BeforeEach
    fun start() {
        // On loopback the kernel would take whole streams, so nothing would wait in the process.
        fixture = EntryFixture(memory = memory, callerSendBufferBytes = 64 * 1024)
        fixture.operator.timeoutMillis = TIMEOUT_MILLIS
        runner = fixture.runner("i-1", "engine", setOf("warm"))
        runner.eventText = "x".repeat(EVENT_BYTES)
        runner.shapeOf = {
            if (it.path().endsWith("slow")) AnswerShape(0, 150, 30) else AnswerShape()
        }
        fixture.store.put("servers", "i-1", runner.row("engine").put("slots", 500))
        fixture.start()
    }

    @AfterEach
    fun stop() {
        slow.forEach { it.close() }
        fixture.close()
    }

    private fun metric(name: String): Double {
        val uri = URI("http://127.0.0.1:${fixture.metrics}/metrics")
        val answer = http.send(
            HttpRequest.newBuilder(uri).build(),
            HttpResponse.BodyHandlers.ofString()
        )
        return answer.body().lines().filter { it.startsWith(name) }
            .sumOf { it.substringAfterLast(' ').toDouble() }
    }

    // Guards against streams that wait for callers until the process has no direct memory left,
    // and against slow callers that delay those that read.
    @Test
    fun `memory stays in its budget and callers that read are served`() {
        repeat(SLOW_CALLERS) {
            val caller = CallerConnection(fixture.callers, receiveBufferBytes = 4_096)
            slow += caller
            caller.send("/draft/slow", model = "warm", timeoutMillis = TIMEOUT_MILLIS)
        }
        var mostBytes = 0.0
        var served = 0
        val until = System.nanoTime() + WATCHED_NANOS
        while (System.nanoTime() < until) {
            val answer = fixture.caller.call("/draft/x", model = "warm")
            assertEquals(200, answer.statusCode())
            assertTrue(answer.body().contains("id: ${RunnerStandin.EVENTS}\n"))
            served++
            mostBytes = maxOf(mostBytes, metric(HELD))
        }
        val dropped = metric("cactusfold_streams_dropped_total")
        println("slow callers: at most $mostBytes bytes held, $dropped dropped, $served served")
        // Each stream may be one piece beyond the budget before it is paused.
        val boundBytes = memory.heldBytes + SLOW_CALLERS * PIECE_BYTES
        assertTrue(mostBytes <= boundBytes, "$mostBytes of $boundBytes bytes were held")
        assertTrue(dropped in 1.0..<SLOW_CALLERS.toDouble(), "$dropped streams were dropped")
        val ends = slow.map { it.receive() }
        assertTrue(ends.count { it is CallEnd.Cut } >= dropped, "a dropped stream was complete")
        assertIs<CallEnd.Answered>(ends.first { it is CallEnd.Answered })
        eventually("bytes are still held") { metric(HELD) == 0.0 }
    }

    private companion object {
        const val DEPLOYED_HEAP_BYTES = 36L * 1024 * 1024
        const val SLOW_CALLERS = 200
        const val EVENT_BYTES = 4_000
        const val PIECE_BYTES = 10_000L
        const val TIMEOUT_MILLIS = 60_000L
        const val WATCHED_NANOS = 7_000_000_000L
        const val HELD = "cactusfold_streams_held_bytes"
    }
}
