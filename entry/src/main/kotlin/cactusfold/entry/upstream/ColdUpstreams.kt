package cactusfold.entry.upstream

import cactusfold.decisions.rate.ColdBounds
import cactusfold.decisions.rate.ColdState
import cactusfold.decisions.rate.RateLimit
import cactusfold.decisions.rate.RowReading
import cactusfold.decisions.rate.UpstreamStart
import cactusfold.entry.process.EventLog
import cactusfold.node.time.MonotonicClock
import cactusfold.ports.serving.UpstreamEntry
import cactusfold.protocol.entry.ColdStart
import io.micrometer.core.instrument.MeterRegistry

/**
 * Which starts of upstreams are cold, or may be, as far as this process knows from rows, answers,
 * failed connections and other processes.
 */
public class ColdUpstreams(
    private val clock: MonotonicClock,
    private val events: EventLog,
    private val meters: MeterRegistry
) : RowReadListener {
    private class Known(var state: ColdState, var wasCold: Boolean, var requestsPerSecond: Double?)

    private val known = LinkedHashMap<UpstreamStart, Known>()
    private var lastActiveMillis = clock.nowMillis()

    /** When this process found that it had been suspended; null if all rows were read since. */
    private var suspendedAtMillis: Long? = null

    /** Bounds on the requests of cold upstreams. */
    public var bounds: ColdBounds = ColdBounds()

    /**
     * Returns how many requests per second an upstream tolerates while it is cold; null if it is
     * never cold, or not registered.
     */
    public var requestsPerSecondOf: (UpstreamStart) -> Double? = { null }

    /** Returns the start that is registered under an id; null if there is none. */
    public var registeredStart: (id: String) -> UpstreamStart? = { null }

    /** Called with each start that becomes cold or warm, or whose time changes much. */
    public var onChange: (UpstreamStart) -> Unit = {}

    /** Called with a start about which this process has learned what others have to know. */
    public var onLearned: (UpstreamStart) -> Unit = {}

    /** Called when only a read of the rows can show which upstreams are warm. */
    public var onSuspected: () -> Unit = {}

    init {
        meters.gauge("cactusfold.upstreams.cold", this) { it.cold.size.toDouble() }
    }

    /** The starts that are limited because they are cold or may be. */
    public val cold: Set<UpstreamStart>
        get() {
            val nowMillis = clock.nowMillis()
            return known.filterValues { it.state.isCold(nowMillis) }.keys
        }

    /** Returns the limit of [start] while it is cold, or may be; otherwise null. */
    public fun limitOf(start: UpstreamStart): RateLimit? {
        noteActive()
        val entry = known[start]
        val isCold = entry?.state?.isCold(clock.nowMillis()) ?: false
        if (!isCold && suspendedAtMillis == null) return null
        val perSecond = requestsPerSecondOf(start) ?: entry?.requestsPerSecond ?: return null
        return ColdState.limit(perSecond, bounds)
    }

    /** Whether [start] states that it is cold, so that requests warm it up. */
    public fun isWarming(start: UpstreamStart): Boolean =
        known[start]?.state?.isStatedCold(clock.nowMillis()) == true && limitOf(start) != null

    /** Returns the start that is registered now under the id of [start], else [start]. */
    public fun current(start: UpstreamStart): UpstreamStart =
        registeredStart(start.id)?.takeIf { isLater(it, start) } ?: start

    override fun active(): Unit = noteActive()

    override fun rowRead(entry: UpstreamEntry, row: RowReading) {
        noteActive()
        val start = UpstreamStart(entry.id, entry.startedAtEpochMillis)
        val isOfInterest = entry.warmupMillis > 0 || requestsPerSecondOf(start) != null
        if (start !in known && !isOfInterest) return
        known.keys.removeIf { it.id == entry.id && it != start }
        update(start, "row") { it.rowRead(entry.warmupMillis, row, clock.nowMillis()) }
    }

    override fun allRead(begunAtMillis: Long) {
        noteActive()
        suspendedAtMillis = suspendedAtMillis?.takeIf { it > begunAtMillis }
        known.filter { (start, entry) ->
            entry.state.isSuspected && registeredStart(start.id) == start
        }.keys.forEach { start -> update(start, "row") { it.shown(begunAtMillis) } }
    }

    /** Records that an answer of [start] to a request sent at [sentAtMillis] states [coldMillis]. */
    public fun answered(start: UpstreamStart, coldMillis: Long, sentAtMillis: Long) {
        if (coldMillis == 0L && start !in known) return
        val isNews =
            update(start, "answer") { it.answered(coldMillis, sentAtMillis, clock.nowMillis()) }
        if (isNews) onLearned(start)
    }

    /**
     * Records that something was observed after which [start] may be another, cold start: a
     * connection failed, or its zone was evacuated.
     *
     * @param isKnownToAll whether each process observes it for itself.
     */
    public fun suspect(start: UpstreamStart, reason: String, isKnownToAll: Boolean = false) {
        if (requestsPerSecondOf(start) == null) return
        meters.counter("cactusfold.upstreams.cold.suspected", "reason", reason).increment()
        update(start, reason) { it.suspected(clock.nowMillis()) }
        if (isKnownToAll) return
        onLearned(start)
        onSuspected()
    }

    /** Records what another process, perhaps the coordinator, told of [start]. */
    public fun heard(
        start: UpstreamStart,
        message: ColdStart,
        source: String,
        isCoordinator: Boolean
    ) {
        if (message.isWarm && start !in known) return
        val nowMillis = clock.nowMillis()
        val other = ColdState(
            coldUntilMillis = nowMillis + message.coldForMillis,
            statedAtMillis = nowMillis - message.statedAgeMillis,
            suspectedAtMillis = if (message.hasSuspectedAgeMillis()) {
                nowMillis - message.suspectedAgeMillis
            } else {
                null
            },
            rowAtMillis = if (message.hasRowAgeMillis()) {
                nowMillis - message.rowAgeMillis
            } else {
                Long.MIN_VALUE / 2
            }
        )
        val perSecond = message.requestsPerSecond.takeIf { it > 0 }
        update(start, source, perSecond) { it.heard(other, isCoordinator) }
        // The row of a later start has not been read here yet.
        val registered = registeredStart(start.id) ?: return
        if (isLater(start, registered) && known[registered]?.state?.isSuspected != true) {
            update(registered, source) { it.suspected(nowMillis) }
            onSuspected()
        }
    }

    /** Returns the message for other processes about [start], or null if nothing is known. */
    public fun message(start: UpstreamStart): ColdStart? {
        val entry = known[start]
        // Only the coordinator can tell what happened during a suspension of this process.
        if (entry == null && suspendedAtMillis == null) return null
        val nowMillis = clock.nowMillis()
        val state = entry?.state ?: ColdState()
        val message = ColdStart.newBuilder()
            .setRequestsPerSecond(requestsPerSecondOf(start) ?: entry?.requestsPerSecond ?: 0.0)
            .setColdForMillis((state.coldUntilMillis - nowMillis).coerceAtLeast(0))
            .setStatedAgeMillis((nowMillis - state.statedAtMillis).coerceAtMost(MAX_AGE_MILLIS))
        state.suspectedAtMillis?.let { message.setSuspectedAgeMillis(nowMillis - it) }
        (nowMillis - state.rowAtMillis).takeIf { it < MAX_AGE_MILLIS }
            ?.let(message::setRowAgeMillis)
        return message.build()
    }

    /** Notes the upstreams that have become warm with time. */
    public fun expire() {
        noteActive()
        for ((start, entry) in known.entries.toList()) report(start, entry, "time")
        val beforeMillis = clock.nowMillis() - KEPT_MILLIS
        val forgotten = known.filter { (start, entry) ->
            registeredStart(start.id) != start &&
                entry.state.coldUntilMillis < beforeMillis &&
                (entry.state.suspectedAtMillis ?: Long.MIN_VALUE) < beforeMillis
        }
        known -= forgotten.keys
        forgotten.filterValues { it.wasCold }.keys.forEach(onChange)
    }

    /** Returns whether other processes have to know of the change. */
    private fun update(
        start: UpstreamStart,
        source: String,
        requestsPerSecond: Double? = null,
        change: (ColdState) -> ColdState
    ): Boolean {
        val entry = known.getOrPut(start) { Known(ColdState(), wasCold = false, null) }
        if (requestsPerSecond != null) entry.requestsPerSecond = requestsPerSecond
        val before = entry.state
        entry.state = change(before)
        val hasSuspicionChanged = before.isSuspected != entry.state.isSuspected
        val isLonger = entry.state.coldUntilMillis - before.coldUntilMillis >= MIN_CHANGE_MILLIS &&
            entry.state.isStatedCold(clock.nowMillis())
        if (report(start, entry, source)) return true
        if (!isLonger && !hasSuspicionChanged) return false
        onChange(start)
        return true
    }

    /** Logs and announces that [start] has become cold or warm; returns whether it has. */
    private fun report(start: UpstreamStart, entry: Known, source: String): Boolean {
        val nowMillis = clock.nowMillis()
        val isCold = entry.state.isCold(nowMillis)
        if (isCold == entry.wasCold) return false
        entry.wasCold = isCold
        if (isCold) {
            events.write(
                "upstream-cold",
                "upstream" to start.id,
                "for_ms" to (entry.state.coldUntilMillis - nowMillis).coerceAtLeast(0),
                "suspected" to entry.state.isSuspected,
                "source" to source
            )
        } else {
            events.write("upstream-warm", "upstream" to start.id, "source" to source)
        }
        onChange(start)
        return true
    }

    /** Runners may have become cold while this process was suspended. */
    private fun noteActive() {
        val nowMillis = clock.nowMillis()
        val gapMillis = nowMillis - lastActiveMillis
        lastActiveMillis = nowMillis
        if (gapMillis < MIN_SUSPENSION_MILLIS) return
        suspendedAtMillis = nowMillis
        events.write("upstreams-unconfirmed", "suspended_ms" to gapMillis)
        onSuspected()
    }

    private fun isLater(start: UpstreamStart, than: UpstreamStart): Boolean =
        (start.startedAtEpochMillis ?: 0) > (than.startedAtEpochMillis ?: 0)

    private val ColdStart.isWarm: Boolean get() = coldForMillis <= 0 && !hasSuspectedAgeMillis()

    private companion object {
        /** Several intervals between reports, notices and reads, at least one of which is noted. */
        const val MIN_SUSPENSION_MILLIS = 2_500L

        /** A smaller change of the time until which an upstream is cold is not announced. */
        const val MIN_CHANGE_MILLIS = 1_000L

        /** Many times as long as a message between processes takes. */
        const val KEPT_MILLIS = 60_000L

        /** An older statement is as good as none. */
        const val MAX_AGE_MILLIS = 3_600_000L
    }
}
