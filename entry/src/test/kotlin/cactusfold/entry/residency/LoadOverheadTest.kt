package cactusfold.entry.residency

import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Test

class LoadOverheadTest {
    private val overhead = LoadOverhead()

    @Test
    fun `it comes near what loads take`() {
        repeat(20) { overhead.took(weightMillis = 2_000, tookMillis = 2_500) }
        assertTrue(overhead.millis in 490..500, "${overhead.millis}")
    }

    @Test
    fun `one load that was held up does not make all later ones look late`() {
        overhead.took(weightMillis = 2_000, tookMillis = 8_000)
        assertEquals(475, overhead.millis)
    }
}
