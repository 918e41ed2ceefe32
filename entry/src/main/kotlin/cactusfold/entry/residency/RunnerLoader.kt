package cactusfold.entry.residency

import cactusfold.decisions.residency.ResidencyOrder
import cactusfold.decisions.residency.RunnerBounds
import cactusfold.decisions.residency.RunnerOrder
import cactusfold.decisions.residency.RunnerState
import cactusfold.decisions.residency.StoreConcurrency
import cactusfold.decisions.residency.WeightSource
import cactusfold.entry.upstream.Upstream
import cactusfold.ports.serving.RunnerReport
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toImmutableMap
import kotlinx.collections.immutable.toImmutableSet
import kotlinx.coroutines.delay

/**
 * Executes the planned loads on one start of a runner.
 *
 * What takes memory is recorded by [RunnerOrderClient], and what requests may be sent for by
 * [Upstream]: the latter may be wrong for a while, at the cost of a refused request.
 */
internal class RunnerLoader(
    upstream: Upstream,
    private val dependencies: OrderDependencies,
    private val overhead: LoadOverhead,
    private val storeConcurrency: StoreConcurrency,
    private val onHoldingsChanged: (Upstream) -> Unit
) {
    private val clock = dependencies.clock
    private val client = RunnerOrderClient(upstream, dependencies)
    private val lastUsedMillis = HashMap<String, Long>()
    private var isSyncing = false
    private var activeLoad: ResidencyOrder.Load? = null
    private var activeAdapter: ResidencyOrder.LoadAdapter? = null
    private var loadedAtMillis = 0L
    private val availability = OrderAvailability()
    private var lastResult = OrderResult.ACCEPTED
    private var report: RunnerReport? = null
    private var reportedAtMillis = Long.MIN_VALUE / 2
    private var isDoubted = false
    private var doubtedAtMillis = Long.MIN_VALUE / 2
    private var comparedEntry = upstream.entry

    /** Time of last use of each (model, adapter) pair. */
    val adapterUsedMillis = HashMap<Pair<String, String>, Long>()

    /** The runner's registration. */
    val upstream: Upstream get() = client.upstream

    /** Whether the runner's state has been read since it became unknown. */
    val isSynced: Boolean get() = client.isSynced

    /**
     * Whether the runner may be loading from the store on an order of the previous coordinator. Its
     * report says that it is busy, but not with what.
     */
    private val mayLoadForOthers: Boolean get() = !isSynced && client.isReportedBusy

    private val isIdle: Boolean get() = activeLoad == null && activeAdapter == null

    /** Whether the runner may have as many adapters in transit as engines allow. */
    private val hasAdaptersInTransit: Boolean
        get() = client.ledger.unconfirmedAdapterOrders >= MAX_ADAPTERS_IN_TRANSIT

    /** Whether [sync] has to be called: before orders can be sent, or since the state is doubted. */
    val needsSync: Boolean
        get() = when {
            isSyncing -> false
            !isSynced -> availability.maySync(clock.nowMillis())
            else -> isIdle && (isDoubted || hasAdaptersInTransit)
        }

    /** Follows the registration of the same start, which has lapsed and returned. */
    fun follow(returned: Upstream) {
        client.upstream = returned
    }

    /**
     * Has the runner's state read again, because requests wait for what it seems to serve. Says
     * nothing about its memory.
     */
    fun doubt() {
        val nowMillis = clock.nowMillis()
        if (nowMillis - maxOf(reportedAtMillis, doubtedAtMillis) < DOUBT_INTERVAL_MILLIS) return
        doubtedAtMillis = nowMillis
        isDoubted = true
    }

    /** Whether requests for [model], with [adapter] if not null, seem to be served. */
    fun seemsToServe(model: String, adapter: String?): Boolean {
        val adapters = upstream.adaptersByModel[model] ?: return false
        return adapter == null || adapter in adapters
    }

    /** Returns the planner's view of the runner, which accepts [requestsPerSecond] if not null. */
    fun state(
        inFlight: Map<String, Int>,
        requestsPerSecond: Double?,
        nowMillis: Long
    ): RunnerState {
        inFlight.keys.forEach { lastUsedMillis[it] = nowMillis }
        compareRegistration()
        if (!isSynced) availability.unsynced(nowMillis)
        val isBackingOff = availability.isBackingOff(nowMillis)
        val fresh = report?.takeIf { nowMillis - reportedAtMillis < REPORT_VALID_MILLIS }
        return RunnerState(
            id = upstream.entry.id,
            served = if (availability.isSilent(nowMillis)) {
                persistentMapOf()
            } else {
                upstream.adaptersByModel
            },
            adaptersByModel = plannedHoldings(),
            modelsInHostMemory = fresh?.modelsInHostMemory ?: upstream.entry.modelsInHostMemory,
            modelsOnDisk = fresh?.modelsOnDisk ?: upstream.entry.modelsOnDisk,
            loading = activeLoad?.model,
            loadedAtMillis = loadedAtMillis,
            loadsFromStore = activeLoad?.source == WeightSource.STORE || mayLoadForOthers,
            isBusy = activeLoad != null || !isSynced || isBackingOff || hasAdaptersInTransit,
            adapterOrders = if (activeAdapter == null) 0 else 1,
            inFlight = inFlight.toImmutableMap(),
            lastUsedMillis = lastUsedMillis.toImmutableMap(),
            requestsPerSecond = requestsPerSecond,
            softwareVersion = upstream.entry.softwareVersion,
            freeAtMillis = if (activeAdapter != null) {
                nowMillis + ADAPTER_LOAD_MILLIS
            } else {
                availability.freeAtMillis(nowMillis)
            },
            region = upstream.region
        )
    }

    /** What is in memory, with the adapter whose order is being executed. */
    private fun plannedHoldings(): ImmutableMap<String, ImmutableSet<String>> {
        val planned = activeAdapter ?: return client.ledger.adaptersByModel
        return client.ledger
            .including(RunnerOrder.LoadAdapter(planned.model, planned.adapter))
            .adaptersByModel
    }

    /** A registration may be older than the last order, so it only has the report read. */
    private fun compareRegistration() {
        if (upstream.entry === comparedEntry) return
        comparedEntry = upstream.entry
        if (upstream.entry.adaptersByModel.keys != client.ledger.adaptersByModel.keys) {
            isDoubted = true
        }
    }

    /** Reads the runner's state, before the first order and whenever the state became unknown. */
    suspend fun sync() {
        isSyncing = true
        isDoubted = false
        try {
            val askedAtMillis = clock.nowMillis()
            val current = client.sync()
            if (current == null) return delay(SYNC_RETRY_MILLIS)
            report = current
            reportedAtMillis = askedAtMillis
            availability.synced()
            if (isIdle) setHoldings(current.adaptersByModel)
        } finally {
            isSyncing = false
        }
    }

    /** Records [step] before its execution, so that the next plan takes it into account. */
    fun recordStart(step: ResidencyOrder, nowMillis: Long) {
        when (step) {
            is ResidencyOrder.Load -> {
                activeLoad = step
                loadedAtMillis = nowMillis + step.loadMillis + overhead.millis
            }
            is ResidencyOrder.LoadAdapter -> activeAdapter = step
        }
    }

    /** Executes [step], for which [recordStart] was called before, within [bounds]. */
    suspend fun execute(step: ResidencyOrder, bounds: RunnerBounds) {
        when (step) {
            is ResidencyOrder.Load -> load(step, bounds)
            is ResidencyOrder.LoadAdapter -> loadAdapter(step, bounds)
        }
    }

    private suspend fun load(step: ResidencyOrder.Load, bounds: RunnerBounds) {
        val began = clock.nowMillis()
        var evictedAtMillis = began
        var isLoaded = false
        try {
            isLoaded = evict(step.evicted, bounds).also { evictedAtMillis = clock.nowMillis() } &&
                order(RunnerOrder.Load(step.model), bounds)
                    .also { if (it) recordStoreLoad(step) } &&
                awaitModel(step)
            val endedAtMillis = clock.nowMillis()
            if (isLoaded) recordDuration(step, endedAtMillis - evictedAtMillis)
            val tookMillis = endedAtMillis - began
            dependencies.events.write(
                if (isLoaded) "model-loaded" else "model-load-failed",
                "model" to step.model,
                "upstream" to step.runner,
                "source" to step.source.name,
                "evicted" to step.evicted.joinToString(),
                "expected_ms" to step.loadMillis,
                "took_ms" to tookMillis
            )
        } finally {
            storeConcurrency.dropped(step.runner, clock.nowMillis())
            activeLoad = null
            if (!isLoaded) client.outdated()
            lastUsedMillis[step.model] = clock.nowMillis()
            if (isLoaded) availability.completed() else backOff()
        }
    }

    /** Conflicts before the runner accepts the order are no slowness of the store. */
    private fun recordStoreLoad(step: ResidencyOrder.Load) {
        if (step.source != WeightSource.STORE) return
        val fullSpeedMillis = step.loadMillis + overhead.millis
        storeConcurrency.began(step.runner, clock.nowMillis(), fullSpeedMillis)
    }

    private fun recordDuration(step: ResidencyOrder.Load, tookMillis: Long) {
        if (step.source == WeightSource.STORE) {
            val fullSpeedMillis = step.loadMillis + overhead.millis
            storeConcurrency.ended(step.runner, fullSpeedMillis, clock.nowMillis())
        }
        overhead.record(step.loadMillis, tookMillis)
    }

    private suspend fun evict(models: List<String>, bounds: RunnerBounds): Boolean {
        if (models.isNotEmpty() && !awaitAdapters()) return false
        for (model in models) {
            setHoldings((upstream.adaptersByModel - model).toImmutableMap())
            if (!order(RunnerOrder.Unload(model), bounds)) return false
        }
        return true
    }

    /** Waits until no adapter is in transit, since it could be one that is to be unloaded. */
    private suspend fun awaitAdapters(): Boolean {
        val untilMillis = clock.nowMillis() + MAX_ADAPTER_WAIT_MILLIS
        while (client.ledger.unconfirmedAdapterOrders > 0) {
            lastResult = OrderResult.OUT_OF_SYNC
            if (clock.nowMillis() >= untilMillis) return false
            if (client.sync() == null) delay(SYNC_RETRY_MILLIS)
        }
        return true
    }

    private suspend fun awaitModel(step: ResidencyOrder.Load): Boolean {
        val startedAt = clock.nowMillis()
        if (!isResponsiveUntil(startedAt + step.loadMillis - POLL_LEAD_MILLIS)) return false
        while (clock.nowMillis() - startedAt < step.loadMillis * MAX_SLOWDOWN + POLL_LEAD_MILLIS) {
            val latest = client.report()
            if (latest != null && step.model in latest.adaptersByModel) {
                report = latest
                reportedAtMillis = clock.nowMillis()
                setHoldings(
                    (upstream.adaptersByModel + (step.model to persistentSetOf())).toImmutableMap()
                )
                return true
            }
            delay(POLL_INTERVAL_MILLIS)
        }
        return false
    }

    /** Waits until [untilMillis]; returns false early if the runner stops answering. */
    private suspend fun isResponsiveUntil(untilMillis: Long): Boolean {
        var unanswered = 0
        while (true) {
            val leftMillis = untilMillis - clock.nowMillis()
            if (leftMillis <= LIVENESS_INTERVAL_MILLIS) {
                delay(leftMillis.coerceAtLeast(0))
                return true
            }
            delay(LIVENESS_INTERVAL_MILLIS)
            unanswered = if (client.report() == null) unanswered + 1 else 0
            if (unanswered >= MAX_UNANSWERED_CHECKS) return false
        }
    }

    private suspend fun loadAdapter(step: ResidencyOrder.LoadAdapter, bounds: RunnerBounds) {
        var isLoaded = false
        try {
            isLoaded = evictAdapter(step.evicted, bounds) &&
                order(RunnerOrder.LoadAdapter(step.model, step.adapter), bounds)
            if (!isLoaded) return
            adapterUsedMillis[step.model to step.adapter] = clock.nowMillis()
            delay(ADAPTER_LOAD_MILLIS)
            setAdapters(step.model) { it + step.adapter }
        } finally {
            activeAdapter = null
            if (!isLoaded) client.outdated()
            if (isLoaded) availability.completed() else backOff()
        }
    }

    private suspend fun evictAdapter(
        evicted: Pair<String, String>?,
        bounds: RunnerBounds
    ): Boolean {
        val (model, adapter) = evicted ?: return true
        // A runner may say that an adapter in transit is not there, and have it a moment later.
        if (!awaitAdapters()) return false
        setAdapters(model) { it - adapter }
        val order = RunnerOrder.UnloadAdapter(model, adapter)
        if (!order(order, bounds)) return false
        if (client.ledger.reflects(order)) return true
        // Requests use the adapter, which keeps its place until they have ended.
        lastResult = OrderResult.NOT_ACCEPTED
        return false
    }

    private suspend fun order(order: RunnerOrder, bounds: RunnerBounds): Boolean {
        lastResult = client.send(order, bounds)
        return lastResult == OrderResult.ACCEPTED
    }

    private fun backOff() {
        availability.failed(clock.nowMillis(), lastResult)
    }

    private fun setAdapters(model: String, change: (Set<String>) -> Set<String>) {
        val models = upstream.adaptersByModel
        val adapters = models[model] ?: return
        setHoldings((models + (model to change(adapters).toImmutableSet())).toImmutableMap())
    }

    private fun setHoldings(models: ImmutableMap<String, ImmutableSet<String>>) {
        upstream.holds(models, clock.nowMillis())
        onHoldingsChanged(upstream)
    }

    private companion object {
        /** Polling for reports starts this long before a load is expected to complete. */
        const val POLL_LEAD_MILLIS = 50L
        const val POLL_INTERVAL_MILLIS = 100L

        /** Interval of the health checks on a runner during a long load. */
        const val LIVENESS_INTERVAL_MILLIS = 1_000L

        /** One unanswered check may be a lost message; two in a row count as a failed runner. */
        const val MAX_UNANSWERED_CHECKS = 2

        /** A load counts as failed after this multiple of its expected duration. */
        const val MAX_SLOWDOWN = 4

        /** Upper bound, with a margin, on an adapter's load time while few adapters are loading. */
        const val ADAPTER_LOAD_MILLIS = 40L

        /** Adapters that may be in transit to a runner at a time, by the engines' contract. */
        const val MAX_ADAPTERS_IN_TRANSIT = 4

        /** How long a load waits for adapters in transit before it is planned again. */
        const val MAX_ADAPTER_WAIT_MILLIS = 2_000L

        /** How long a report tells better than the registration from where weights are loaded. */
        const val REPORT_VALID_MILLIS = 4_000L

        /** Minimum time between two reports that are read only because of a doubt. */
        const val DOUBT_INTERVAL_MILLIS = 1_000L
        const val SYNC_RETRY_MILLIS = 200L
    }
}
