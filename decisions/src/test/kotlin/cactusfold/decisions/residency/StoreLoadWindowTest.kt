package cactusfold.decisions.residency

import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

class StoreLoadWindowTest {
    @Nested
    inner class SingleHolder {
        private val window = StoreLoadWindow(5_000)

        @Test
        fun `the number of loads per window follows the rate`() {
            repeat(20) { window.began(1_000) }
            assertEquals(0, window.allowed(4.0, 6_000))
            assertEquals(20, window.allowed(4.0, 6_001))
        }

        @Test
        fun `a very low rate allows one load`() {
            assertEquals(1, window.allowed(0.01, 0))
        }
    }

    @Nested
    inner class ConsecutiveHolders {
        @Test
        fun `only the tolerated excess starts after a change of the lease holder`() {
            val window = StoreLoadWindow(5_000)
            window.succeeded(1_000)
            assertEquals(2, window.allowed(4.0, 1_000))
            repeat(2) { window.began(1_000) }
            assertEquals(0, window.allowed(4.0, 6_000))
            assertEquals(20, window.allowed(4.0, 6_001))
        }

        @Test
        fun `no window exceeds the rate plus the tolerated excess`() {
            val random = Random(7)
            val begun = mutableListOf<Long>()
            var window = StoreLoadWindow(5_000)
            var nowMillis = 0L
            repeat(20_000) {
                nowMillis += random.nextLong(100)
                if (random.nextInt(100) == 0) {
                    // A new lease holder starts only after the minimum pause between holders.
                    window = StoreLoadWindow(5_000).apply { succeeded(nowMillis) }
                    nowMillis += 3_000
                }
                if (window.allowed(4.0, nowMillis) > 0) {
                    window.began(nowMillis)
                    begun += nowMillis
                }
            }
            val most = begun.indices.maxOf { i ->
                begun.drop(i).takeWhile { it - begun[i] < 5_000 }.size
            }
            assertTrue(most <= 4 * 5 + 3, "$most loads started in a window")
        }
    }
}
