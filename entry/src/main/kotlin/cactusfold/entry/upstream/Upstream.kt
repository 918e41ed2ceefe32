package cactusfold.entry.upstream

import cactusfold.decisions.routing.ReplicaView
import cactusfold.ports.serving.ReportedLoad
import cactusfold.ports.serving.UpstreamEntry
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.toImmutableMap
import kotlinx.collections.immutable.toImmutableSet

/** A model and the adapter that a request needs of it, if any. */
public data class ModelUse(public val model: String, public val adapter: String?)

/** An upstream as this process knows it: its own announcement, corrected by what was seen since. */
public class Upstream(entry: UpstreamEntry) {
    /** What the upstream announced last. */
    public var entry: UpstreamEntry = entry
        private set

    /** Models in memory, with the adapters loaded for each. */
    public var adaptersByModel: ImmutableMap<String, ImmutableSet<String>> = entry.adaptersByModel
        private set

    /** When the holdings were last told by the coordinator, which is newer than announcements. */
    private var holdingsUpdatedAtMillis: Long = Long.MIN_VALUE / 2

    private val inFlightByUse = HashMap<ModelUse, Int>()
    private var latencyMillis = 0.0
    private var asideUntilMillis = 0L
    private var downUntilMillis = 0L
    private var failures = 0
    private var load: ReportedLoad? = null

    /** How long answers from the upstream have been owed in vain. */
    public val silence: SilenceMonitor = SilenceMonitor()

    /** Whether another process saw that the upstream leaves or has left. */
    public var isLeaving: Boolean = false

    /** Whether new requests may go there. */
    public val isUsable: Boolean get() = !entry.isDraining && !isLeaving

    /** Requests of this process that run there. */
    public var inFlight: Int = 0
        private set

    /** Requests of this process that run there, by model and adapter. */
    public val uses: Map<ModelUse, Int> get() = inFlightByUse

    /** Takes over a newer announcement. */
    public fun updateAnnouncement(next: UpstreamEntry, nowMillis: Long) {
        entry = next
        if (nowMillis - holdingsUpdatedAtMillis >= ANNOUNCEMENT_LAG_MILLIS) {
            adaptersByModel = next.adaptersByModel
        }
    }

    /** Takes over what the coordinator knows the upstream to hold. */
    public fun holds(models: ImmutableMap<String, ImmutableSet<String>>, nowMillis: Long) {
        adaptersByModel = models
        holdingsUpdatedAtMillis = nowMillis
    }

    /** Takes note that the upstream answered not to hold [model], or not its [adapter]. */
    public fun recordMissing(model: String, adapter: String?, nowMillis: Long) {
        val adapters = adaptersByModel[model] ?: return
        val left = adaptersByModel.toMutableMap()
        if (adapter != null && adapter in adapters) {
            left[model] = (adapters - adapter).toImmutableSet()
        } else {
            left.remove(model)
        }
        holds(left.toImmutableMap(), nowMillis)
    }

    /** Returns whether [model] is in memory, with [adapter] if one is given. */
    public fun serves(model: String?, adapter: String?): Boolean {
        if (model == null) return true
        val adapters = adaptersByModel[model] ?: return false
        return adapter == null || adapter in adapters
    }

    /** Books a request that is sent there, for [use] of a model if it needs one. */
    public fun requestStarted(use: ModelUse?) {
        inFlight++
        if (use != null) inFlightByUse.merge(use, 1, Int::plus)
    }

    /** Books that a request has ended. */
    public fun requestEnded(use: ModelUse?) {
        inFlight--
        if (use == null) return
        val left = (inFlightByUse[use] ?: 1) - 1
        if (left > 0) inFlightByUse[use] = left else inFlightByUse.remove(use)
    }

    /** Books that an answer has begun. */
    public fun recordAnswer(reported: ReportedLoad?) {
        failures = 0
        downUntilMillis = 0
        if (reported != null) load = reported
    }

    /** Books how long a whole answer, or the first piece of a stream, has taken. */
    public fun recordLatency(millis: Long) {
        latencyMillis += (millis - latencyMillis) * LATENCY_WEIGHT
    }

    /** Whether the upstream could not be reached a moment ago, so that others have to serve. */
    public fun isDown(nowMillis: Long): Boolean = nowMillis < downUntilMillis

    /** Whether the upstream owes answers and has sent nothing for longer than it should take. */
    public fun isSilent(nowMillis: Long): Boolean =
        silence.silentMillis(nowMillis) > maxOf(MIN_SILENT_MILLIS, SILENT_LATENCIES * latencyMillis)

    /** Takes note that no connection could be made. */
    public fun recordUnreachable(nowMillis: Long) {
        downUntilMillis = nowMillis + (DOWN_MILLIS shl failures.coerceAtMost(MAX_DOWN_DOUBLINGS))
        recordFailure(nowMillis)
    }

    /** Puts the upstream aside after a failure, longer with each in a row. */
    public fun recordFailure(nowMillis: Long) {
        val asideMillis = FAILURE_BACKOFF_MILLIS shl failures.coerceAtMost(MAX_FAILURE_DOUBLINGS)
        failures++
        asideUntilMillis = maxOf(asideUntilMillis, nowMillis + asideMillis)
    }

    /** Whether a request may go there now: it is neither full nor put aside. */
    public fun isOpen(nowMillis: Long): Boolean =
        nowMillis >= asideUntilMillis && inFlight < entry.slots

    /** Puts the upstream aside for a moment: it is full. */
    public fun recordFull(nowMillis: Long) {
        asideUntilMillis = maxOf(asideUntilMillis, nowMillis + FULL_BACKOFF_MILLIS)
    }

    /** Returns the upstream for the choice among several. */
    public fun view(nowMillis: Long): ReplicaView = ReplicaView(
        upstream = entry.id,
        zone = entry.zone,
        slots = entry.slots,
        reportedRunning = load?.running ?: 0,
        reportedWaiting = load?.waiting ?: 0,
        inFlight = inFlight,
        latencyMillis = maxOf(latencyMillis, silence.silentMillis(nowMillis).toDouble()),
        asideUntilMillis = asideUntilMillis
    )

    private companion object {
        /** How long an announcement may lag behind the coordinator: one interval and one poll. */
        const val ANNOUNCEMENT_LAG_MILLIS = 3_000L
        const val LATENCY_WEIGHT = 0.2
        const val FAILURE_BACKOFF_MILLIS = 250L
        const val MAX_FAILURE_DOUBLINGS = 4
        const val FULL_BACKOFF_MILLIS = 40L

        /** Many times the pauses in the answers of an engine, and of the work of a plain service. */
        const val MIN_SILENT_MILLIS = 500.0
        const val SILENT_LATENCIES = 4

        /** An upstream that refuses connections is tried again after this time, doubled each time. */
        const val DOWN_MILLIS = 1_000L
        const val MAX_DOWN_DOUBLINGS = 1
    }
}
