package cactusfold.entry.process

import kotlin.test.assertEquals
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

class EventLogTest {
    private var nowMillis = 0L
    private val events = EventLog("vm", { nowMillis }, linesPerSecond = 3)

    @Nested
    inner class Budget {
        @Test
        fun `lines beyond the limit per second are dropped and counted`() {
            repeat(10) { events.write("request-ended", "request" to "r$it") }
            assertEquals(7, events.droppedLines)
        }

        @Test
        fun `the limit applies to each kind of event and restarts every second`() {
            repeat(3) { events.write("request-ended") }
            repeat(3) { events.write("sent") }
            nowMillis = 1_000
            repeat(3) { events.write("request-ended") }
            assertEquals(0, events.droppedLines)
        }
    }
}
