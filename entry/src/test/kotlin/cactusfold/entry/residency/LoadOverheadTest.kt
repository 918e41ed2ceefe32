package cactusfold.entry.residency

import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Test

class LoadOverheadTest {
    private val overhead = LoadOverhead()

    @Test
    fun `converges to the overhead of the recorded loads`() {
        repeat(20) { overhead.record(weightMillis = 2_000, tookMillis = 2_500) }
        assertTrue(overhead.millis in 490..500, "${overhead.millis}")
    }

    @Test
    fun `a single delayed load raises the estimate only to a bounded degree`() {
        overhead.record(weightMillis = 2_000, tookMillis = 8_000)
        assertEquals(475, overhead.millis)
    }
}
