package cactusfold.decisions.residency

import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

class StoreLoadWindowTest {
    @Nested
    inner class OneHolder {
        private val window = StoreLoadWindow(5_000)

        @Test
        fun `as many begin in a window as the rate allows`() {
            repeat(20) { window.began(1_000) }
            assertEquals(0, window.allowed(4.0, 6_000))
            assertEquals(20, window.allowed(4.0, 6_001))
        }

        @Test
        fun `a slow store allows one`() {
            assertEquals(1, window.allowed(0.01, 0))
        }
    }

    @Nested
    inner class HoldersInTurn {
        @Test
        fun `after a holder that used its window only what is tolerated begins`() {
            val window = StoreLoadWindow(5_000)
            window.succeeded(1_000)
            assertEquals(2, window.allowed(4.0, 1_000))
            repeat(2) { window.began(1_000) }
            assertEquals(0, window.allowed(4.0, 6_000))
            assertEquals(20, window.allowed(4.0, 6_001))
        }

        @Test
        fun `no window ever holds more than the rate and what is tolerated`() {
            val random = Random(7)
            val begun = mutableListOf<Long>()
            var window = StoreLoadWindow(5_000)
            var nowMillis = 0L
            repeat(20_000) {
                nowMillis += random.nextLong(100)
                if (random.nextInt(100) == 0) {
                    // Holders follow each other no sooner than the quiet time between them.
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
            assertTrue(most <= 4 * 5 + 3, "$most loads began in a window")
        }
    }
}
