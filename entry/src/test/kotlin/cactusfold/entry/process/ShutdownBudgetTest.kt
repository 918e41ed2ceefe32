package cactusfold.entry.process

import kotlin.test.assertEquals
import org.junit.jupiter.api.Test

class ShutdownBudgetTest {
    @Test
    fun `a sixth of the shutdown time is reserved for closing`() {
        assertEquals(5_000, ShutdownBudget.drainMillis(6_000))
    }

    @Test
    fun `new requests are accepted until the balancer has removed the process, if time allows`() {
        assertEquals(2_400, ShutdownBudget.acceptMillis(8_000))
        assertEquals(1_000, ShutdownBudget.acceptMillis(1_200))
    }
}
