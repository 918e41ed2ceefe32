package cactusfold.entry.process

import cactusfold.node.time.MonotonicClock
import java.lang.invoke.MethodType
import jdk.incubator.foreign.CLinker
import jdk.incubator.foreign.FunctionDescriptor
import jdk.incubator.foreign.MemoryAccess
import jdk.incubator.foreign.MemoryAddress
import jdk.incubator.foreign.MemorySegment
import jdk.incubator.foreign.ResourceScope

/**
 * Monotonic clock that also advances while the VM is suspended, unlike [System.nanoTime]. Leases
 * and the age of cached state are measured with it. Not thread-safe.
 */
public class BootTimeClock : MonotonicClock {
    private val time = MemorySegment.allocateNative(TIMESPEC_BYTES, ResourceScope.globalScope())
    private val address = time.address()

    override fun nowMillis(): Long {
        val result = clockGettime.invokeExact(CLOCK_BOOTTIME, address) as Int
        check(result == 0) { "clock_gettime(CLOCK_BOOTTIME) failed" }
        val seconds = MemoryAccess.getLongAtOffset(time, 0)
        val nanos = MemoryAccess.getLongAtOffset(time, NANOS_OFFSET)
        return seconds * MILLIS_PER_SECOND + nanos / NANOS_PER_MILLI
    }

    private companion object {
        /** From linux/time.h. */
        const val CLOCK_BOOTTIME = 7
        const val TIMESPEC_BYTES = 16L
        const val NANOS_OFFSET = 8L
        const val MILLIS_PER_SECOND = 1_000L
        const val NANOS_PER_MILLI = 1_000_000L

        val clockGettime = CLinker.getInstance().downcallHandle(
            CLinker.systemLookup().lookup("clock_gettime").get(),
            MethodType.methodType(
                Int::class.javaPrimitiveType,
                Int::class.javaPrimitiveType,
                MemoryAddress::class.java
            ),
            FunctionDescriptor.of(CLinker.C_INT, CLinker.C_INT, CLinker.C_POINTER)
        )
    }
}
