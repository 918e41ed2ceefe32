package cactusfold.entry.path

import cactusfold.entry.path.EntryFixture.Companion.eventually
import cactusfold.platform.standin.CallEnd
import cactusfold.platform.standin.CallerConnection
import io.vertx.core.json.JsonObject
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

/** Requests that were read completely get an answer, whatever happens on the way. */
class UnansweredRequestTest {
    @Nested
    inner class IdleTimeout {
        // Guards against an idle timer that closes a connection whose request waits for its answer.
        @Test
        fun `a request that waits longer than the idle timeout is answered`() {
            EntryFixture().use { fixture ->
                fixture.operator.limits = JsonObject().put("idle-timeout-ms", 500)
                val desk = fixture.runner("i-1", "desk")
                fixture.start()
                desk.answerDelayMillis = 1_500
                CallerConnection(fixture.callers).use {
                    assertEquals(200, it.status("/book/x"))
                }
            }
        }

        @Test
        fun `an idle connection is closed by the timeout of the configuration in force`() {
            EntryFixture().use { fixture ->
                fixture.runner("i-1", "desk")
                fixture.start()
                CallerConnection(fixture.callers).use { connection ->
                    assertEquals(200, connection.status("/look/x"))
                    fixture.operator.limits = JsonObject().put("idle-timeout-ms", 500)
                    fixture.operator.configure(version = 2, keys = listOf("key-1"))
                    val changedAtNanos = System.nanoTime()
                    eventually("still open") { connection.isClosedByPeer() }
                    val openMillis = (System.nanoTime() - changedAtNanos) / 1_000_000
                    assertTrue(openMillis < 5_000, "closed after $openMillis ms")
                }
            }
        }
    }

    private fun CallerConnection.status(path: String, model: String? = null): Int =
        assertIs<CallEnd.Answered>(call(path, model)).status
}
