package cactusfold.entry.path

import cactusfold.platform.standin.CallEnd
import cactusfold.platform.standin.CallerConnection
import java.util.concurrent.TimeUnit
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test

/** An entry process in front of an upstream that limits its requests. */
class UpstreamLimitTest {
    private val fixture = EntryFixture()
    private val desk = fixture.runner("i-1", "desk")

    @AfterEach
    fun stop() = fixture.close()

    // Guards against a request that waits for a token although its time ends before.
    @Test
    fun `a request that cannot get a token in its time is refused at once`() {
        desk.statedLimit = "3"
        fixture.start()
        // Uses up what may be sent at once.
        repeat(8) { assertEquals(200, fixture.caller.call("/look/x").statusCode()) }
        CallerConnection(fixture.callers).use {
            it.send("/look/x", timeoutMillis = SHORT_MILLIS)
            val end = assertIs<CallEnd.Answered>(it.receive())
            assertEquals(503 to "upstreams-limited\n", end.status to end.body)
        }
    }

    // Guards against reports, by which the process checks the start of an upstream, beyond its
    // limit.
    @Test
    fun `reports and streams together keep the limit`() {
        val engine = fixture.runner("i-2", "engine", setOf("warm"))
        engine.statedLimit = "1"
        fixture.start()
        assertEquals(200, fixture.caller.call("/draft/x", model = "warm").statusCode())
        Thread.sleep(CONTACT_MILLIS)
        engine.arrivals.clear()
        val endsAtNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(WINDOW_SECONDS)
        var served = 0
        while (System.nanoTime() < endsAtNanos) {
            if (fixture.caller.call("/draft/x", model = "warm").statusCode() == 200) served++
            Thread.sleep(PAUSE_MILLIS)
        }
        val arrived = engine.arrivals.count { it.atNanos < endsAtNanos }
        assertTrue(arrived <= WINDOW_SECONDS + BURST, "$arrived requests and reports arrived")
        assertTrue(served > 0, "no stream was served")
    }

    private companion object {
        const val WINDOW_SECONDS = 6L

        /** What the bucket holds: a second's worth, and one more. */
        const val BURST = 2
        const val CONTACT_MILLIS = 1_000L
        const val PAUSE_MILLIS = 50L

        /** Less than the time between two tokens, and than a request may wait for one. */
        const val SHORT_MILLIS = 100L
    }
}
