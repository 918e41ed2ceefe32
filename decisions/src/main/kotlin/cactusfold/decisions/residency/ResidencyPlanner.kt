package cactusfold.decisions.residency

/**
 * Input of the planner: the state of one service at one point in time.
 *
 * @property arrivalsPerSecond recent arrival rate by model.
 * @property longTermArrivalsPerSecond arrival rate by model over a longer time, since demand that
 *   stopped may return.
 * @property adapterUsedMillis by runner, when each pair of a model and its adapter was last used.
 * @property storeLoadsAllowed loads from the weight store that may start now.
 * @property lastJoinedMillis when a runner last became known for the first time.
 */
public data class ResidencyView(
    public val bounds: RunnerBounds,
    public val runners: List<RunnerState>,
    public val demands: List<ModelDemand>,
    public val arrivalsPerSecond: Map<String, Double>,
    public val longTermArrivalsPerSecond: Map<String, Double>,
    public val adapterUsedMillis: Map<String, Map<Pair<String, String>, Long>>,
    public val storeLoadsAllowed: Int,
    public val lastJoinedMillis: Long
)

/**
 * Decides which models and adapters each runner loads and evicts.
 *
 * A model that requests wait for is loaded where it is ready soonest. Loads are ordered by callers
 * served per load time, where a caller served within its target counts more than one served late.
 * Callers that leave before the load is done count too, as an estimate of those who follow them.
 *
 * Eviction minimizes the expected waiting time: models with other replicas go first, then the model
 * whose absence costs least by its arrival rate and the time to load it again.
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
    val costMillisPerSecond: Double
)

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
    private val inFlightByModel = view.runners.flatMap { it.inFlight.entries }
        .groupingBy { it.key }.fold(0) { sum, entry -> sum + entry.value }
    private val waitingCost = WaitingCost(view, times, replicas)

    fun run(): ResidencyPlan {
        val (present, absent) = view.demands.filter { it.waiting > 0 }.partition { demand ->
            view.runners.any { demand.model in it.served && demand.accepts(it) }
        }
        present.filter { it.adapter != null }.forEach(::placeAdapter)
        val (bound, unbound) = absent.partition { it.softwareVersion != null }
        loadAbsent(unbound)
        loadAtVersions(bound)
        addReplicas()
        if (steps.isEmpty()) preload()
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
        val ordered = merged.sortedWith(
            compareByDescending<ModelDemand> { benefitOf(it) / times.fastestLoadMillis(it.model) }
                .thenBy { it.deadlineAtMillis }
        )
        for (demand in ordered) {
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

    /** Benefit of a load: the callers served, weighted lower if it would miss their target. */
    private fun benefitOf(demand: ModelDemand): Double =
        expectedCallers(demand) * if (canMeetTarget(demand)) 1.0 else LATE_WEIGHT

    /** Callers that a load would serve: waiting, refused, or expected to arrive during the load. */
    private fun expectedCallers(demand: ModelDemand): Double =
        demand.waiting + demand.refusedSinceLoad + waitingCost.arrivalsDuringLoad(demand.model)

    /** Whether a load that is too late for all waiting requests pays off for later callers. */
    private fun paysForLaterCallers(demand: ModelDemand, candidate: Candidate): Boolean {
        if (demand.refusedSinceLoad >= STARVATION_REFUSALS) return true
        val cost = bounds.models[demand.model] ?: return false
        val hasLaterCallers = waitingCost.arrivalsDuringLoad(demand.model) >= MIN_LATER_CALLERS
        return hasLaterCallers && waitingCost.ofAbsence(cost) > candidate.costMillisPerSecond
    }

    private fun merge(demands: List<ModelDemand>): ModelDemand = demands.first().copy(
        adapter = null,
        waiting = demands.sumOf { it.waiting },
        targetAtMillis = demands.minOf { it.targetAtMillis },
        deadlineAtMillis = demands.maxOf { it.deadlineAtMillis }
    )

    private fun canMeetTarget(demand: ModelDemand): Boolean =
        nowMillis + times.fastestLoadMillis(demand.model) + bounds.overheadMillis <=
            demand.targetAtMillis

    private fun readyAtMillis(candidate: Candidate): Long =
        nowMillis + candidate.loadMillis + bounds.overheadMillis

    private fun bestCandidate(demand: ModelDemand): Candidate? {
        val candidates = view.runners.mapNotNull { candidateOn(it, demand) }
        return candidates.minWithOrNull(
            compareBy<Candidate> { it.loadMillis }.thenBy { it.costMillisPerSecond }
                .thenBy { it.runner.inFlight.values.sum() }
        )
    }

    private fun candidateOn(runner: RunnerState, demand: ModelDemand): Candidate? {
        val cost = bounds.models[demand.model] ?: return null
        if (!mayOrder(runner) || !demand.accepts(runner)) return null
        val source = runner.sourceOf(demand.model)
        if (source == WeightSource.STORE && !mayLoadFromStore()) return null
        val evicted = evictions(runner, cost.weightMegabytes) ?: return null
        return Candidate(
            demand,
            runner,
            source,
            evicted,
            cost.loadMillis(source),
            evicted.sumOf(waitingCost::ofEvicting) +
                waitingCost.ofDelayingAdapters(runner, cost.loadMillis(source))
        )
    }

    private fun mayLoadFromStore(): Boolean =
        storeLoads < bounds.storeLoadsAtOnce && remainingStoreStarts > 0

    private fun order(candidate: Candidate) {
        orderedRunners += candidate.runner.id
        queue.began(candidate.runner.id, candidate.source, candidate.loadMillis)
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

    /** Returns the models to evict so that [megabytes] fit, or null if that is impossible. */
    private fun evictions(runner: RunnerState, megabytes: Double): List<String>? {
        var free = bounds.weightMegabytes - usedMegabytes(runner)
        if (free >= megabytes) return emptyList()
        val evicted = mutableListOf<String>()
        val removable = runner.adaptersByModel.keys
            .filter { it !in wanted && (runner.inFlight[it] ?: 0) == 0 }
            .sortedWith(compareBy(waitingCost::ofEvicting, { runner.lastUsedMillis[it] ?: 0L }))
        for (model in removable) {
            evicted += model
            free += residentMegabytes(runner, model)
            if (free >= megabytes) return evicted
        }
        return null
    }

    private fun usedMegabytes(runner: RunnerState): Double {
        val resident = runner.adaptersByModel.keys.sumOf { residentMegabytes(runner, it) }
        val pending = runner.loading?.takeIf { it !in runner.adaptersByModel }
            ?.let { bounds.models[it]?.weightMegabytes } ?: 0.0
        return resident + pending
    }

    /** A model that is no longer configured has unknown size and counts as filling the runner. */
    private fun residentMegabytes(runner: RunnerState, model: String): Double {
        val cost = bounds.models[model] ?: return bounds.weightMegabytes
        return cost.weightMegabytes +
            runner.adaptersByModel[model].orEmpty().size * cost.adapterMegabytes
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

    private fun placeAdapter(demand: ModelDemand) {
        val adapter = demand.adapter ?: return
        val serving = view.runners.filter { demand.model in it.served && demand.accepts(it) }
        if (serving.any { adapter in it.served.getValue(demand.model) || isOrdered(it, demand) }) {
            return
        }
        val runner = serving.filter(::mayOrder).minWithOrNull(
            compareBy<RunnerState> { if (freeAdapterSlots(it) > 0) 0 else 1 }
                .thenBy { it.inFlight.values.sum() }
        )
        if (runner == null) {
            blocked += BlockedDemand(demand.model, adapter, Obstacle.RUNNERS_BUSY)
            return
        }
        val isFull = freeAdapterSlots(runner) <= 0
        if (isFull) needAdapterSlots += demand.model
        val evicted = if (isFull) idleAdapter(runner) else null
        if (isFull && evicted == null) {
            blocked += BlockedDemand(demand.model, adapter, Obstacle.NO_ROOM)
            return
        }
        orderedRunners += runner.id
        steps += ResidencyOrder.LoadAdapter(runner.id, demand.model, adapter, evicted)
    }

    private fun isOrdered(runner: RunnerState, demand: ModelDemand): Boolean =
        runner.adapterOrders > 0 && demand.adapter in runner.adaptersByModel[demand.model].orEmpty()

    private fun freeAdapterSlots(runner: RunnerState): Int =
        bounds.adapterSlots - runner.adaptersByModel.values.sumOf { it.size }

    private fun idleAdapter(runner: RunnerState): Pair<String, String>? {
        val used = view.adapterUsedMillis[runner.id].orEmpty()
        return runner.adaptersByModel.flatMap { (model, adapters) -> adapters.map { model to it } }
            .filter { nowMillis - (used[it] ?: 0L) > ADAPTER_IDLE_MILLIS }
            .minByOrNull { used[it] ?: 0L }
    }

    /**
     * Adds a replica of a model whose runners limit their requests to fewer than arrive, or are
     * busy or out of adapter slots. It is loaded from the weight store only while less than half of
     * the store's concurrent loads are in use, to leave capacity for models that no runner has.
     */
    private fun addReplicas() {
        val replicated = view.arrivalsPerSecond.keys.filter { (replicas[it] ?: 0) > 0 }
        val mostLimited = replicated.filter { missedPerSecond(it) > 0 }
            .maxByOrNull(::missedPerSecond)
        val busiest = replicated.filter { loadPerReplica(it) > BUSY_SLOT_SHARE }
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

    private fun loadPerReplica(model: String): Double {
        val inFlight = inFlightByModel[model] ?: 0
        return inFlight / (replicas.getValue(model) * bounds.slots.toDouble())
    }

    private companion object {
        /** Weight of a caller served after its target, relative to one served in time. */
        const val LATE_WEIGHT = 1.0 / 3

        /**
         * Expected arrivals during a load that justify it although no waiting caller can be served.
         */
        const val MIN_LATER_CALLERS = 2.0

        /**
         * Refusals after which a model is loaded regardless of its demand, to prevent starvation.
         */
        const val STARVATION_REFUSALS = 3

        /** Minimum ratio of a preloaded model's absence cost to the waiting cost of loading it. */
        const val MIN_GAIN = 3.0

        /** Longer than it takes to register and read runners that start together, one by one. */
        const val REGISTRATION_SETTLE_MILLIS = 3_000L

        /** Adapters used more recently than this are not evicted. */
        const val ADAPTER_IDLE_MILLIS = 500L

        /**
         * Share of used slots above which a runner counts as busy. Engines process prompts between
         * the decoding steps of all responses, so responses stall long before the slots are full.
         */
        const val BUSY_SLOT_SHARE = 0.2
    }
}
