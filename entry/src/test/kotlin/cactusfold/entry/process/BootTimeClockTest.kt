package cactusfold.entry.process

import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Test

class BootTimeClockTest {
    private val sources = object : TimeSources {
        var monotonicMillis = 1_000L
        var wallMillis = 5_000_000L
        var suspendedMillis = 0L
        var readings = 0

        /** Time during which the process does not run at the next reading of uptime. */
        var stallMillis = 0L

        override fun monotonicMillis(): Long = monotonicMillis

        override fun wallMillis(): Long = wallMillis

        override fun uptimeMillis(): Long {
            readings++
            val uptimeMillis = (monotonicMillis + suspendedMillis) / 10 * 10
            run(stallMillis)
            stallMillis = 0
            return uptimeMillis
        }

        fun run(millis: Long) {
            monotonicMillis += millis
            wallMillis += millis
        }

        fun suspend(millis: Long) {
            suspendedMillis += millis
            wallMillis += millis
        }
    }
    private val clock = BootTimeClock(sources)

    private fun elapsed(action: () -> Unit): Long {
        val before = clock.nowMillis()
        action()
        return clock.nowMillis() - before
    }

    // Guards against a lease that a process believes to hold after its VM was suspended.
    @Test
    fun `the first reading after a suspension counts it`() {
        val millis = elapsed {
            sources.run(100)
            sources.suspend(3_000)
            sources.run(7)
        }
        assertTrue(millis in 3_107..3_127, "$millis")
    }

    @Test
    fun `suspensions add up`() {
        val millis = elapsed {
            repeat(20) {
                sources.suspend(500)
                sources.run(1)
                clock.nowMillis()
            }
        }
        assertTrue(millis in 10_000..10_040, "$millis")
    }

    // Guards against wall clocks that are set, which must not expire or prolong a lease.
    @Test
    fun `a change of the wall clock does not count`() {
        assertEquals(100, elapsed { sources.run(100) })
        assertEquals(
            50,
            elapsed {
                sources.wallMillis += 60_000
                sources.run(50)
            }
        )
        assertEquals(0, elapsed { sources.wallMillis -= 120_000 })
    }

    // Guards against system calls at each reading: a request reads the clock many times.
    @Test
    fun `uptime is read again only after the wall clock has moved`() {
        repeat(1_000) {
            sources.run(10)
            clock.nowMillis()
        }
        assertEquals(1, sources.readings)
    }

    // Guards against VMs with a share of a core, where a process may stand still between two calls.
    @Test
    fun `a pause while uptime is read does not count as a suspension`() {
        clock.nowMillis()
        sources.suspend(200)
        sources.stallMillis = 400
        val before = clock.nowMillis()
        sources.wallMillis += 1_000
        assertTrue(clock.nowMillis() - before <= 10)
    }

    @Test
    fun `the clock of the system advances with the monotonic clock`() {
        val system = BootTimeClock()
        val beforeNanos = System.nanoTime()
        val before = system.nowMillis()
        Thread.sleep(20)
        val millis = system.nowMillis() - before
        assertTrue(millis in 20..(System.nanoTime() - beforeNanos) / 1_000_000 + 11, "$millis")
    }
}
