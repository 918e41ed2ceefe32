package cactusfold.entry.residency

import cactusfold.decisions.residency.BlockedDemand
import cactusfold.decisions.residency.ModelRefusals
import cactusfold.decisions.residency.PlanningGate
import cactusfold.decisions.residency.ResidencyOrder
import cactusfold.decisions.residency.ResidencyPlan
import cactusfold.decisions.residency.ResidencyPlanner
import cactusfold.decisions.residency.ResidencyView
import cactusfold.decisions.residency.RunnerBounds
import cactusfold.decisions.residency.StoreConcurrency
import cactusfold.decisions.residency.StoreLoadWindow
import cactusfold.decisions.residency.WeightSource
import cactusfold.entry.config.RouteTable
import cactusfold.entry.upstream.Upstream
import cactusfold.entry.upstream.UpstreamDirectory
import cactusfold.ports.serving.EngineSpec
import cactusfold.protocol.entry.Forecast
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.launch

/**
 * Plans which models and adapters the runners load, and executes the plans, while this process is
 * the coordinator.
 */
public class LoadCoordinator(
    private val scope: CoroutineScope,
    private val directory: UpstreamDirectory,
    private val demand: FleetDemand,
    private val dependencies: OrderDependencies,
    loadWindowMillis: Long,
    private val meters: LoadMeters,
    private val table: () -> RouteTable?
) {
    /** The last forecast for a model that was sent to the members. */
    private class SentForecast(val readyAtMillis: Long, val atMillis: Long)

    private val planner = ResidencyPlanner()
    private val overhead = LoadOverhead()
    private val storeConcurrency = StoreConcurrency()
    private val loaders = HashMap<String, RunnerLoader>()
    private val refusals = ModelRefusals()
    private val sentForecasts = HashMap<String, SentForecast>()
    private val loggedAtMillis = HashMap<BlockedDemand, Long>()
    private val storeLoads = StoreLoadWindow(loadWindowMillis)
    private val jobs = SupervisorJob()
    private val gate = PlanningGate()

    init {
        dependencies.onReply = meters::replied
        dependencies.onWithheld = meters::withheld
        dependencies.onCorrected = meters::corrected
    }

    /** Called with each upstream whose loaded models or adapters changed. */
    public var onHoldingsChanged: (Upstream) -> Unit = {}

    /** Called with forecasts of when models that requests wait for will be ready. */
    public var onForecasts: (List<Forecast>) -> Unit = {}

    /**
     * Prepares for coordination after this process has taken the lease. A previous coordinator may
     * have used up the current window of loads from the weight store.
     */
    public fun start() {
        storeLoads.succeeded(dependencies.clock.nowMillis())
    }

    /** Cancels all work. Orders already sent are left to the next coordinator to resolve. */
    public fun stop() {
        jobs.cancelChildren()
        loaders.clear()
        loggedAtMillis.clear()
        sentForecasts.clear()
    }

    /** Makes a plan for each service with an engine and starts executing it. */
    public fun step() {
        val current = table() ?: return
        if (!dependencies.mayOrder()) {
            gate.closed()
            return
        }
        val nowMillis = dependencies.clock.nowMillis()
        observeStore(nowMillis)
        for (service in current.config.services.values) {
            val engine = service.engine ?: continue
            val runners = directory.usable.filter { it.entry.service == service.name }
            val reachable = reachable(runners, nowMillis)
            syncOutdated(reachable)
            val known = reachable.count { it.isSynced }
            if (!gate.mayPlan(known, reachable.size, nowMillis)) continue
            val usesPriorities = current.config.usesPriorities(service.name)
            val view = viewOf(engine, reachable, usesPriorities, nowMillis)
            doubtUnserved(view, reachable)
            execute(view, planner.plan(view, nowMillis), nowMillis)
        }
    }

    private fun observeStore(nowMillis: Long) {
        storeConcurrency.observe(nowMillis)
        val limit = storeConcurrency.limit
        if (limit == meters.storeLoadLimit) return
        dependencies.events.write(
            "store-load-limit",
            "loads" to limit,
            "before" to meters.storeLoadLimit
        )
        meters.storeLoadLimit = limit
    }

    private fun reachable(runners: List<Upstream>, nowMillis: Long): List<RunnerLoader> {
        val unreachable = demand.unreachable(nowMillis)
        return runners.filter { it.entry.id !in unreachable }.map(::loaderOf)
    }

    private fun syncOutdated(loaders: List<RunnerLoader>) {
        loaders.filter { it.needsSync }.forEach { scope.launch(jobs) { it.sync() } }
    }

    /** Doubts runners that seem to serve what requests wait for. */
    private fun doubtUnserved(view: ResidencyView, loaders: List<RunnerLoader>) {
        for (demand in view.demands.filter { it.waiting > 0 }) {
            loaders.filter { it.seemsToServe(demand.model, demand.adapter) }.forEach { it.doubt() }
        }
    }

    private fun viewOf(
        engine: EngineSpec,
        reachable: List<RunnerLoader>,
        usesPriorities: Boolean,
        nowMillis: Long
    ): ResidencyView {
        val inFlight = demand.inFlight(nowMillis)
        val known = engine.models.keys
        val refused = refusals.counts(nowMillis)
        return ResidencyView(
            bounds = boundsOf(engine),
            runners = reachable.map {
                it.state(
                    inFlight[it.upstream.entry.id].orEmpty(),
                    dependencies.requestsPerSecondOf(it.upstream),
                    nowMillis
                )
            },
            demands = demand.demands(nowMillis).filter { it.model in known }
                .map { it.copy(refusedSinceLoad = refused[it.model] ?: 0) },
            arrivalsPerSecond = demand.arrivalsPerSecond(nowMillis).filterKeys { it in known },
            longTermArrivalsPerSecond = demand.longTermArrivalsPerSecond(nowMillis).filterKeys {
                it in known
            },
            adapterUsedMillis = adaptersInUse(nowMillis),
            storeLoadsAllowed = storeLoadsAllowed(engine, nowMillis),
            lastJoinedMillis = directory.lastJoinedMillis,
            usesPriorities = usesPriorities,
            arrivalsByPriority = demand.arrivalsByPriority(nowMillis).filterKeys { it in known },
            refusals = refused
        )
    }

    private fun loaderOf(upstream: Upstream): RunnerLoader {
        val known = loaders[upstream.entry.id]
        if (known != null && known.upstream.start == upstream.start) {
            return known.also { it.follow(upstream) }
        }
        return RunnerLoader(
            upstream,
            dependencies,
            overhead,
            storeConcurrency,
            ::notifyHoldingsChanged
        ).also { loaders[upstream.entry.id] = it }
    }

    private fun notifyHoldingsChanged(upstream: Upstream) {
        onHoldingsChanged(upstream)
        directory.changed()
    }

    private fun adaptersInUse(nowMillis: Long): Map<String, Map<Pair<String, String>, Long>> {
        for ((runner, adapters) in demand.adaptersInFlight(nowMillis)) {
            val used = loaders[runner]?.adapterUsedMillis ?: continue
            adapters.forEach { used[it] = nowMillis }
        }
        return loaders.mapValues { (_, loader) -> loader.adapterUsedMillis.toMap() }
    }

    private fun storeLoadsAllowed(engine: EngineSpec, nowMillis: Long): Int =
        engine.storeLoadsPerSecond?.let { storeLoads.allowed(it, nowMillis) } ?: Int.MAX_VALUE

    private fun execute(view: ResidencyView, plan: ResidencyPlan, nowMillis: Long) {
        plan.blocked.forEach { logBlocked(it, nowMillis) }
        plan.tooLate.forEach { refusals.refused(it, nowMillis) }
        for (step in plan.steps) {
            val loader = directory.find(step.runner)?.let(::loaderOf) ?: continue
            if (step is ResidencyOrder.Load && step.source == WeightSource.STORE) {
                storeLoads.began(nowMillis)
            }
            if (step is ResidencyOrder.Load) {
                refusals.loading(step.model)
                logPlanned(step, view)
            }
            loader.recordStart(step, nowMillis)
            scope.launch(jobs) { loader.execute(step, view.bounds) }
        }
        val forecasts = forecastsOf(plan, nowMillis) + versionForecastsOf(plan, nowMillis)
        if (forecasts.isNotEmpty()) onForecasts(forecasts)
    }

    private fun forecastsOf(plan: ResidencyPlan, nowMillis: Long): List<Forecast> =
        plan.readyAtMillis.filter { (model, readyAtMillis) ->
            model in plan.tooLate || isForecastDue(model, readyAtMillis, nowMillis)
        }.map { (model, readyAtMillis) ->
            Forecast.newBuilder()
                .setModel(model)
                .setIsRefused(model in plan.tooLate)
                .setReadyInMillis((readyAtMillis - nowMillis).coerceAtLeast(0))
                .build()
        }

    private fun versionForecastsOf(plan: ResidencyPlan, nowMillis: Long): List<Forecast> =
        plan.atVersions.filter {
            val key = "${it.model}@${it.softwareVersion.orEmpty()}@${it.homeRegions.sorted()}"
            it.isTooLate || isForecastDue(key, it.readyAtMillis, nowMillis)
        }.map {
            Forecast.newBuilder()
                .setModel(it.model)
                .setSoftwareVersion(it.softwareVersion.orEmpty())
                .addAllHomeRegions(it.homeRegions)
                .setIsRefused(it.isTooLate)
                .setReadyInMillis((it.readyAtMillis - nowMillis).coerceAtLeast(0))
                .build()
        }

    /** Returns whether the forecast named [key] is to be sent, and records it as sent if so. */
    private fun isForecastDue(key: String, readyAtMillis: Long, nowMillis: Long): Boolean {
        val last = sentForecasts[key]
        val isCurrent = last != null &&
            nowMillis - last.atMillis < FORECAST_INTERVAL_MILLIS &&
            Math.abs(readyAtMillis - last.readyAtMillis) < MIN_FORECAST_CHANGE_MILLIS
        if (!isCurrent) sentForecasts[key] = SentForecast(readyAtMillis, nowMillis)
        return !isCurrent
    }

    private fun logPlanned(load: ResidencyOrder.Load, view: ResidencyView) {
        val demands = view.demands.filter { it.model == load.model }
        val waiting = demands.sumOf { it.waiting }
        meters.planned(load.source, isWaitedFor = waiting > 0)
        dependencies.events.write(
            "load-planned",
            "model" to load.model,
            "upstream" to load.runner,
            "source" to load.source.name,
            "evicted" to load.evicted.joinToString(),
            "waiting" to waiting,
            "priorities" to demands.flatMap { it.byPriority }
                .joinToString { "${it.priority}: ${it.waiting}" },
            "refused" to (view.refusals[load.model] ?: 0)
        )
    }

    /** Logs a model that cannot be placed, at a limited rate: planning runs many times a second. */
    private fun logBlocked(blocked: BlockedDemand, nowMillis: Long) {
        if (nowMillis - (loggedAtMillis[blocked] ?: Long.MIN_VALUE / 2) < LOG_PERIOD_MILLIS) return
        loggedAtMillis[blocked] = nowMillis
        meters.blocked(blocked.obstacle)
        dependencies.events.write(
            "model-not-placed",
            "model" to blocked.model,
            "adapter" to blocked.adapter,
            "obstacle" to blocked.obstacle.name
        )
    }

    private fun boundsOf(engine: EngineSpec): RunnerBounds = RunnerBounds(
        slots = engine.slots,
        weightMegabytes = engine.weightMegabytes,
        adapterSlots = engine.adapterSlots,
        storeLoadsAtOnce = storeConcurrency.limit,
        overheadMillis = overhead.millis,
        models = engine.models
    )

    private companion object {
        /** Minimum interval between two log lines about the same model and obstacle. */
        const val LOG_PERIOD_MILLIS = 1_000L

        /**
         * Interval at which a forecast is sent again. It is sent at once if the expected time has
         * changed by [MIN_FORECAST_CHANGE_MILLIS] or more.
         */
        const val FORECAST_INTERVAL_MILLIS = 500L
        const val MIN_FORECAST_CHANGE_MILLIS = 250L
    }
}
