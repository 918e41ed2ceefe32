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
    private var heldSinceMillis: Long = Long.MIN_VALUE / 2

    private val inFlightByUse = HashMap<ModelUse, Int>()
    private var latencyMillis = 0.0
    private var excludedUntilMillis = 0L
    private var downUntilMillis = 0L
    private var failures = 0
    private var load: ReportedLoad? = null

    /** How long answers from the upstream have been owed in vain. */
    public val silence: Silence = Silence()

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
    public fun announced(next: UpstreamEntry, nowMillis: Long) {
        entry = next
        if (nowMillis - heldSinceMillis >= ANNOUNCEMENT_LAG_MILLIS) {
            adaptersByModel = next.adaptersByModel
        }
    }

    /** Takes over what the coordinator knows the upstream to hold. */
    public fun holds(models: ImmutableMap<String, ImmutableSet<String>>, nowMillis: Long) {
        adaptersByModel = models
        heldSinceMillis = nowMillis
    }

    /** Takes note that the upstream answered not to hold [model], or not its [adapter]. */
    public fun lacks(model: String, adapter: String?, nowMillis: Long) {
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
    public fun began(use: ModelUse?) {
        inFlight++
        if (use != null) inFlightByUse.merge(use, 1, Int::plus)
    }

    /** Books that a request has ended. */
    public fun ended(use: ModelUse?) {
        inFlight--
        if (use == null) return
        val left = (inFlightByUse[use] ?: 1) - 1
        if (left > 0) inFlightByUse[use] = left else inFlightByUse.remove(use)
    }

    /** Books that an answer has begun. */
    public fun answered(reported: ReportedLoad?) {
        failures = 0
        downUntilMillis = 0
        if (reported != null) load = reported
    }

    /** Books how long a whole answer, or the first piece of a stream, has taken. */
    public fun tookMillis(millis: Long) {
        latencyMillis += (millis - latencyMillis) * LATENCY_WEIGHT
    }

    /** Whether the upstream could not be reached a moment ago, so that others have to serve. */
    public fun isDown(nowMillis: Long): Boolean = nowMillis < downUntilMillis

    /** Whether the upstream owes answers and has sent nothing for longer than it should take. */
    public fun isSilent(nowMillis: Long): Boolean =
        silence.millis(nowMillis) > maxOf(SILENT_MILLIS, SILENT_LATENCIES * latencyMillis)

    /** Takes note that no connection could be made. */
    public fun unreachable(nowMillis: Long) {
        downUntilMillis = nowMillis + (DOWN_MILLIS shl failures.coerceAtMost(MAX_DOWN_DOUBLINGS))
        failed(nowMillis)
    }

    /** Puts the upstream aside after a failure, longer with each in a row. */
    public fun failed(nowMillis: Long) {
        val asideMillis = FAILED_MILLIS shl failures.coerceAtMost(MAX_DOUBLINGS)
        failures++
        excludedUntilMillis = maxOf(excludedUntilMillis, nowMillis + asideMillis)
    }

    /** Whether a request may go there now: it is neither full nor put aside. */
    public fun isOpen(nowMillis: Long): Boolean =
        nowMillis >= excludedUntilMillis && inFlight < entry.slots

    /** Puts the upstream aside for a moment: it is full. */
    public fun full(nowMillis: Long) {
        excludedUntilMillis = maxOf(excludedUntilMillis, nowMillis + FULL_MILLIS)
    }

    /** Returns the upstream for the choice among several. */
    public fun view(nowMillis: Long): ReplicaView = ReplicaView(
        upstream = entry.id,
        zone = entry.zone,
        slots = entry.slots,
        reportedRunning = load?.running ?: 0,
        reportedWaiting = load?.waiting ?: 0,
        inFlight = inFlight,
        latencyMillis = maxOf(latencyMillis, silence.millis(nowMillis).toDouble()),
        excludedUntilMillis = excludedUntilMillis
    )

    private companion object {
        /** How long an announcement may lag behind the coordinator: one interval and one poll. */
        const val ANNOUNCEMENT_LAG_MILLIS = 3_000L
        const val LATENCY_WEIGHT = 0.2
        const val FAILED_MILLIS = 250L
        const val MAX_DOUBLINGS = 4
        const val FULL_MILLIS = 40L

        /** Many times the pauses in the answers of an engine, and of the work of a plain service. */
        const val SILENT_MILLIS = 500.0
        const val SILENT_LATENCIES = 4

        /** An upstream that refuses connections is tried again after this time, doubled each time. */
        const val DOWN_MILLIS = 1_000L
        const val MAX_DOWN_DOUBLINGS = 1
    }
}
