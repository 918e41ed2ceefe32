package cactusfold.entry.path

import cactusfold.platform.standin.CallEnd
import cactusfold.platform.standin.CallerConnection
import kotlin.test.assertEquals
import kotlin.test.assertIs
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

    private companion object {
        /** Less than the time between two tokens, and than a request may wait for one. */
        const val SHORT_MILLIS = 100L
    }
}
