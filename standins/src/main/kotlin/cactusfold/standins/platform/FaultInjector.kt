package cactusfold.standins.platform

import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.delay

/** Faults of a platform service, switched while it runs. */
public class FaultInjector {
    /** Whether connections are closed without an answer. */
    @Volatile
    public var isDown: Boolean = false

    /** How much later each answer comes. */
    @Volatile
    public var delayMillis: Long = 0

    /** Calls a second above which calls are refused; 0 means no limit. */
    @Volatile
    public var callsPerSecond: Int = 0

    private val responsesToDrop = AtomicInteger()
    private var windowSecond = 0L
    private var callsInWindow = 0

    /** Loses the replies of the next [count] writes after they took effect. */
    public fun dropNextResponses(count: Int) {
        responsesToDrop.set(count)
    }

    /** Waits as long as the service is slow. */
    public suspend fun delayResponse() {
        if (delayMillis > 0) delay(delayMillis)
    }

    /** Whether the reply of this write is to be lost. */
    public fun shouldDropResponse(): Boolean =
        responsesToDrop.getAndUpdate { if (it > 0) it - 1 else 0 } > 0

    /** Whether this call passes the rate limit. */
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
