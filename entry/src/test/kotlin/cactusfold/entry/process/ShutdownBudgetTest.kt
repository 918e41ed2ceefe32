package cactusfold.entry.process

import kotlin.test.assertEquals
import org.junit.jupiter.api.Test

class ShutdownBudgetTest {
    @Test
    fun `a sixth of the shutdown time is reserved for closing`() {
        assertEquals(5_000, ShutdownBudget.drainMillis(6_000))
    }
}
