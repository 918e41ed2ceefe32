package cactusfold.decisions.residency

import kotlinx.collections.immutable.toImmutableList

/**
 * Input of the planner: the state of one service at one point in time.
 *
 * @property arrivalsPerSecond recent arrival rate by model.
 * @property longTermArrivalsPerSecond arrival rate by model over a longer time, since demand that
 *   stopped may return.
 * @property adapterUsedMillis by runner, when each pair of a model and its adapter was last used.
 * @property storeLoadsAllowed loads from the weight store that may start now.
 * @property lastJoinedMillis when a runner last became known for the first time.
 * @property usesPriorities whether the service's callers have different priorities. If not, loads
 *   are ordered by callers served per load time only.
 * @property arrivalsByPriority long-term arrival rate by model and priority.
 * @property refusals refused callers by model since the model's last load.
 */
public data class ResidencyView(
    public val bounds: RunnerBounds,
    public val runners: List<RunnerState>,
    public val demands: List<ModelDemand>,
    public val arrivalsPerSecond: Map<String, Double>,
    public val longTermArrivalsPerSecond: Map<String, Double>,
    public val adapterUsedMillis: Map<String, Map<Pair<String, String>, Long>>,
    public val storeLoadsAllowed: Int,
    public val lastJoinedMillis: Long,
    public val usesPriorities: Boolean = false,
    public val arrivalsByPriority: Map<String, Map<Int, Double>> = emptyMap(),
    public val refusals: Map<String, Int> = emptyMap()
)

/**
 * Decides which models and adapters each runner loads and evicts.
 *
 * A model that requests wait for is loaded where it is ready soonest. Loads are ordered by callers
 * served per load time, where a caller served within its target counts more than one served late.
 * Callers that leave before the load is done count too, as an estimate of those who follow them.
 * Where priorities differ, [LoadOrder] weighs them. [EvictionChoice] decides what is evicted.
 */
public class ResidencyPlanner {
    /** Returns the orders to send now and the forecasts for waiting requests. */
    public fun plan(view: ResidencyView, nowMillis: Long): ResidencyPlan =
        Planning(view, nowMillis).run()
}

private class Candidate(
    val demand: ModelDemand,
    val runner: RunnerState,
    val source: WeightSource,
    val evicted: List<String>,
    val loadMillis: Long,
    val costMillisPerSecond: Double,
    val drainMillis: Long
) {
    /** Time until the weights are read, including the requests that have to end before. */
    val totalMillis: Long = drainMillis + loadMillis
}

private class Planning(private val view: ResidencyView, private val nowMillis: Long) {
    private val bounds = view.bounds
    private val steps = mutableListOf<ResidencyOrder>()
    private val forecasts = LoadForecasts()
    private val blocked = mutableListOf<BlockedDemand>()
    private val orderedRunners = mutableSetOf<String>()
    private val needAdapterSlots = mutableSetOf<String>()
    private val times = LoadTimes(view)
    private val queue = LoadQueue(view, nowMillis)
    private val wanted = view.demands.mapTo(mutableSetOf()) { it.model }
    private var storeLoads = view.runners.count { it.loadsFromStore }
    private var remainingStoreStarts = view.storeLoadsAllowed
    private val replicas = view.runners.flatMap { it.served.keys }.groupingBy { it }
        .eachCount().toMutableMap()
    private val waitingCost = WaitingCost(view, times, replicas)
    private val loadOrder = LoadOrder(view, nowMillis, times, waitingCost)
    private val evictions = EvictionChoice(view, times, waitingCost, replicas, wanted)
    private val adapterRoom = AdapterRoom(view, nowMillis, evictions)

    fun run(): ResidencyPlan {
        val (present, absent) = view.demands.filter { it.waiting > 0 }.partition { demand ->
            view.runners.any { demand.model in it.served && demand.accepts(it) }
        }
        present.filter { it.adapter != null }.forEach(::placeAdapter)
        val (bound, unbound) = absent.partition { it.softwareVersion != null }
        loadAbsent(unbound)
        loadAtVersions(bound)
        addReplicas()
        if (view.usesPriorities) {
            preloadExpected()
        } else if (steps.isEmpty()) {
            preload()
        }
        return ResidencyPlan(
            steps,
            forecasts.tooLate,
            forecasts.readyAtMillis,
            blocked,
            forecasts.atVersions
        )
    }

    /**
     * Loads models for streams that only runners of one software version can continue. A caller for
     * whom the load is too late returns, since it has a part of its stream.
     */
    private fun loadAtVersions(absent: List<ModelDemand>) {
        val merged = absent.groupBy { Triple(it.model, it.softwareVersion, it.homeRegions) }.values
            .map(::merge)
        for (demand in merged.sortedByDescending { it.waiting }) {
            val version = demand.softwareVersion ?: continue
            val loading = view.runners
                .firstOrNull { it.loading == demand.model && demand.accepts(it) }
            val candidate = if (loading == null) bestCandidate(demand) else null
            val ready = loading?.loadedAtMillis ?: candidate?.let(::readyAtMillis)
            if (ready == null) {
                blocked += BlockedDemand(demand.model, null, obstacleOf(demand, null))
                continue
            }
            forecasts.atVersions +=
                VersionForecast(demand.model, version, ready, demand.homeRegions)
            candidate?.let(::order)
        }
    }

    private fun loadAbsent(absent: List<ModelDemand>) {
        val all = absent.groupBy { it.model to it.homeRegions }.values.map(::merge)
        val (inProgress, merged) = all.partition { loadInProgress(it) != null }
        for (demand in inProgress) forecasts.record(demand, loadInProgress(demand)!!.loadedAtMillis)
        for (demand in loadOrder.sorted(merged)) {
            val ready = orderedReadyAtMillis(demand) ?: forecasts.placing(demand) { place(demand) }
            forecasts.record(demand, ready)
        }
    }

    private fun place(demand: ModelDemand) {
        val candidate = bestCandidate(demand)?.takeUnless(::isLocalLoadSooner)
        val isInTime = candidate != null && readyAtMillis(candidate) <= demand.deadlineAtMillis
        if (candidate != null && (isInTime || paysForLaterCallers(demand, candidate))) {
            return order(candidate)
        }
        blocked += BlockedDemand(demand.model, null, obstacleOf(demand, candidate))
        bounds.models[demand.model]?.let {
            forecasts.readyAtMillis[it.name] = queue.readyAtMillis(it, demand::accepts)
        }
    }

    private fun loadInProgress(demand: ModelDemand): RunnerState? =
        view.runners.lastOrNull { it.loading == demand.model && demand.accepts(it) }

    /** Returns when a load that this plan has already serves [demand]; null if there is none. */
    private fun orderedReadyAtMillis(demand: ModelDemand): Long? =
        steps.filterIsInstance<ResidencyOrder.Load>()
            .find { step ->
                step.model == demand.model &&
                    view.runners.any { it.id == step.runner && demand.accepts(it) }
            }
            ?.let { nowMillis + it.loadMillis + bounds.overheadMillis }

    /**
     * Whether waiting for a busy runner that has the weights is faster than loading from the store.
     */
    private fun isLocalLoadSooner(candidate: Candidate): Boolean {
        if (candidate.source != WeightSource.STORE) return false
        val cost = bounds.models[candidate.demand.model] ?: return false
        return (queue.localLoadReadyAtMillis(cost, candidate.demand::accepts) ?: return false) <
            readyAtMillis(candidate)
    }

    private fun obstacleOf(demand: ModelDemand, candidate: Candidate?): Obstacle {
        if (candidate != null) return Obstacle.TOO_LATE
        val accepting = view.runners.filter(demand::accepts)
        val free = accepting.filter(::mayOrder)
        val hasLocalCopy = accepting.any { it.sourceOf(demand.model) != WeightSource.STORE }
        val needsStore = free.all { it.sourceOf(demand.model) == WeightSource.STORE }
        return when {
            free.isEmpty() || needsStore && hasLocalCopy -> Obstacle.RUNNERS_BUSY
            needsStore && !mayLoadFromStore() -> Obstacle.STORE_LIMIT
            else -> Obstacle.NO_ROOM
        }
    }

    /** Allows one order at a time per runner, so that each decision sees the effect of the last. */
    private fun mayOrder(runner: RunnerState): Boolean =
        !runner.isBusy && runner.adapterOrders == 0 && runner.id !in orderedRunners

    /** Whether a load that is too late for all waiting requests pays off for later callers. */
    private fun paysForLaterCallers(demand: ModelDemand, candidate: Candidate): Boolean {
        if (demand.refusedSinceLoad >= STARVATION_REFUSALS) return true
        val cost = bounds.models[demand.model] ?: return false
        val hasLaterCallers = waitingCost.arrivalsDuringLoad(demand.model) >=
            LoadOrder.MIN_LATER_CALLERS
        return hasLaterCallers && waitingCost.ofAbsence(cost) > candidate.costMillisPerSecond
    }

    private fun merge(demands: List<ModelDemand>): ModelDemand = demands.first().copy(
        adapter = null,
        waiting = demands.sumOf { it.waiting },
        targetAtMillis = demands.minOf { it.targetAtMillis },
        deadlineAtMillis = demands.maxOf { it.deadlineAtMillis },
        byPriority = PriorityDemand.mergeAll(demands.flatMap { it.byPriority }).toImmutableList()
    )

    private fun readyAtMillis(candidate: Candidate): Long =
        nowMillis + candidate.totalMillis + bounds.overheadMillis

    private fun bestCandidate(demand: ModelDemand): Candidate? {
        val candidates = view.runners.mapNotNull { candidateOn(it, demand) }
        return candidates.minWithOrNull(
            compareBy<Candidate> { it.totalMillis }.thenBy { it.costMillisPerSecond }
                .thenBy { it.runner.inFlight.values.sum() }
        )
    }

    private fun candidateOn(runner: RunnerState, demand: ModelDemand): Candidate? {
        val cost = bounds.models[demand.model] ?: return null
        if (!mayOrder(runner) || !demand.accepts(runner)) return null
        val source = runner.sourceOf(demand.model)
        if (source == WeightSource.STORE && !mayLoadFromStore()) return null
        val mayDrain = view.usesPriorities && source != WeightSource.STORE
        val evicted = evictions.of(runner, cost.weightMegabytes, mayDrain) ?: return null
        val drains = evicted.any { (runner.inFlight[it] ?: 0) > 0 }
        return Candidate(
            demand,
            runner,
            source,
            evicted,
            cost.loadMillis(source),
            evicted.sumOf(waitingCost::ofEvicting) +
                waitingCost.ofDelayingAdapters(runner, cost.loadMillis(source)),
            if (drains) DRAIN_MILLIS else 0
        )
    }

    private fun mayLoadFromStore(): Boolean =
        storeLoads < bounds.storeLoadsAtOnce && remainingStoreStarts > 0

    private fun order(candidate: Candidate) {
        orderedRunners += candidate.runner.id
        queue.began(candidate.runner.id, candidate.source, candidate.totalMillis)
        if (candidate.source == WeightSource.STORE) {
            storeLoads++
            remainingStoreStarts--
        }
        candidate.evicted.forEach { replicas.merge(it, -1, Int::plus) }
        replicas.merge(candidate.demand.model, 1, Int::plus)
        forecasts.readyAtMillis[candidate.demand.model] = readyAtMillis(candidate)
        steps += ResidencyOrder.Load(
            candidate.runner.id,
            candidate.demand.model,
            candidate.source,
            candidate.evicted,
            candidate.loadMillis
        )
    }

    /** Preloads a model that is more likely to be requested than the models evicted for it. */
    private fun preload() {
        if (view.demands.any { it.waiting > 0 } || view.runners.any { it.loading != null }) return
        // A runner that has not reported yet may have the model.
        if (nowMillis - view.lastJoinedMillis < REGISTRATION_SETTLE_MILLIS) return
        val absent = bounds.models.values.filter { (replicas[it.name] ?: 0) == 0 }
        val cost = absent.maxByOrNull(waitingCost::ofAbsence) ?: return
        val demand = ModelDemand(cost.name, null, 1, nowMillis, Long.MAX_VALUE)
        val candidate = view.runners.mapNotNull { candidateOn(it, demand) }
            .minWithOrNull(compareBy({ it.loadMillis }, { it.costMillisPerSecond })) ?: return
        if (waitingCost.ofAbsence(cost) > MIN_GAIN * candidate.costMillisPerSecond) order(candidate)
    }

    /**
     * Loads a model that callers are expected for and no runner has, one at a time: from a disk or
     * host memory into free room of an idle runner, and from the weight store while less than half
     * of its concurrent loads are in use, since callers that wait go first.
     */
    private fun preloadExpected() {
        if (nowMillis - view.lastJoinedMillis < REGISTRATION_SETTLE_MILLIS) return
        val loading = view.runners.mapNotNullTo(mutableSetOf()) { it.loading }
        val expected = bounds.models.keys.filter { model ->
            (replicas[model] ?: 0) == 0 &&
                model !in loading &&
                model !in wanted &&
                callersExpected(model) >= MIN_EXPECTED_CALLERS
        }.sortedWith(
            compareBy<String> { view.arrivalsByPriority[it]?.keys?.minOrNull() ?: Int.MAX_VALUE }
                .thenByDescending(::callersExpected)
        )
        val (local, stored) = expected.partition(times::hasLocalCopy)
        local.firstNotNullOfOrNull { model ->
            expectedCandidates(model).filter { it.evicted.isEmpty() }
                .filter { it.source != WeightSource.STORE && it.runner.inFlight.isEmpty() }
                .minByOrNull { it.loadMillis }
        }?.let(::order)
        if (2 * storeLoads >= bounds.storeLoadsAtOnce) return
        stored.firstNotNullOfOrNull { model ->
            val absence = waitingCost.ofAbsence(bounds.models.getValue(model))
            expectedCandidates(model).filter { it.evicted.none(evictions::isLastCopy) }
                .filter { it.costMillisPerSecond < absence }
                .minByOrNull { it.costMillisPerSecond }
        }?.let(::order)
    }

    private fun expectedCandidates(model: String): List<Candidate> {
        val demand = ModelDemand(model, null, 1, nowMillis, Long.MAX_VALUE)
        return view.runners.mapNotNull { candidateOn(it, demand) }
    }

    /** Callers of [model] that were refused, and those that its arrivals of a minute predict. */
    private fun callersExpected(model: String): Double = (view.refusals[model] ?: 0) +
        (view.longTermArrivalsPerSecond[model] ?: 0.0) * EXPECTED_WITHIN_SECONDS

    private fun placeAdapter(demand: ModelDemand) {
        val adapter = demand.adapter ?: return
        val serving = view.runners.filter { demand.model in it.served && demand.accepts(it) }
        if (serving.any { adapter in it.served.getValue(demand.model) || isOrdered(it, demand) }) {
            return
        }
        val free = serving.filter(::mayOrder).sortedBy { it.inFlight.values.sum() }
        val order = free.mapNotNull { adapterRoom.orderOn(it, demand.model, adapter) }
            .minByOrNull { if (it.evicted == null) 0 else 1 }
        val hasRoom = order != null && order.evicted == null
        if (free.isNotEmpty() && !hasRoom) needAdapterSlots += demand.model
        if (order == null) {
            val obstacle = if (free.isEmpty()) Obstacle.RUNNERS_BUSY else Obstacle.NO_ROOM
            blocked += BlockedDemand(demand.model, adapter, obstacle)
            return
        }
        orderedRunners += order.runner
        steps += order
    }

    private fun isOrdered(runner: RunnerState, demand: ModelDemand): Boolean =
        runner.adapterOrders > 0 && demand.adapter in runner.adaptersByModel[demand.model].orEmpty()

    /**
     * Adds a replica of a model whose runners limit their requests to fewer than arrive, or are
     * busy or out of adapter slots. It is loaded from the weight store only while less than half of
     * the store's concurrent loads are in use, to leave capacity for models that no runner has.
     */
    private fun addReplicas() {
        val replicated = view.arrivalsPerSecond.keys.filter { (replicas[it] ?: 0) > 0 }
        val mostLimited = replicated.filter { missedPerSecond(it) > 0 }
            .maxByOrNull(::missedPerSecond)
        val busiest = replicated
            .filter { loadPerReplica(it) > EvictionChoice.BUSY_SLOT_SHARE }
            .maxByOrNull(::loadPerReplica)
        val model = mostLimited
            ?: busiest
            ?: needAdapterSlots.maxByOrNull { view.arrivalsPerSecond[it] ?: 0.0 }
            ?: return
        if (view.runners.any { it.loading == model }) return
        val demand = ModelDemand(model, null, 1, nowMillis, Long.MAX_VALUE)
        wanted += model
        val hasSpareStoreLoads = 2 * storeLoads < bounds.storeLoadsAtOnce
        val candidate = view.runners.filter { model !in it.served && it.requestsPerSecond == null }
            .mapNotNull { candidateOn(it, demand) }
            .filter { it.source != WeightSource.STORE || hasSpareStoreLoads }
            .minWithOrNull(compareBy({ it.costMillisPerSecond }, { it.loadMillis })) ?: return
        order(candidate)
    }

    /**
     * Returns by how much the arrivals for [model] exceed what its runners accept; zero unless all
     * of them limit their requests. The models of a runner share its limit by their arrivals.
     */
    private fun missedPerSecond(model: String): Double {
        val arrivals = view.arrivalsPerSecond[model] ?: return 0.0
        // A model that this plan loads for the first time has a replica, but no runner yet.
        val serving = view.runners.filter { model in it.served }.ifEmpty { return 0.0 }
        val accepted = serving.sumOf { runner ->
            val limit = runner.requestsPerSecond ?: return 0.0
            limit * arrivals / runner.served.keys.sumOf { view.arrivalsPerSecond[it] ?: 0.0 }
        }
        return (arrivals - accepted).coerceAtLeast(0.0)
    }

    private fun loadPerReplica(model: String): Double =
        evictions.loadPerReplica(model, replicas.getValue(model))

    private companion object {
        /**
         * Refusals after which a model is loaded regardless of its demand, to prevent starvation.
         */
        const val STARVATION_REFUSALS = 3

        /** Minimum ratio of a preloaded model's absence cost to the waiting cost of loading it. */
        const val MIN_GAIN = 3.0

        /** Longer than it takes to register and read runners that start together, one by one. */
        const val REGISTRATION_SETTLE_MILLIS = 3_000L

        /** Time that the last requests of a drained model take: an answer of 100 tokens or so. */
        const val DRAIN_MILLIS = 1_000L

        /** Callers for whom a model is loaded before they come. */
        const val MIN_EXPECTED_CALLERS = 1.0

        /** The time constant of the long-term rate, over which past arrivals predict later ones. */
        const val EXPECTED_WITHIN_SECONDS = 60.0
    }
}
