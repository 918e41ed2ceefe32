package cactusfold.standins.platform

import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlinx.coroutines.delay

/**
 * Simulates load times of the weight store: it starts at most [loadsPerSecond] loads per second.
 * Up to [fullSpeedLoads] concurrent loads get [bytesPerSecond] each; more share that total
 * throughput equally.
 */
public class WeightStoreStandin(
    private val loadsPerSecond: Double,
    private val fullSpeedLoads: Int,
    private val bytesPerSecond: Long
) {
    /** Factor by which every load is slowed down. */
    @Volatile
    public var slowdown: Double = 1.0

    /** Number of loads started so far. */
    public val startedLoads: AtomicInteger = AtomicInteger()

    private val activeLoads = AtomicInteger()
    private val lock = ReentrantLock()
    private var nextStartNanos = 0L

    /** Suspends for as long as loading [bytes] takes. */
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
