package cactusfold.standins.platform

import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.delay

/** Injected faults of a platform service, adjustable at run time. */
public class FaultInjector {
    /** Whether connections are closed without a response. */
    @Volatile
    public var isDown: Boolean = false

    /** Latency added to each response. */
    @Volatile
    public var delayMillis: Long = 0

    /** Calls per second above which calls are throttled; 0 means unlimited. */
    @Volatile
    public var callsPerSecond: Int = 0

    private val responsesToDrop = AtomicInteger()
    private var windowSecond = 0L
    private var callsInWindow = 0

    /** Drops the responses to the next [count] writes; the writes themselves take effect. */
    public fun dropNextResponses(count: Int) {
        responsesToDrop.set(count)
    }

    /** Suspends for [delayMillis]. */
    public suspend fun delayResponse() {
        if (delayMillis > 0) delay(delayMillis)
    }

    /** Returns whether to drop the response to this write; each `true` uses up one drop. */
    public fun shouldDropResponse(): Boolean =
        responsesToDrop.getAndUpdate { if (it > 0) it - 1 else 0 } > 0

    /** Counts a call against [callsPerSecond] and returns whether it is within the limit. */
    @Synchronized
    public fun tryAcquire(): Boolean {
        if (callsPerSecond == 0) return true
        val second = System.nanoTime() / NANOS_PER_SECOND
        if (second != windowSecond) {
            windowSecond = second
            callsInWindow = 0
        }
        callsInWindow++
        return callsInWindow <= callsPerSecond
    }

    private companion object {
        const val NANOS_PER_SECOND = 1_000_000_000L
    }
}
