package cactusfold.entry.process

import cactusfold.node.time.MonotonicClock
import java.io.RandomAccessFile
import java.util.concurrent.TimeUnit.MILLISECONDS
import kotlin.math.abs

/**
 * Monotonic clock that also advances while the VM is suspended, unlike [System.nanoTime]. Leases
 * and the age of cached state are measured with it. Not thread-safe.
 *
 * JDK 17 offers CLOCK_BOOTTIME only by foreign calls, whose module and method handles took 0.1 s of
 * the processor time of a start. A suspension moves the wall clock against [System.nanoTime], which
 * is checked at each call; after such a move, which may also be an adjustment of the wall clock,
 * the kernel's uptime tells how long the VM was suspended.
 */
public class BootTimeClock internal constructor(private val sources: TimeSources) :
    MonotonicClock {
    public constructor() : this(SystemTimeSources())

    private var wallGapMillis = 0L
    private var suspendedMillis = Long.MIN_VALUE

    override fun nowMillis(): Long {
        val monotonicMillis = sources.monotonicMillis()
        val gapMillis = sources.wallMillis() - monotonicMillis
        if (suspendedMillis != Long.MIN_VALUE &&
            abs(gapMillis - wallGapMillis) <= WALL_TOLERANCE_MILLIS
        ) {
            return monotonicMillis + suspendedMillis
        }
        wallGapMillis = gapMillis
        val measuredMillis = measure()
        if (suspendedMillis == Long.MIN_VALUE) {
            suspendedMillis = measuredMillis
        } else if (measuredMillis > suspendedMillis + UPTIME_RESOLUTION_MILLIS) {
            // A lease must not be held for longer than its time, so the resolution is added.
            suspendedMillis = measuredMillis + UPTIME_RESOLUTION_MILLIS
        }
        return sources.monotonicMillis() + suspendedMillis
    }

    /** Returns the time of suspensions since the boot, up to the resolution of uptime too short. */
    private fun measure(): Long {
        var bestMillis = 0L
        var bestWindowMillis = Long.MAX_VALUE
        for (attempt in 1..MAX_READINGS) {
            val beforeMillis = sources.monotonicMillis()
            val uptimeMillis = sources.uptimeMillis()
            val windowMillis = sources.monotonicMillis() - beforeMillis
            if (windowMillis < bestWindowMillis) {
                bestWindowMillis = windowMillis
                bestMillis = uptimeMillis - beforeMillis
            }
            if (windowMillis <= MAX_WINDOW_MILLIS) break
        }
        return bestMillis
    }

    private companion object {
        /** The wall clock is adjusted by at most 0.5 ms a second, and both are read one by one. */
        const val WALL_TOLERANCE_MILLIS = 5L
        const val UPTIME_RESOLUTION_MILLIS = 10L

        /** A reading during which the process was not running is not exact and is repeated. */
        const val MAX_WINDOW_MILLIS = 1L
        const val MAX_READINGS = 10
    }
}

/** The clocks of the system that [BootTimeClock] combines. */
internal interface TimeSources {
    /** Time since the boot of the VM without suspensions. */
    fun monotonicMillis(): Long

    /** Time of day, which also advances during suspensions, but may be set. */
    fun wallMillis(): Long

    /** Time since the boot of the VM with suspensions, in steps of 10 ms. */
    fun uptimeMillis(): Long
}

private class SystemTimeSources : TimeSources {
    private val uptime = RandomAccessFile("/proc/uptime", "r")
    private val buffer = ByteArray(UPTIME_BYTES)

    override fun monotonicMillis(): Long = System.nanoTime() / NANOS_PER_MILLI

    override fun wallMillis(): Long = System.currentTimeMillis()

    override fun uptimeMillis(): Long {
        uptime.seek(0)
        val length = uptime.read(buffer)
        var hundredths = 0L
        for (i in 0 until length) {
            when (val char = buffer[i].toInt().toChar()) {
                ' ' -> return hundredths * MILLIS_PER_HUNDREDTH
                in '0'..'9' -> hundredths = hundredths * BASE + (char - '0')
            }
        }
        error("/proc/uptime is not a time")
    }

    private companion object {
        val NANOS_PER_MILLI = MILLISECONDS.toNanos(1)
        const val UPTIME_BYTES = 64
        const val MILLIS_PER_HUNDREDTH = 10L
        const val BASE = 10L
    }
}
