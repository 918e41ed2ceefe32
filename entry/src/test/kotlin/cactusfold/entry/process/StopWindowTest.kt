package cactusfold.entry.process

import kotlin.test.assertEquals
import org.junit.jupiter.api.Test

class StopWindowTest {
    @Test
    fun `a sixth of the time to stop in is left for closing`() {
        assertEquals(5_000, StopWindow.waitMillis(6_000))
    }
}
