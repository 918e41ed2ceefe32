package cactusfold.standins.platform

import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlinx.coroutines.delay

/**
 * Stands in for the weight store: starts at most [loadsPerSecond] loads a second and serves
 * [fullSpeedLoads] of them at full speed; more share that speed.
 */
public class WeightStoreStandin(
    private val loadsPerSecond: Double,
    private val fullSpeedLoads: Int,
    private val bytesPerSecond: Long
) {
    /** How many times slower the store is than usual. */
    @Volatile
    public var slowdown: Double = 1.0

    /** Loads begun so far. */
    public val startedLoads: AtomicInteger = AtomicInteger()

    private val activeLoads = AtomicInteger()
    private val lock = ReentrantLock()
    private var nextStartNanos = 0L

    /** Waits as long as a load of [bytes] takes. */
    public suspend fun load(bytes: Long) {
        delay(startDelayMillis())
        startedLoads.incrementAndGet()
        activeLoads.incrementAndGet()
        try {
            var remainingBytes = bytes.toDouble()
            while (remainingBytes > 0) {
                delay(TICK_MILLIS)
                val contention = maxOf(1.0, activeLoads.get().toDouble() / fullSpeedLoads)
                remainingBytes -=
                    bytesPerSecond * TICK_MILLIS / MILLIS_PER_SECOND / contention / slowdown
            }
        } finally {
            activeLoads.decrementAndGet()
        }
    }

    private fun startDelayMillis(): Long = lock.withLock {
        val now = System.nanoTime()
        val start = maxOf(now, nextStartNanos)
        nextStartNanos = start + (NANOS_PER_SECOND / loadsPerSecond).toLong()
        (start - now) / NANOS_PER_MILLI
    }

    private companion object {
        const val TICK_MILLIS = 10L
        const val MILLIS_PER_SECOND = 1_000.0
        const val NANOS_PER_SECOND = 1_000_000_000.0
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
