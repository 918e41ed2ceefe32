package cactusfold.bench

import java.lang.management.ManagementFactory

/** Measures execution time, CPU time and heap usage in this JVM. */
public object Meter {
    private const val WARM_UP_NANOS = 300_000_000L
    private const val MEASURE_NANOS = 400_000_000L
    private const val GC_ROUNDS = 4
    private const val GC_PAUSE_MILLIS = 60L
    private const val NANOS_PER_MICRO = 1_000.0

    @Volatile
    private var sink: Any? = null

    /** Returns the mean duration of a call of [action] in microseconds, after a warm-up. */
    public fun microsPerCall(action: () -> Any?): Double {
        repeatFor(WARM_UP_NANOS, action)
        val began = System.nanoTime()
        val calls = repeatFor(MEASURE_NANOS, action)
        return (System.nanoTime() - began) / NANOS_PER_MICRO / calls
    }

    private fun repeatFor(nanos: Long, action: () -> Any?): Long {
        val end = System.nanoTime() + nanos
        var calls = 0L
        while (System.nanoTime() < end) {
            sink = action()
            calls++
        }
        return calls
    }

    /** Returns the heap bytes retained by the result of [build]. */
    public fun heapBytes(build: () -> Any?): Long {
        sink = null
        val before = usedHeap()
        val kept = build()
        val after = usedHeap()
        sink = kept
        return (after - before).coerceAtLeast(0)
    }

    /** Returns the CPU time of this process in nanoseconds. */
    public fun processCpuNanos(): Long {
        val system = ManagementFactory.getOperatingSystemMXBean()
        return (system as com.sun.management.OperatingSystemMXBean).processCpuTime
    }

    private fun usedHeap(): Long {
        repeat(GC_ROUNDS) {
            System.gc()
            Thread.sleep(GC_PAUSE_MILLIS)
        }
        return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
    }
}
