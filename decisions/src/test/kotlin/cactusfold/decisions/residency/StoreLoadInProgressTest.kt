package cactusfold.decisions.residency

import kotlin.test.assertEquals
import org.junit.jupiter.api.Test

/** Guards against loads of 22 s instead of 11 s until the first slow ones have ended. */
class StoreLoadInProgressTest {
    private val concurrency = StoreConcurrency(initialLimit = 2)

    private fun begin(count: Int, atMillis: Long) =
        repeat(count) { concurrency.began("r$it", atMillis, LOAD_MILLIS) }

    @Test
    fun `the first load that ends at full speed raises the limit by one`() {
        begin(2, atMillis = 0)
        repeat(2) { concurrency.ended("r$it", LOAD_MILLIS, LOAD_MILLIS) }
        assertEquals(3, concurrency.limit)
    }

    @Test
    fun `a load that is not done at its time lowers the limit before it ends`() {
        begin(2, atMillis = 0)
        repeat(2) { concurrency.ended("r$it", LOAD_MILLIS, LOAD_MILLIS) }
        begin(3, atMillis = LOAD_MILLIS)
        concurrency.observe(LOAD_MILLIS * 21 / 10)
        assertEquals(3, concurrency.limit, "a tenth late is within the margin")
        concurrency.observe(LOAD_MILLIS * 22 / 10)
        assertEquals(2, concurrency.limit)
    }

    @Test
    fun `a load that has stopped does not lower the limit below two`() {
        begin(2, atMillis = 0)
        concurrency.observe(4 * LOAD_MILLIS)
        assertEquals(2, concurrency.limit)
    }

    private companion object {
        const val LOAD_MILLIS = 11_000L
    }
}
