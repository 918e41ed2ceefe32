package cactusfold.decisions.residency

import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

class StoreConcurrencyTest {
    private val learnt = StoreConcurrency()
    private var nowMillis = 1_000L

    /** Runs as many loads at once as are allowed, on a store that carries [carried] at full speed. */
    private fun round(carried: Int) {
        val runners = List(learnt.limit) { "r$it" }
        runners.forEach { learnt.began(it, nowMillis) }
        nowMillis += LOAD_MILLIS * maxOf(carried, runners.size) / carried
        runners.forEach { learnt.ended(it, LOAD_MILLIS, nowMillis) }
    }

    @Nested
    inner class Learning {
        @Test
        fun `a store that carries two is given two after the first loads`() {
            round(carried = 2)
            assertEquals(2, learnt.limit)
        }

        @Test
        fun `a store that carries nine is given nine`() {
            repeat(6) { round(carried = 9) }
            assertTrue(learnt.limit in 8..10, "${learnt.limit}")
        }

        @Test
        fun `one more is tried only now and then once loads have slowed`() {
            round(carried = 3)
            assertEquals(3, learnt.limit)
            repeat(4) { round(carried = 3) }
            assertEquals(3, learnt.limit)
            repeat(2) { round(carried = 3) }
            assertTrue(learnt.limit in 3..4)
        }
    }

    @Nested
    inner class NoEvidence {
        @Test
        fun `loads far below the limit change nothing`() {
            repeat(20) {
                learnt.began("r", nowMillis)
                nowMillis += LOAD_MILLIS
                learnt.ended("r", LOAD_MILLIS, nowMillis)
            }
            assertEquals(4, learnt.limit)
        }

        @Test
        fun `one slow runner alone says nothing about the store`() {
            learnt.began("r", nowMillis)
            learnt.ended("r", LOAD_MILLIS, nowMillis + 4 * LOAD_MILLIS)
            assertEquals(4, learnt.limit)
        }

        @Test
        fun `a load that failed is not timed`() {
            learnt.began("r", nowMillis)
            learnt.dropped("r", nowMillis + 100)
            learnt.ended("r", LOAD_MILLIS, nowMillis + 50 * LOAD_MILLIS)
            assertEquals(4, learnt.limit)
        }
    }

    private companion object {
        const val LOAD_MILLIS = 9_000L
    }
}
