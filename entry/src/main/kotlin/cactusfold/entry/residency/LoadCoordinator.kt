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

/** Carries out the planner's decisions while this process is the coordinator. */
public class LoadCoordinator(
    private val scope: CoroutineScope,
    private val directory: UpstreamDirectory,
    private val demand: FleetDemand,
    private val context: DeskContext,
    loadWindowMillis: Long,
    private val table: () -> RouteTable?
) {
    /** What members heard last of a model. */
    private class Told(val readyAtMillis: Long, val atMillis: Long)

    private val planner = ResidencyPlanner()
    private val overhead = LoadOverhead()
    private val storeConcurrency = StoreConcurrency()
    private val works = HashMap<String, RunnerWork>()
    private val refusals = ModelRefusals()
    private val told = HashMap<String, Told>()
    private val reportedAtMillis = HashMap<BlockedDemand, Long>()
    private val storeLoads = StoreLoadWindow(loadWindowMillis)
    private val jobs = SupervisorJob()
    private val gate = PlanningGate()

    /** Called with runners whose holdings changed. */
    public var onHoldings: (Upstream) -> Unit = {}

    /** Called with forecasts for models that requests wait for. */
    public var onForecasts: (List<Forecast>) -> Unit = {}

    /** Takes note that this process has become the coordinator, perhaps after another. */
    public fun start() {
        storeLoads.succeeded(context.clock.nowMillis())
    }

    /** Drops all work; what is on its way is settled by the next coordinator. */
    public fun stop() {
        jobs.cancelChildren()
        works.clear()
        refusals.clear()
        reportedAtMillis.clear()
        told.clear()
    }

    /** Plans and begins what is to be done now. */
    public fun step() {
        val current = table() ?: return
        if (!context.mayOrder()) {
            gate.closed()
            return
        }
        val nowMillis = context.clock.nowMillis()
        for (service in current.config.services.values) {
            val engine = service.engine ?: continue
            val runners = directory.usable.filter { it.entry.service == service.name }
            val reachable = reachable(runners, nowMillis)
            learn(reachable)
            val known = reachable.count { it.isKnown }
            if (!gate.mayPlan(known, reachable.size, nowMillis)) continue
            carryOut(planner.plan(viewOf(engine, reachable, nowMillis), nowMillis), nowMillis)
        }
    }

    private fun reachable(runners: List<Upstream>, nowMillis: Long): List<RunnerWork> {
        val unreachable = demand.unreachable(nowMillis)
        return runners.filter { it.entry.id !in unreachable }.map(::workOf)
    }

    private fun learn(works: List<RunnerWork>) {
        works.filter { it.needsLearning }.forEach { scope.launch(jobs) { it.learn() } }
    }

    private fun viewOf(
        engine: EngineSpec,
        reachable: List<RunnerWork>,
        nowMillis: Long
    ): ResidencyView {
        val inFlight = demand.inFlight(nowMillis)
        val known = engine.models.keys
        return ResidencyView(
            bounds = boundsOf(engine),
            runners = reachable.map {
                it.state(inFlight[it.upstream.entry.id].orEmpty(), nowMillis)
            },
            demands = demand.demands(nowMillis).filter { it.model in known }
                .map { it.copy(refusedSinceLoad = refusals.count(it.model)) },
            arrivalsPerSecond = demand.arrivalsPerSecond(nowMillis).filterKeys { it in known },
            longTermArrivalsPerSecond = demand.longTermArrivalsPerSecond(nowMillis)
                .filterKeys { it in known },
            adapterUsedMillis = adaptersInUse(nowMillis),
            storeLoadsAllowed = storeLoadsAllowed(engine, nowMillis),
            lastJoinedMillis = directory.lastJoinedMillis
        )
    }

    private fun workOf(upstream: Upstream): RunnerWork {
        val known = works[upstream.entry.id]
        if (known != null && known.upstream === upstream) return known
        return RunnerWork(upstream, context, overhead, storeConcurrency, ::held).also {
            works[upstream.entry.id] = it
        }
    }

    private fun held(upstream: Upstream) {
        onHoldings(upstream)
        directory.changed()
    }

    private fun adaptersInUse(nowMillis: Long): Map<String, Map<Pair<String, String>, Long>> {
        for ((runner, adapters) in demand.adaptersInFlight(nowMillis)) {
            val used = works[runner]?.adapterUsedMillis ?: continue
            adapters.forEach { used[it] = nowMillis }
        }
        return works.mapValues { (_, work) -> work.adapterUsedMillis.toMap() }
    }

    private fun storeLoadsAllowed(engine: EngineSpec, nowMillis: Long): Int =
        engine.storeLoadsPerSecond?.let { storeLoads.allowed(it, nowMillis) } ?: Int.MAX_VALUE

    private fun carryOut(plan: ResidencyPlan, nowMillis: Long) {
        plan.blocked.forEach { report(it, nowMillis) }
        plan.tooLate.forEach { refusals.refused(it, nowMillis) }
        for (step in plan.steps) {
            val work = directory.find(step.runner)?.let(::workOf) ?: continue
            if (step is ResidencyOrder.Load && step.source == WeightSource.STORE) {
                storeLoads.began(nowMillis)
            }
            if (step is ResidencyOrder.Load) refusals.loading(step.model)
            work.begin(step, nowMillis)
            scope.launch(jobs) { work.carryOut(step) }
        }
        val forecasts = plan.readyAtMillis.filter { (model, readyAtMillis) ->
            model in plan.tooLate || isNews(model, readyAtMillis, nowMillis)
        }.map { (model, readyAtMillis) ->
            Forecast.newBuilder()
                .setModel(model)
                .setIsRefused(model in plan.tooLate)
                .setReadyInMillis((readyAtMillis - nowMillis).coerceAtLeast(0))
                .build()
        }
        if (forecasts.isNotEmpty()) onForecasts(forecasts)
    }

    /** Whether members should hear again when [model] will be there. */
    private fun isNews(model: String, readyAtMillis: Long, nowMillis: Long): Boolean {
        val told = told[model]
        val isKnown = told != null &&
            nowMillis - told.atMillis < TELL_MILLIS &&
            Math.abs(readyAtMillis - told.readyAtMillis) < TELL_CHANGE_MILLIS
        if (!isKnown) this.told[model] = Told(readyAtMillis, nowMillis)
        return !isKnown
    }

    /** Logs once in a while what is waited for in vain; plans are made many times a second. */
    private fun report(blocked: BlockedDemand, nowMillis: Long) {
        if (nowMillis - (reportedAtMillis[blocked] ?: Long.MIN_VALUE / 2) < REPORT_MILLIS) return
        reportedAtMillis[blocked] = nowMillis
        context.events.write(
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
        /** Pause between two lines about the same obstacle. */
        const val REPORT_MILLIS = 1_000L

        /** Members hear so often when a model will be there, and at once when that changes by so much. */
        const val TELL_MILLIS = 500L
        const val TELL_CHANGE_MILLIS = 250L
    }
}
