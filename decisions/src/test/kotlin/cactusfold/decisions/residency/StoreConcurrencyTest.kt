package cactusfold.decisions.residency

import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

class StoreConcurrencyTest {
    private val concurrency = StoreConcurrency()
    private var nowMillis = 1_000L

    /** Runs as many loads as the limit allows, on a store that sustains [capacity] of them. */
    private fun round(capacity: Int) {
        val runners = List(concurrency.limit) { "r$it" }
        runners.forEach { concurrency.began(it, nowMillis) }
        nowMillis += LOAD_MILLIS * maxOf(capacity, runners.size) / capacity
        runners.forEach { concurrency.ended(it, LOAD_MILLIS, nowMillis) }
    }

    @Nested
    inner class Learning {
        @Test
        fun `the limit drops to the store's capacity after the first loads`() {
            round(capacity = 2)
            assertEquals(2, concurrency.limit)
        }

        @Test
        fun `the limit rises to the store's capacity`() {
            repeat(6) { round(capacity = 9) }
            assertTrue(concurrency.limit in 8..10, "${concurrency.limit}")
        }

        @Test
        fun `the limit is raised rarely after a slowdown`() {
            round(capacity = 3)
            assertEquals(3, concurrency.limit)
            repeat(4) { round(capacity = 3) }
            assertEquals(3, concurrency.limit)
            repeat(2) { round(capacity = 3) }
            assertTrue(concurrency.limit in 3..4)
        }
    }

    @Nested
    inner class NoEvidence {
        @Test
        fun `loads far below the limit do not change it`() {
            repeat(20) {
                concurrency.began("r", nowMillis)
                nowMillis += LOAD_MILLIS
                concurrency.ended("r", LOAD_MILLIS, nowMillis)
            }
            assertEquals(4, concurrency.limit)
        }

        @Test
        fun `a slow load without concurrent loads does not change the limit`() {
            concurrency.began("r", nowMillis)
            concurrency.ended("r", LOAD_MILLIS, nowMillis + 4 * LOAD_MILLIS)
            assertEquals(4, concurrency.limit)
        }

        @Test
        fun `a failed load does not change the limit`() {
            concurrency.began("r", nowMillis)
            concurrency.dropped("r", nowMillis + 100)
            concurrency.ended("r", LOAD_MILLIS, nowMillis + 50 * LOAD_MILLIS)
            assertEquals(4, concurrency.limit)
        }
    }

    private companion object {
        const val LOAD_MILLIS = 9_000L
    }
}
