package cactusfold.entry.soak

import cactusfold.entry.path.PlatformFixture
import cactusfold.platform.standin.BodyFraming
import cactusfold.platform.standin.CallEnd
import cactusfold.platform.standin.CallerConnection
import cactusfold.platform.standin.CallerStandin
import cactusfold.platform.standin.RawRequest
import io.vertx.core.json.JsonObject
import kotlin.test.assertEquals
import org.junit.jupiter.api.Test

class PausedProcessTest {
    // Guards against a timer that runs before the bytes are read that arrived while the process
    // stood still, so that a whole request is refused as one whose caller is silent.
    @Test
    fun `bodies that were completed while the process stood still are read`() {
        PlatformFixture().use { platform ->
            platform.operator.limits = JsonObject().put("idle-timeout-ms", IDLE_MILLIS)
            platform.runner("i-1", "desk")
            platform.operator.configure(1, listOf("key-1"))
            EntryJvm("paused", "first", platform.store.port, STOP_MILLIS).use { entry ->
                entry.awaitServing()
                // Waits are forecast from answers, of which a process that has just started knows
                // a single slow one.
                val caller = CallerStandin(entry.callersPort)
                repeat(ANSWERS) { assertEquals(OK_STATUS, caller.call("/look/x").statusCode()) }
                val ends = sendThroughPause(entry)
                assertEquals(mapOf(OK to REQUESTS, SILENT to 1), ends)
            }
        }
    }

    /** Returns the ends of [REQUESTS] requests and of one that is never completed. */
    private fun sendThroughPause(entry: EntryJvm): Map<String, Int> {
        val calls = List(REQUESTS + 1) {
            val framing = if (it % 2 == 0) BodyFraming.LENGTH else BodyFraming.CHUNKED
            CallerConnection(entry.callersPort) to RawRequest("/look/x", framing = framing)
        }
        calls.forEach { (connection, request) ->
            connection.write("$request".take(request.head.length + request.body.length / 2))
        }
        Thread.sleep(READ_MILLIS)
        entry.pause()
        calls.dropLast(1).forEach { (connection, request) ->
            connection.write(request.body.drop(request.body.length / 2))
        }
        Thread.sleep(PAUSE_MILLIS)
        entry.resume()
        return calls.map { (connection, _) -> connection.use { endOf(it.receive()) } }
            .groupingBy { it }.eachCount()
    }

    private fun endOf(end: CallEnd): String = when (end) {
        is CallEnd.Answered -> "${end.status} ${end.body.trim()}"
        is CallEnd.Cut -> "cut"
    }

    private companion object {
        const val OK = "200 whole answer of i-1"
        const val SILENT = "408 body-timed-out"
        const val STOP_MILLIS = 8_000L
        const val OK_STATUS = 200
        const val ANSWERS = 20
        const val REQUESTS = 40
        const val IDLE_MILLIS = 1_000

        /** The process has read what was sent, and its timers have not ended. */
        const val READ_MILLIS = 300L

        /** Longer than the idle timeout, shorter than the requests' time limit. */
        const val PAUSE_MILLIS = 2_000L
    }
}
