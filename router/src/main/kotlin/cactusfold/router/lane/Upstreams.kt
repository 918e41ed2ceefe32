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

/** What this router itself knows of one upstream. */
public class UpstreamHealth internal constructor() {
    internal val inFlightCount = AtomicInteger()

    /** Requests sent and not ended. */
    public val inFlight: Int get() = inFlightCount.get()

    /** Moving average of the time to the first byte. */
    @Volatile
    public var latencyMillis: Double = 0.0
        internal set

    /** Until when the upstream gets no work. */
    @Volatile
    public var asideUntilMillis: Long = Long.MIN_VALUE
        internal set

    @Volatile
    internal var consecutiveFailures: Int = 0

    internal val exclusive = AtomicBoolean()
    internal val activeCount = AtomicInteger()

    /** Requests that are at the upstream now; those that only have a slot are not. */
    public val active: Int get() = activeCount.get()
}

/** The health of all upstreams as seen by this router. */
public class Upstreams(private val clock: MonotonicClock) {
    private val healthByUpstream = ConcurrentHashMap<String, UpstreamHealth>()

    /** Returns the health of [upstream]. */
    public fun of(upstream: String): UpstreamHealth =
        healthByUpstream.computeIfAbsent(upstream) { UpstreamHealth() }

    /** Returns [target] as the routing decision wants it. */
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
            health.asideUntilMillis
        )
    }

    /** Books that a request was sent. */
    public fun reserveSlot(upstream: String) {
        of(upstream).inFlightCount.incrementAndGet()
    }

    /** Books that a request goes onto the wire. */
    public fun recordSent(upstream: String) {
        of(upstream).activeCount.incrementAndGet()
    }

    /** Books that a request left the wire. */
    public fun recordCompleted(upstream: String) {
        of(upstream).activeCount.decrementAndGet()
    }

    /** Keeps other requests of this router off [upstream]; returns whether it was free for that. */
    public fun tryAcquireExclusive(upstream: String): Boolean =
        of(upstream).exclusive.compareAndSet(false, true)

    /** Lets other requests onto [upstream] again. */
    public fun releaseExclusive(upstream: String) {
        of(upstream).exclusive.set(false)
    }

    /** Books that a request ended. */
    public fun releaseSlot(upstream: String) {
        of(upstream).inFlightCount.decrementAndGet()
    }

    /** Books the first byte of an answer. */
    public fun recordFirstByte(upstream: String, firstByteMillis: Long) {
        val health = of(upstream)
        health.consecutiveFailures = 0
        health.latencyMillis += (firstByteMillis - health.latencyMillis) * LATENCY_SMOOTHING
    }

    /** Books a failure, and puts the upstream aside for longer with each one in a row. */
    public fun recordFailure(upstream: String): Long {
        val health = of(upstream)
        health.consecutiveFailures = (health.consecutiveFailures + 1).coerceAtMost(MAX_COUNTED_FAILURES)
        val exclusionMillis = BASE_EXCLUSION_MILLIS shl (health.consecutiveFailures - 1)
        health.asideUntilMillis = clock.nowMillis() + exclusionMillis
        return exclusionMillis
    }

    private companion object {
        const val LATENCY_SMOOTHING = 0.1
        const val BASE_EXCLUSION_MILLIS = 200L
        const val MAX_COUNTED_FAILURES = 6
    }
}
