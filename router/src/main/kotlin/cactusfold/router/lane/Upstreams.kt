package cactusfold.router.lane

import cactusfold.decisions.routing.ReplicaView
import cactusfold.node.time.MonotonicClock
import cactusfold.settings.schema.HostPort
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger

/** An upstream that a request may be sent to. */
public data class Target(
    public val upstream: String,
    public val address: HostPort,
    public val zone: String,
    public val slots: Int,
    public val reportedRunning: Int = 0,
    public val reportedWaiting: Int = 0
)

/** Health and load of one upstream as observed by this router. */
public class UpstreamHealth internal constructor() {
    internal val inFlightCount = AtomicInteger()

    /** Number of slots reserved on the upstream, for requests sent or about to be sent. */
    public val inFlight: Int get() = inFlightCount.get()

    /** Moving average of the time to the first byte. */
    @Volatile
    public var latencyMillis: Double = 0.0
        internal set

    /** Until when the upstream is excluded from routing after failures. */
    @Volatile
    public var excludedUntilMillis: Long = Long.MIN_VALUE
        internal set

    @Volatile
    internal var consecutiveFailures: Int = 0

    /** Whether the upstream is reserved for a single request suspected of crashing upstreams. */
    internal val exclusive = AtomicBoolean()
    internal val activeCount = AtomicInteger()

    /** Number of requests being exchanged with the upstream, without slots not yet used. */
    public val active: Int get() = activeCount.get()
}

/** Health and load of all upstreams as observed by this router. */
public class Upstreams(private val clock: MonotonicClock) {
    private val healthByUpstream = ConcurrentHashMap<String, UpstreamHealth>()

    /** Returns the health of [upstream], creating it if absent. */
    public fun of(upstream: String): UpstreamHealth =
        healthByUpstream.computeIfAbsent(upstream) { UpstreamHealth() }

    /** Returns the view of [target] for replica choice; a reserved upstream has no free slots. */
    public fun view(target: Target): ReplicaView {
        val health = of(target.upstream)
        return ReplicaView(
            target.upstream,
            target.zone,
            if (health.exclusive.get()) 0 else target.slots,
            target.reportedRunning,
            target.reportedWaiting,
            health.inFlight,
            health.latencyMillis,
            health.excludedUntilMillis
        )
    }

    /** Reserves a slot on [upstream] for a request. */
    public fun reserveSlot(upstream: String) {
        of(upstream).inFlightCount.incrementAndGet()
    }

    /** Records that a request is being sent to [upstream]. */
    public fun recordSent(upstream: String) {
        of(upstream).activeCount.incrementAndGet()
    }

    /** Records that an exchange with [upstream] is over. */
    public fun recordCompleted(upstream: String) {
        of(upstream).activeCount.decrementAndGet()
    }

    /** Reserves [upstream] for one request of this router; returns false if already reserved. */
    public fun tryAcquireExclusive(upstream: String): Boolean =
        of(upstream).exclusive.compareAndSet(false, true)

    /** Ends the exclusive reservation of [upstream]. */
    public fun releaseExclusive(upstream: String) {
        of(upstream).exclusive.set(false)
    }

    /** Releases a slot on [upstream]. */
    public fun releaseSlot(upstream: String) {
        of(upstream).inFlightCount.decrementAndGet()
    }

    /** Records a response with its time to first byte; resets the count of failures. */
    public fun recordFirstByte(upstream: String, firstByteMillis: Long) {
        val health = of(upstream)
        health.consecutiveFailures = 0
        health.latencyMillis += (firstByteMillis - health.latencyMillis) * LATENCY_SMOOTHING
    }

    /**
     * Records a failure and excludes [upstream] from routing. The exclusion doubles with each
     * consecutive failure, from 200 ms to at most 6.4 s. Returns it in milliseconds.
     */
    public fun recordFailure(upstream: String): Long {
        val health = of(upstream)
        health.consecutiveFailures =
            (health.consecutiveFailures + 1).coerceAtMost(MAX_COUNTED_FAILURES)
        val exclusionMillis = BASE_EXCLUSION_MILLIS shl (health.consecutiveFailures - 1)
        health.excludedUntilMillis = clock.nowMillis() + exclusionMillis
        return exclusionMillis
    }

    private companion object {
        const val LATENCY_SMOOTHING = 0.1
        const val BASE_EXCLUSION_MILLIS = 200L
        const val MAX_COUNTED_FAILURES = 6
    }
}
