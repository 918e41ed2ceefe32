package cactusfold.entry.upstream

import cactusfold.decisions.rate.UpstreamStart
import cactusfold.decisions.routing.OtherUse
import cactusfold.decisions.routing.ReplicaView
import cactusfold.decisions.routing.RunnerView
import cactusfold.ports.serving.ReportedLoad
import cactusfold.ports.serving.UpstreamEntry
import cactusfold.protocol.entry.Departure
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.ImmutableSet

/** The model that a request uses, and the adapter if it needs one. */
public data class ModelUse(public val model: String, public val adapter: String?)

/** State of an upstream at this process: its announcement, and what was observed since. */
public class Upstream(
    entry: UpstreamEntry,
    private val eligibility: UpstreamEligibility = UpstreamEligibility()
) {
    /** The upstream's latest announcement. */
    public var entry: UpstreamEntry = entry
        private set

    /** The models in memory, with the adapters loaded for each. */
    public var adaptersByModel: ImmutableMap<String, ImmutableSet<String>> = entry.adaptersByModel
        private set

    /** When the loaded models were last updated by a source newer than the announcements. */
    private var holdingsUpdatedAtMillis: Long = Long.MIN_VALUE / 2

    private val missing = MissingModels()
    private val inFlightByUse = HashMap<ModelUse, Int>()
    private var latencyMillis = 0.0
    private var excludedUntilMillis = 0L
    private var downUntilMillis = 0L
    private var failures = 0

    /** Load and speed of this start of the upstream. */
    public val load: UpstreamLoad = UpstreamLoad()

    /** Measures how long the upstream has sent no data although answers are outstanding. */
    public val silence: SilenceMonitor = SilenceMonitor()

    /** Whether the upstream said in an answer, or to another process, that it is leaving. */
    public var isLeaving: Boolean = false

    /** Until when the upstream has asked to be sent nothing. */
    public var pausedUntilMillis: Long = Long.MIN_VALUE / 2
        private set

    /** Until when the limit on requests of all VMs together was last known to be used up. */
    private var limitedUntilMillis: Long = Long.MIN_VALUE / 2

    /**
     * When the registration was last heard of or seen to be gone; null if a read of the rows that
     * began after that has shown it.
     */
    public var unregisteredAtMillis: Long? = null

    /** When this start was first seen in place of another one under its id; null for a new id. */
    public var replacedAnotherAtMillis: Long? = null

    /** Whether this start of the upstream receives no requests any more. */
    public val isGoing: Boolean get() = entry.isDraining || isLeaving

    /** Whether new requests may be sent to the upstream. */
    public val isUsable: Boolean get() = !isGoing && unregisteredAtMillis == null && !isEvacuated

    /** Whether nothing may be sent to the availability zone of the upstream. */
    public val isEvacuated: Boolean get() = eligibility.isEvacuated(entry.zone)

    /** The region of the upstream; null if its zone has none. */
    public val region: String? get() = eligibility.regionOf(entry.zone)

    /** Identifies this start of the upstream. */
    public val start: UpstreamStart get() = UpstreamStart(entry.id, entry.startedAtEpochMillis)

    /** Identifies this start of the upstream to other processes, once it leaves. */
    public val departure: Departure get() = departureOf(start)

    /** Number of requests that this process has in flight at the upstream. */
    public val inFlight: Int get() = load.inFlight

    /** In-flight requests of this process by model and adapter. */
    public val uses: Map<ModelUse, Int> get() = inFlightByUse

    /** Applies a newer announcement; its models only if it cannot predate the last [holds]. */
    public fun updateAnnouncement(next: UpstreamEntry, nowMillis: Long) {
        // A row that the store restored from an older copy may say that it is not draining.
        if (entry.isDraining || next.isDraining) isLeaving = true
        entry = next
        if (nowMillis - holdingsUpdatedAtMillis >= ANNOUNCEMENT_LAG_MILLIS) {
            adaptersByModel = next.adaptersByModel
        }
    }

    /** Sets the loaded models, from a source that is newer than the announcements. */
    public fun holds(models: ImmutableMap<String, ImmutableSet<String>>, nowMillis: Long) {
        adaptersByModel = models
        holdingsUpdatedAtMillis = nowMillis
    }

    /** Records the upstream's answer that [model], or its [adapter], is not loaded. */
    public fun recordMissing(model: String, adapter: String?, nowMillis: Long): Unit =
        missing.record(ModelUse(model, adapter), nowMillis)

    /**
     * Returns whether requests for [model], with [adapter] if one is given, may be sent: it should
     * be in memory, and no answer has said lately that it is not.
     */
    public fun serves(model: String?, adapter: String?, nowMillis: Long): Boolean {
        if (model == null) return true
        val adapters = adaptersByModel[model] ?: return false
        if (adapter != null && adapter !in adapters) return false
        return !missing.isRecent(ModelUse(model, adapter), nowMillis) &&
            !missing.isRecent(ModelUse(model, null), nowMillis)
    }

    /** Returns the tokens of in-flight requests of this process with [use]. */
    public fun tokensOf(use: ModelUse): Long = load.tokensOf(use)

    /**
     * Counts a request that is sent to the upstream; [use] is null if it needs no model. It may
     * hold [tokens] in the upstream's memory.
     */
    public fun requestStarted(use: ModelUse?, tokens: Long = 0) {
        load.requestStarted(use, tokens)
        if (use != null) inFlightByUse.merge(use, 1, Int::plus)
    }

    /** Removes a request, started with the same arguments, from those in flight. */
    public fun requestEnded(use: ModelUse?, tokens: Long = 0) {
        load.requestEnded(use, tokens)
        if (use == null) return
        val left = (inFlightByUse[use] ?: 1) - 1
        if (left > 0) inFlightByUse[use] = left else inFlightByUse.remove(use)
    }

    /**
     * Records that an answer has begun, which ends the backoff for refused connections, and the
     * load that it states.
     */
    public fun recordAnswer(reported: ReportedLoad?, nowMillis: Long) {
        failures = 0
        downUntilMillis = 0
        if (reported != null) load.recordStated(reported, nowMillis)
    }

    /** Records the time to a complete answer, or to the first piece of a stream. */
    public fun recordLatency(millis: Long) {
        latencyMillis += (millis - latencyMillis) * LATENCY_WEIGHT
    }

    /** Whether a connection failed recently, so that requests are sent to other upstreams. */
    public fun isDown(nowMillis: Long): Boolean = nowMillis < downUntilMillis

    /** Whether answers are outstanding and no data has arrived for several times the latency. */
    public fun isSilent(nowMillis: Long): Boolean =
        silence.silentMillis(nowMillis) > silentLimitMillis

    /** Whether no data has arrived since [sentAtMillis] for as long as [isSilent] requires. */
    public fun isSilentSince(sentAtMillis: Long, nowMillis: Long): Boolean =
        nowMillis - maxOf(sentAtMillis, silence.receivedAtMillis) > silentLimitMillis

    private val silentLimitMillis: Double
        get() = maxOf(MIN_SILENT_MILLIS, SILENCE_FACTOR * latencyMillis)

    /** Records that no connection could be established. */
    public fun recordUnreachable(nowMillis: Long) {
        downUntilMillis = nowMillis + (DOWN_MILLIS shl failures.coerceAtMost(MAX_DOWN_DOUBLINGS))
        recordFailure(nowMillis)
    }

    /** Excludes the upstream for a time that doubles with each consecutive failure. */
    public fun recordFailure(nowMillis: Long) {
        val backoffMillis = FAILURE_BACKOFF_MILLIS shl failures.coerceAtMost(MAX_FAILURE_DOUBLINGS)
        failures++
        excludedUntilMillis = maxOf(excludedUntilMillis, nowMillis + backoffMillis)
    }

    /**
     * Whether a request may be sent now: a slot is free and the upstream is not backed off. Whether
     * its limit on requests was used up does not matter if [ignoresLimit].
     */
    public fun isAvailable(nowMillis: Long, ignoresLimit: Boolean = false): Boolean =
        nowMillis >= excludedUntilMillis &&
            inFlight < entry.slots &&
            (ignoresLimit || nowMillis >= limitedUntilMillis)

    /** Whether the upstream has asked to be sent nothing. */
    public fun isPaused(nowMillis: Long): Boolean = nowMillis < pausedUntilMillis

    /** Records that the limit on requests is used up for [waitMillis]. */
    public fun recordLimited(waitMillis: Long, nowMillis: Long) {
        limitedUntilMillis = nowMillis + waitMillis
    }

    /** Records that the limit on requests has ended, such as when a cold upstream is warm. */
    public fun recordUnlimited() {
        limitedUntilMillis = Long.MIN_VALUE / 2
    }

    /** Excludes the upstream briefly because it refused a request for lack of capacity. */
    public fun recordFull(nowMillis: Long) {
        excludedUntilMillis = maxOf(excludedUntilMillis, nowMillis + FULL_BACKOFF_MILLIS)
    }

    /** Sends nothing to the upstream for [pauseMillis], as it has asked. */
    public fun recordPause(pauseMillis: Long, nowMillis: Long) {
        pausedUntilMillis = maxOf(pausedUntilMillis, nowMillis + pauseMillis)
        excludedUntilMillis = maxOf(excludedUntilMillis, pausedUntilMillis)
    }

    /**
     * Returns the data on which the choice among the runners of a model engine is based.
     *
     * @param memoryTokens tokens that fit into the memory of a runner; null if not known.
     * @param others what other VMs have in flight there; null if not known.
     */
    public fun runnerView(memoryTokens: Long?, others: OtherUse?, nowMillis: Long): RunnerView =
        RunnerView(
            upstream = entry.id,
            zone = entry.zone,
            slots = entry.slots,
            memoryTokens = memoryTokens,
            inFlight = inFlight,
            inFlightTokens = load.inFlightTokens,
            stated = load.stated(nowMillis),
            others = others,
            speed = load.speed(nowMillis),
            silentMillis = silence.silentMillis(nowMillis),
            excludedUntilMillis = maxOf(excludedUntilMillis, limitedUntilMillis)
        )

    /** Returns the data on which the choice among replicas of a plain service is based. */
    public fun view(nowMillis: Long): ReplicaView = ReplicaView(
        upstream = entry.id,
        zone = entry.zone,
        slots = entry.slots,
        reportedRunning = load.running(nowMillis),
        reportedWaiting = load.waiting(nowMillis),
        inFlight = inFlight,
        latencyMillis = maxOf(latencyMillis, silence.silentMillis(nowMillis).toDouble()),
        excludedUntilMillis = maxOf(excludedUntilMillis, limitedUntilMillis)
    )

    public companion object {
        /** Identifies [start] to other processes, once it leaves. */
        public fun departureOf(start: UpstreamStart): Departure =
            Departure.newBuilder().setUpstream(start.id)
                .setStartedAtEpochMillis(start.startedAtEpochMillis ?: 0).build()

        /** Maximum lag of announcements behind the coordinator: one interval plus one poll. */
        private const val ANNOUNCEMENT_LAG_MILLIS = 3_000L

        /** Weight of a new measurement in the moving average of the latency. */
        private const val LATENCY_WEIGHT = 0.2

        /** Backoff after a failed send; doubled for consecutive failures. */
        private const val FAILURE_BACKOFF_MILLIS = 250L
        private const val MAX_FAILURE_DOUBLINGS = 4

        /** Backoff after a refusal for lack of capacity. */
        private const val FULL_BACKOFF_MILLIS = 40L

        /** Many times the pauses within an engine's answer and the latency of a plain service. */
        private const val MIN_SILENT_MILLIS = 500.0

        /** Multiple of the usual latency without data after which the upstream counts as silent. */
        private const val SILENCE_FACTOR = 4

        /** Backoff after a refused connection; doubled for consecutive failures. */
        private const val DOWN_MILLIS = 1_000L
        private const val MAX_DOWN_DOUBLINGS = 1
    }
}
