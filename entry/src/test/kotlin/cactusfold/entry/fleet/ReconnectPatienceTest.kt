package cactusfold.entry.fleet

import kotlin.test.assertFalse
import kotlin.test.assertTrue
import org.junit.jupiter.api.Test

class ReconnectPatienceTest {
    private val patience = ReconnectPatience()

    @Test
    fun `a first connection is given up after three notice intervals of silence`() {
        patience.started(1_000)
        patience.heard(2_000)
        assertFalse(patience.isExhausted(3_300))
        assertTrue(patience.isExhausted(3_301))
    }

    @Test
    fun `connections that fail soon one after the other are kept longer, up to a bound`() {
        patience.started(1_000)
        patience.started(2_400)
        assertFalse(patience.isExhausted(5_000))
        assertTrue(patience.isExhausted(5_001))
        repeat(5) { patience.started(10_000) }
        assertTrue(patience.isExhausted(15_201))
    }

    @Test
    fun `after a stable connection the next one starts anew`() {
        patience.started(1_000)
        patience.started(2_000)
        patience.heard(8_000)
        patience.started(9_500)
        assertTrue(patience.isExhausted(10_801))
    }
}
