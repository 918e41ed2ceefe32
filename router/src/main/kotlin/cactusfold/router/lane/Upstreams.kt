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
    public var excludedUntilMillis: Long = Long.MIN_VALUE
        internal set

    @Volatile
    internal var failuresInRow: Int = 0

    internal val exclusive = AtomicBoolean()
    internal val activeCount = AtomicInteger()

    /** Requests that are at the upstream now; those that only have a slot are not. */
    public val active: Int get() = activeCount.get()
}

/** The health of all upstreams as seen by this router. */
public class Upstreams(private val clock: MonotonicClock) {
    private val known = ConcurrentHashMap<String, UpstreamHealth>()

    /** Returns the health of [upstream]. */
    public fun of(upstream: String): UpstreamHealth =
        known.computeIfAbsent(upstream) { UpstreamHealth() }

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
            health.excludedUntilMillis
        )
    }

    /** Books that a request was sent. */
    public fun began(upstream: String) {
        of(upstream).inFlightCount.incrementAndGet()
    }

    /** Books that a request goes onto the wire. */
    public fun entered(upstream: String) {
        of(upstream).activeCount.incrementAndGet()
    }

    /** Books that a request left the wire. */
    public fun left(upstream: String) {
        of(upstream).activeCount.decrementAndGet()
    }

    /** Keeps other requests of this router off [upstream]; returns whether it was free for that. */
    public fun tryExclusive(upstream: String): Boolean =
        of(upstream).exclusive.compareAndSet(false, true)

    /** Lets other requests onto [upstream] again. */
    public fun endExclusive(upstream: String) {
        of(upstream).exclusive.set(false)
    }

    /** Books that a request ended. */
    public fun ended(upstream: String) {
        of(upstream).inFlightCount.decrementAndGet()
    }

    /** Books the first byte of an answer. */
    public fun answered(upstream: String, firstByteMillis: Long) {
        val health = of(upstream)
        health.failuresInRow = 0
        health.latencyMillis += (firstByteMillis - health.latencyMillis) * SMOOTHING
    }

    /** Books a failure, and puts the upstream aside for longer with each one in a row. */
    public fun failed(upstream: String): Long {
        val health = of(upstream)
        health.failuresInRow = (health.failuresInRow + 1).coerceAtMost(MAX_DOUBLINGS)
        val aside = ASIDE_MILLIS shl (health.failuresInRow - 1)
        health.excludedUntilMillis = clock.nowMillis() + aside
        return aside
    }

    private companion object {
        const val SMOOTHING = 0.1
        const val ASIDE_MILLIS = 200L
        const val MAX_DOUBLINGS = 6
    }
}
