package cactusfold.entry.residency

import cactusfold.decisions.residency.ResidencyLedger
import cactusfold.decisions.residency.ResidencyOrder
import cactusfold.decisions.residency.RunnerState
import cactusfold.decisions.residency.StoreConcurrency
import cactusfold.decisions.residency.WeightSource
import cactusfold.entry.upstream.Upstream
import cactusfold.ports.serving.RunnerOrder
import cactusfold.ports.serving.RunnerReport
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toImmutableMap
import kotlinx.collections.immutable.toImmutableSet
import kotlinx.coroutines.delay

/** Executes the planned loads on one runner and tracks what it has loaded. */
internal class RunnerLoader(
    val upstream: Upstream,
    private val dependencies: OrderDependencies,
    private val overhead: LoadOverhead,
    private val storeConcurrency: StoreConcurrency,
    private val onHoldingsChanged: (Upstream) -> Unit
) {
    private val clock = dependencies.clock
    private val client = RunnerOrderClient(upstream, dependencies)
    private val lastUsedMillis = HashMap<String, Long>()
    private val holdingsLog = HoldingsLog(upstream.entry.id, dependencies.events)
    private var ledger = ResidencyLedger()

    /** Whether the runner's state has been read since this process became the coordinator. */
    var isSynced = false
        private set
    private var isSyncing = false
    private var activeLoad: ResidencyOrder.Load? = null
    private var loadedAtMillis = 0L
    private val availability = OrderAvailability()
    private var adapterOrders = 0
    private var lastResult = OrderResult.ACCEPTED
    private var report: RunnerReport? = null
    private var reportedAtMillis = Long.MIN_VALUE / 2

    /** Time of last use of each (model, adapter) pair. */
    val adapterUsedMillis = HashMap<Pair<String, String>, Long>()

    /**
     * Whether the runner may be loading from the store on an order of the previous coordinator. Its
     * report says that it is busy, but not with what.
     */
    private val mayLoadForOthers: Boolean get() = !isSynced && client.isReportedBusy

    /** Whether [sync] has to be called before orders can be sent. */
    val needsSync: Boolean
        get() = !isSynced && !isSyncing && availability.maySync(clock.nowMillis())

    /** Returns the planner's view of the runner, which accepts [requestsPerSecond] if not null. */
    fun state(
        inFlight: Map<String, Int>,
        requestsPerSecond: Double?,
        nowMillis: Long
    ): RunnerState {
        inFlight.keys.forEach { lastUsedMillis[it] = nowMillis }
        // The announced state may be as old as one announcement interval and one poll.
        record(
            ledger.said(upstream.adaptersByModel, nowMillis - ANNOUNCEMENT_LAG_MILLIS),
            HoldingsSource.ANNOUNCEMENT,
            orderCount = null
        )
        if (!isSynced) availability.unsynced(nowMillis)
        val isBackingOff = availability.isBackingOff(nowMillis)
        val fresh = report?.takeIf { nowMillis - reportedAtMillis < ANNOUNCEMENT_LAG_MILLIS }
        return RunnerState(
            id = upstream.entry.id,
            served = if (availability.isSilent(nowMillis)) {
                persistentMapOf()
            } else {
                upstream.adaptersByModel
            },
            adaptersByModel = ledger.adaptersByModel,
            modelsInHostMemory = fresh?.modelsInHostMemory ?: upstream.entry.modelsInHostMemory,
            modelsOnDisk = fresh?.modelsOnDisk ?: upstream.entry.modelsOnDisk,
            loading = activeLoad?.model,
            loadedAtMillis = loadedAtMillis,
            loadsFromStore = activeLoad?.source == WeightSource.STORE || mayLoadForOthers,
            isBusy = activeLoad != null || !isSynced || isBackingOff,
            adapterOrders = adapterOrders,
            inFlight = inFlight.toImmutableMap(),
            lastUsedMillis = lastUsedMillis.toImmutableMap(),
            requestsPerSecond = requestsPerSecond,
            softwareVersion = upstream.entry.softwareVersion,
            freeAtMillis = if (adapterOrders > 0) {
                nowMillis + ADAPTER_LOAD_MILLIS
            } else {
                availability.freeAtMillis(nowMillis)
            },
            region = upstream.region
        )
    }

    /** Reads the runner's state, before the first order and whenever the state became unknown. */
    suspend fun sync() {
        isSyncing = true
        try {
            val askedAtMillis = clock.nowMillis()
            val current = client.sync()
            if (current == null) return delay(SYNC_RETRY_MILLIS)
            record(
                ledger.said(current.adaptersByModel, askedAtMillis - REPORT_LAG_MILLIS),
                HoldingsSource.REPORT,
                current.acceptedOrderCount
            )
            report = current
            reportedAtMillis = askedAtMillis
            isSynced = true
            availability.synced()
            setHoldings(current.adaptersByModel)
        } finally {
            isSyncing = false
        }
    }

    private fun record(next: ResidencyLedger, source: HoldingsSource, orderCount: Long?) {
        holdingsLog.replaced(ledger.adaptersByModel, next.adaptersByModel, source, orderCount)
        ledger = next
    }

    /** Records [step] before its execution, so that the next plan takes it into account. */
    fun recordStart(step: ResidencyOrder, nowMillis: Long) {
        when (step) {
            is ResidencyOrder.Load -> {
                activeLoad = step
                loadedAtMillis = nowMillis + step.loadMillis + overhead.millis
            }
            is ResidencyOrder.LoadAdapter -> {
                adapterOrders++
                ledger = ledger.loadingAdapter(step.model, step.adapter, nowMillis)
            }
        }
    }

    /** Executes [step], for which [recordStart] was called before. */
    suspend fun execute(step: ResidencyOrder) {
        when (step) {
            is ResidencyOrder.Load -> load(step)
            is ResidencyOrder.LoadAdapter -> loadAdapter(step)
        }
    }

    private suspend fun load(step: ResidencyOrder.Load) {
        val began = clock.nowMillis()
        var evictedAtMillis = began
        var isLoaded = false
        try {
            isLoaded = evict(step.evicted).also { evictedAtMillis = clock.nowMillis() } &&
                order(RunnerOrder.Load(step.model)).also { if (it) recordStoreLoad(step) } &&
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

    private suspend fun evict(models: List<String>): Boolean {
        for (model in models) {
            setHoldings((upstream.adaptersByModel - model).toImmutableMap())
            if (!order(RunnerOrder.Unload(model))) return false
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

    private suspend fun loadAdapter(step: ResidencyOrder.LoadAdapter) {
        var isLoaded = false
        try {
            isLoaded = evictAdapter(step.evicted) &&
                order(RunnerOrder.LoadAdapter(step.model, step.adapter))
            if (!isLoaded) return
            adapterUsedMillis[step.model to step.adapter] = clock.nowMillis()
            delay(ADAPTER_LOAD_MILLIS)
            setAdapters(step.model) { it + step.adapter }
        } finally {
            adapterOrders--
            if (isLoaded) availability.completed() else backOff()
        }
    }

    private suspend fun evictAdapter(evicted: Pair<String, String>?): Boolean {
        val (model, adapter) = evicted ?: return true
        setAdapters(model) { it - adapter }
        return order(RunnerOrder.UnloadAdapter(model, adapter))
    }

    /**
     * Sends [order]. Memory that it takes enters the ledger before the order is sent; memory that
     * it frees leaves the ledger only once the runner has accepted the order.
     */
    private suspend fun order(order: RunnerOrder): Boolean {
        val before = clock.nowMillis()
        ledger = when (order) {
            is RunnerOrder.Load -> ledger.loading(order.model, before)
            is RunnerOrder.LoadAdapter -> ledger.loadingAdapter(order.model, order.adapter, before)
            is RunnerOrder.Unload, is RunnerOrder.UnloadAdapter -> ledger
        }
        val result = client.send(order)
        if (result == OrderResult.OUT_OF_SYNC) isSynced = false
        lastResult = result
        if (result != OrderResult.ACCEPTED) return false
        val after = clock.nowMillis()
        ledger = when (order) {
            is RunnerOrder.Unload -> ledger.unloaded(order.model, after)
            is RunnerOrder.UnloadAdapter ->
                ledger.unloadedAdapter(order.model, order.adapter, after)
            is RunnerOrder.Load, is RunnerOrder.LoadAdapter -> ledger.copy(changedAtMillis = after)
        }
        return true
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

        /** Announcement interval, propagation to the store, and one poll, with a margin. */
        const val ANNOUNCEMENT_LAG_MILLIS = 4_000L

        /** Maximum age of a report on arrival, by the engines' contract. */
        const val REPORT_LAG_MILLIS = 800L
        const val SYNC_RETRY_MILLIS = 200L
    }
}
