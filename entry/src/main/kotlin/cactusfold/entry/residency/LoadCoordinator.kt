package cactusfold.entry.residency

import cactusfold.decisions.residency.HoldingsLedger
import cactusfold.decisions.residency.ModelCost
import cactusfold.decisions.residency.Residency
import cactusfold.decisions.residency.ResidencyPlan
import cactusfold.decisions.residency.ResidencyPlanner
import cactusfold.decisions.residency.ResidencyView
import cactusfold.decisions.residency.RunnerBounds
import cactusfold.decisions.residency.RunnerState
import cactusfold.decisions.residency.WeightSource
import cactusfold.entry.config.RouteTable
import cactusfold.entry.process.EventLog
import cactusfold.entry.upstream.Upstream
import cactusfold.entry.upstream.UpstreamDirectory
import cactusfold.node.time.MonotonicClock
import cactusfold.ports.serving.EngineSpec
import cactusfold.ports.serving.RunnerOrder
import cactusfold.ports.serving.RunnerReport
import cactusfold.protocol.entry.Forecast
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toImmutableMap
import kotlinx.collections.immutable.toImmutableSet
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/** Carries out the planner's decisions while this process is the coordinator. */
public class LoadCoordinator(
    private val scope: CoroutineScope,
    private val directory: UpstreamDirectory,
    private val demand: FleetDemand,
    private val desk: DeskContext,
    private val clock: MonotonicClock,
    private val events: EventLog,
    private val loadWindowMillis: Long,
    private val table: () -> RouteTable?
) {
    private class RunnerWork(val upstream: Upstream, context: DeskContext) {
        val desk = RunnerDesk(upstream, context)
        var ledger = HoldingsLedger()
        var isKnown = false
        var isLearning = false
        var load: Residency.Load? = null
        var loadedAtMillis = 0L
        var restsUntilMillis = 0L
        var adapterOrders = 0
        val lastUsedMillis = HashMap<String, Long>()
        val adapterUsedMillis = HashMap<Pair<String, String>, Long>()
        var report: RunnerReport? = null
        var reportedAtMillis = Long.MIN_VALUE / 2

        val isIdle: Boolean get() = load == null && adapterOrders == 0
    }

    private val planner = ResidencyPlanner()
    private val works = HashMap<String, RunnerWork>()
    private val storeLoadsAtMillis = ArrayDeque<Long>()
    private var jobs: Job = SupervisorJob()

    /** Called with runners whose holdings changed. */
    public var onHoldings: (Upstream) -> Unit = {}

    /** Called with forecasts for models that requests wait for. */
    public var onForecasts: (List<Forecast>) -> Unit = {}

    /** Drops all work; what is on its way is settled by the next coordinator. */
    public fun stop() {
        jobs.cancelChildren()
        works.clear()
    }

    /** Plans and begins what is to be done now. */
    public fun step() {
        val current = table() ?: return
        if (!desk.mayOrder()) return
        val nowMillis = clock.nowMillis()
        for (service in current.config.services.values) {
            val engine = service.engine ?: continue
            val runners = directory.usable.filter { it.entry.service == service.name }
            if (runners.isEmpty()) continue
            val plan = planner.plan(viewOf(engine, runners, nowMillis), nowMillis)
            carryOut(plan, nowMillis)
        }
    }

    private fun viewOf(
        engine: EngineSpec,
        runners: List<Upstream>,
        nowMillis: Long
    ): ResidencyView {
        val inFlight = demand.inFlight(nowMillis)
        val unreachable = demand.unreachable(nowMillis)
        val states = runners.filter { it.entry.id !in unreachable }
            .map { stateOf(it, inFlight[it.entry.id].orEmpty(), nowMillis) }
        return ResidencyView(
            bounds = boundsOf(engine),
            runners = states,
            demands = demand.demands(nowMillis).filter { it.model in engine.models },
            arrivalsPerSecond = demand.arrivalsPerSecond(nowMillis).filterKeys {
                it in engine.models
            },
            habitualPerSecond = demand.habitualPerSecond(nowMillis).filterKeys {
                it in engine.models
            },
            adapterUsedMillis = adaptersInUse(nowMillis),
            storeLoadsAllowed = storeLoadsAllowed(engine, nowMillis)
        )
    }

    private fun stateOf(
        upstream: Upstream,
        inFlight: Map<String, Int>,
        nowMillis: Long
    ): RunnerState {
        val work = workOf(upstream)
        inFlight.keys.forEach { work.lastUsedMillis[it] = nowMillis }
        if (!work.isKnown) learn(work)
        // What is announced may be as old as an interval of announcements and a poll.
        work.ledger = work.ledger
            .said(upstream.adaptersByModel, nowMillis - ANNOUNCEMENT_LAG_MILLIS)
        val load = work.load
        val report = work.report?.takeIf {
            nowMillis - work.reportedAtMillis <
                ANNOUNCEMENT_LAG_MILLIS
        }
        return RunnerState(
            id = upstream.entry.id,
            served = if (nowMillis <
                work.restsUntilMillis
            ) {
                persistentMapOf()
            } else {
                upstream.adaptersByModel
            },
            adaptersByModel = work.ledger.adaptersByModel,
            modelsInHostMemory = report?.modelsInHostMemory ?: upstream.entry.modelsInHostMemory,
            modelsOnDisk = report?.modelsOnDisk ?: upstream.entry.modelsOnDisk,
            loading = load?.model,
            loadedAtMillis = work.loadedAtMillis,
            loadsFromStore = load?.source == WeightSource.STORE,
            isBusy = load != null || !work.isKnown || nowMillis < work.restsUntilMillis,
            adapterOrders = work.adapterOrders,
            inFlight = inFlight.toImmutableMap(),
            lastUsedMillis = work.lastUsedMillis.toImmutableMap()
        )
    }

    private fun workOf(upstream: Upstream): RunnerWork {
        val known = works[upstream.entry.id]
        if (known != null && known.upstream === upstream) return known
        return RunnerWork(upstream, desk).also { works[upstream.entry.id] = it }
    }

    /** Reads what the runner holds before the first order to it, and whenever that is not known. */
    private fun learn(work: RunnerWork) {
        if (work.isLearning) return
        work.isLearning = true
        scope.launch(jobs) {
            try {
                val askedAtMillis = clock.nowMillis()
                val report = work.desk.learn()
                if (report == null) {
                    delay(LEARN_MILLIS)
                } else {
                    work.ledger =
                        work.ledger.said(report.adaptersByModel, askedAtMillis - REPORT_LAG_MILLIS)
                    work.report = report
                    work.reportedAtMillis = askedAtMillis
                    work.isKnown = true
                    hold(work, report.adaptersByModel)
                }
            } finally {
                work.isLearning = false
            }
        }
    }

    private fun adaptersInUse(nowMillis: Long): Map<String, Map<Pair<String, String>, Long>> {
        for ((runner, adapters) in demand.adaptersInFlight(nowMillis)) {
            val used = works[runner]?.adapterUsedMillis ?: continue
            adapters.forEach { used[it] = nowMillis }
        }
        return works.mapValues { (_, work) -> work.adapterUsedMillis.toMap() }
    }

    private fun storeLoadsAllowed(engine: EngineSpec, nowMillis: Long): Int {
        val perSecond = engine.storeLoadsPerSecond ?: return Int.MAX_VALUE
        while (storeLoadsAtMillis.isNotEmpty() &&
            nowMillis - storeLoadsAtMillis.first() > loadWindowMillis
        ) {
            storeLoadsAtMillis.removeFirst()
        }
        val perWindow = (perSecond * loadWindowMillis / MILLIS_PER_SECOND).toInt().coerceAtLeast(1)
        return perWindow - storeLoadsAtMillis.size
    }

    private fun carryOut(plan: ResidencyPlan, nowMillis: Long) {
        for (step in plan.steps) {
            val upstream = directory.find(step.runner) ?: continue
            val work = workOf(upstream)
            when (step) {
                is Residency.Load -> {
                    work.load = step
                    work.loadedAtMillis = nowMillis + step.loadMillis
                    if (step.source == WeightSource.STORE) storeLoadsAtMillis.addLast(nowMillis)
                    scope.launch(jobs) { load(work, step) }
                }
                is Residency.LoadAdapter -> {
                    work.adapterOrders++
                    work.ledger = work.ledger.loadingAdapter(step.model, step.adapter, nowMillis)
                    scope.launch(jobs) { loadAdapter(work, step) }
                }
            }
        }
        val refused = plan.hopeless.map {
            Forecast.newBuilder().setModel(
                it
            ).setIsRefused(true).setReadyInMillis(RETRY_MILLIS).build()
        }
        if (refused.isNotEmpty()) onForecasts(refused)
    }

    private suspend fun load(work: RunnerWork, step: Residency.Load) {
        val began = clock.nowMillis()
        var isLoaded = false
        try {
            isLoaded = makeRoom(work, step.evicted) &&
                order(work, RunnerOrder.Load(step.model)) &&
                awaitModel(work, step)
            events.write(
                if (isLoaded) "model-loaded" else "model-load-failed",
                "model" to step.model,
                "upstream" to step.runner,
                "source" to step.source.name,
                "evicted" to step.evicted.joinToString(),
                "expected_ms" to step.loadMillis,
                "took_ms" to clock.nowMillis() - began
            )
        } finally {
            work.load = null
            work.lastUsedMillis[step.model] = clock.nowMillis()
            if (!isLoaded) work.restsUntilMillis = clock.nowMillis() + REST_MILLIS
        }
    }

    /** Books [order] in the runner's account before it is sent, and what it frees afterwards. */
    private suspend fun order(work: RunnerWork, order: RunnerOrder): Boolean {
        val before = clock.nowMillis()
        work.ledger = when (order) {
            is RunnerOrder.Load -> work.ledger.loading(order.model, before)
            is RunnerOrder.LoadAdapter ->
                work.ledger.loadingAdapter(order.model, order.adapter, before)
            is RunnerOrder.Unload, is RunnerOrder.UnloadAdapter -> work.ledger
        }
        val end = work.desk.send(order)
        if (end == OrderEnd.MOVED) work.isKnown = false
        if (end != OrderEnd.TAKEN) return false
        val after = clock.nowMillis()
        work.ledger = when (order) {
            is RunnerOrder.Unload -> work.ledger.unloaded(order.model, after)
            is RunnerOrder.UnloadAdapter ->
                work.ledger.unloadedAdapter(order.model, order.adapter, after)
            is RunnerOrder.Load, is RunnerOrder.LoadAdapter -> work.ledger.copy(
                changedAtMillis = after
            )
        }
        return true
    }

    private suspend fun makeRoom(work: RunnerWork, models: List<String>): Boolean {
        for (model in models) {
            hold(work, (work.upstream.adaptersByModel - model).toImmutableMap())
            if (!order(work, RunnerOrder.Unload(model))) return false
        }
        return true
    }

    private suspend fun awaitModel(work: RunnerWork, step: Residency.Load): Boolean {
        val startedAt = clock.nowMillis()
        delay((step.loadMillis - EARLY_MILLIS).coerceAtLeast(0))
        while (clock.nowMillis() - startedAt < step.loadMillis * MAX_SLOWDOWN + EARLY_MILLIS) {
            val report = work.desk.report()
            if (report != null && step.model in report.adaptersByModel) {
                reported(work, report)
                return true
            }
            delay(REPORT_MILLIS)
        }
        return false
    }

    private fun reported(work: RunnerWork, report: RunnerReport) {
        work.report = report
        work.reportedAtMillis = clock.nowMillis()
        val model = work.load?.model ?: return
        hold(work, (work.upstream.adaptersByModel + (model to persistentSetOf())).toImmutableMap())
    }

    private suspend fun loadAdapter(work: RunnerWork, step: Residency.LoadAdapter) {
        var isLoaded = false
        try {
            isLoaded = dropAdapter(work, step.evicted) &&
                order(work, RunnerOrder.LoadAdapter(step.model, step.adapter))
            if (!isLoaded) return
            work.adapterUsedMillis[step.model to step.adapter] = clock.nowMillis()
            delay(ADAPTER_MILLIS)
            holdAdapters(work, step.model) { it + step.adapter }
        } finally {
            work.adapterOrders--
            if (!isLoaded) work.restsUntilMillis = clock.nowMillis() + REST_MILLIS
        }
    }

    private suspend fun dropAdapter(work: RunnerWork, evicted: Pair<String, String>?): Boolean {
        val (model, adapter) = evicted ?: return true
        holdAdapters(work, model) { it - adapter }
        return order(work, RunnerOrder.UnloadAdapter(model, adapter))
    }

    private fun holdAdapters(
        work: RunnerWork,
        model: String,
        change: (Set<String>) -> Set<String>
    ) {
        val models = work.upstream.adaptersByModel
        val adapters = models[model] ?: return
        hold(work, (models + (model to change(adapters).toImmutableSet())).toImmutableMap())
    }

    private fun hold(work: RunnerWork, models: ImmutableMap<String, ImmutableSet<String>>) {
        work.upstream.holds(models, clock.nowMillis())
        onHoldings(work.upstream)
        directory.changed()
    }

    private fun boundsOf(engine: EngineSpec): RunnerBounds = RunnerBounds(
        slots = engine.slots,
        weightMegabytes = engine.weightMegabytes,
        adapterSlots = engine.adapterSlots,
        storeLoadsAtOnce = STORE_LOADS_AT_ONCE,
        models = engine.models.mapValues { (_, model) ->
            ModelCost(
                model.name,
                model.weightMegabytes,
                model.adapterMegabytes,
                model.adapters,
                model.storeLoadMillis,
                model.diskLoadMillis,
                model.memoryLoadMillis
            )
        }.toImmutableMap()
    )

    private companion object {
        const val MILLIS_PER_SECOND = 1_000

        /** Loads that the weight store carries at full speed, by the users' sheets. */
        const val STORE_LOADS_AT_ONCE = 4

        /** Reports are asked for this long before a load should be done. */
        const val EARLY_MILLIS = 50L
        const val REPORT_MILLIS = 100L

        /** How much longer than expected a load may take before it counts as failed. */
        const val MAX_SLOWDOWN = 4

        /** What an adapter's load takes at most while few are on their way, with room to spare. */
        const val ADAPTER_MILLIS = 40L

        /** Announcements' interval, their way into the store, and one poll, with room to spare. */
        const val ANNOUNCEMENT_LAG_MILLIS = 4_000L

        /** How old a report may be when it comes, by the engines' contract. */
        const val REPORT_LAG_MILLIS = 800L
        const val LEARN_MILLIS = 200L

        /** How long a runner that did not take an order gets no other. */
        const val REST_MILLIS = 1_000L

        /** When a caller whose model could not be loaded in time may try again. */
        const val RETRY_MILLIS = 1_000L
    }
}
