package cactusfold.decisions.residency

/**
 * What the planner sees of one service at one moment.
 *
 * @property arrivalsPerSecond by model, lately.
 * @property longTermArrivalsPerSecond by model, over a longer time: demand that fell silent may come back.
 * @property adapterUsedMillis when each adapter, as model and adapter, was last used, by runner.
 * @property storeLoadsAllowed loads from the weight store that may begin now.
 * @property lastJoinedMillis when a runner was last heard of for the first time.
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
 * Decides which models runners hold.
 *
 * A model that requests wait for is loaded where it is there soonest. Loads that serve the
 * most callers in the least time go first, and an answer in time counts more than a late one; callers
 * that leave before a load can be done count for those who come after them. A runner makes
 * room by giving up what costs least: a copy of which there are others, else the model whose return
 * costs the least waiting, by its rate of arrivals and by the time that loading it again takes.
 */
public class ResidencyPlanner {
    /** Returns what to do now. */
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
    private val tooLate = mutableListOf<String>()
    private val readyAt = mutableMapOf<String, Long>()
    private val blocked = mutableListOf<BlockedDemand>()
    private val orderedRunners = mutableSetOf<String>()
    private val modelsOutOfAdapterSlots = mutableSetOf<String>()
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
        val (present, absent) = view.demands.filter { it.waiting > 0 }
            .partition { demand -> view.runners.any { demand.model in it.served } }
        present.filter { it.adapter != null }.forEach(::placeAdapter)
        loadAbsent(absent)
        addReplicas()
        if (steps.isEmpty()) preload()
        return ResidencyPlan(steps, tooLate, readyAt, blocked)
    }

    private fun loadAbsent(absent: List<ModelDemand>) {
        val loading = view.runners.filter { it.loading != null }
            .associate { it.loading!! to it.loadedAtMillis }
        val all = absent.groupBy { it.model }.map { (_, demands) -> merge(demands) }
        val (inProgress, merged) = all.partition { it.model in loading }
        for (demand in inProgress) {
            val loadedAt = loading.getValue(demand.model)
            if (loadedAt > demand.deadlineAtMillis) tooLate += demand.model
            readyAt[demand.model] = loadedAt
        }
        val ordered = merged.sortedWith(
            compareByDescending<ModelDemand> {
                weightedCallers(it) /
                    times.fastestLoadMillis(it.model)
            }
                .thenBy { it.deadlineAtMillis }
        )
        for (demand in ordered) {
            val candidate = bestCandidate(demand)?.takeUnless(::isLocalLoadSooner)
            val isInTime = candidate != null && readyAt(candidate) <= demand.deadlineAtMillis
            if (candidate != null &&
                (isInTime || isWorthLoadingForLaterCallers(demand, candidate))
            ) {
                commit(candidate)
            } else {
                blocked += BlockedDemand(demand.model, null, obstacleOf(demand, candidate))
                bounds.models[demand.model]?.let { readyAt[it.name] = queue.readyAtMillis(it) }
            }
            val ready = readyAt[demand.model] ?: Long.MAX_VALUE
            if (ready > demand.deadlineAtMillis) tooLate += demand.model
        }
    }

    /** A copy on a runner that is about to be free may be there before a load from the store. */
    private fun isLocalLoadSooner(candidate: Candidate): Boolean {
        if (candidate.source != WeightSource.STORE) return false
        val cost = bounds.models[candidate.demand.model] ?: return false
        return (queue.localLoadReadyAtMillis(cost) ?: return false) < readyAt(candidate)
    }

    private fun obstacleOf(demand: ModelDemand, candidate: Candidate?): Obstacle {
        if (candidate != null) return Obstacle.TOO_LATE
        val free = view.runners.filter { mayOrder(it) }
        val hasLocalCopy = view.runners.any {
            it.sourceOf(demand.model) != WeightSource.STORE
        }
        val needsStore = free.all { it.sourceOf(demand.model) == WeightSource.STORE }
        return when {
            free.isEmpty() || needsStore && hasLocalCopy -> Obstacle.RUNNERS_BUSY
            needsStore && !mayLoadFromStore() -> Obstacle.STORE_LIMIT
            else -> Obstacle.NO_ROOM
        }
    }

    /** One order at a time to a runner, so that each decision sees the one before. */
    private fun mayOrder(runner: RunnerState): Boolean =
        !runner.isBusy && runner.adapterOrders == 0 && runner.id !in orderedRunners

    /** Callers that a load would serve, those that it would serve late counting less. */
    private fun weightedCallers(demand: ModelDemand): Double =
        expectedCallers(demand) * if (canMeetTarget(demand)) 1.0 else LATE_WEIGHT

    /** Callers that a load would serve: those that wait, were refused, or will come meanwhile. */
    private fun expectedCallers(demand: ModelDemand): Double =
        demand.waiting + demand.refusedSinceLoad + waitingCost.arrivalsDuringLoad(demand.model)

    /** Whether a load pays though it comes too late for all that wait. */
    private fun isWorthLoadingForLaterCallers(demand: ModelDemand, candidate: Candidate): Boolean {
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

    private fun readyAt(candidate: Candidate): Long =
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
        if (!mayOrder(runner)) return null
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

    private fun commit(candidate: Candidate) {
        orderedRunners += candidate.runner.id
        queue.began(candidate.runner.id, candidate.source, candidate.loadMillis)
        if (candidate.source == WeightSource.STORE) {
            storeLoads++
            remainingStoreStarts--
        }
        candidate.evicted.forEach { replicas.merge(it, -1, Int::plus) }
        replicas.merge(candidate.demand.model, 1, Int::plus)
        readyAt[candidate.demand.model] = readyAt(candidate)
        steps += ResidencyOrder.Load(
            candidate.runner.id,
            candidate.demand.model,
            candidate.source,
            candidate.evicted,
            candidate.loadMillis
        )
    }

    /** Returns the models to unload so that [megabytes] fit, or null when they can't. */
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

    /** A model that the configuration does not name any more is taken to fill the runner. */
    private fun residentMegabytes(runner: RunnerState, model: String): Double {
        val cost = bounds.models[model] ?: return bounds.weightMegabytes
        return cost.weightMegabytes +
            runner.adaptersByModel[model].orEmpty().size * cost.adapterMegabytes
    }

    /** Brings back a model that is likelier to be asked for than what makes way for it. */
    private fun preload() {
        if (view.demands.any { it.waiting > 0 } || view.runners.any { it.loading != null }) return
        // A runner that is not heard of yet may hold the model.
        if (nowMillis - view.lastJoinedMillis < REGISTRATION_SETTLE_MILLIS) return
        val absent = bounds.models.values.filter { (replicas[it.name] ?: 0) == 0 }
        val cost = absent.maxByOrNull(waitingCost::ofAbsence) ?: return
        val demand = ModelDemand(cost.name, null, 1, nowMillis, Long.MAX_VALUE)
        val candidate = view.runners.mapNotNull { candidateOn(it, demand) }
            .minWithOrNull(compareBy({ it.loadMillis }, { it.costMillisPerSecond })) ?: return
        if (waitingCost.ofAbsence(cost) >
            PRELOAD_GAIN * candidate.costMillisPerSecond
        ) {
            commit(candidate)
        }
    }

    private fun placeAdapter(demand: ModelDemand) {
        val adapter = demand.adapter ?: return
        val replicaRunners = view.runners.filter { demand.model in it.served }
        if (replicaRunners.any {
                adapter in it.served.getValue(demand.model) ||
                    isAdapterOrdered(it, demand)
            }
        ) {
            return
        }
        val runner = replicaRunners.filter(::mayOrder).minWithOrNull(
            compareBy<RunnerState> { if (freeAdapterSlots(it) > 0) 0 else 1 }
                .thenBy { it.inFlight.values.sum() }
        )
        if (runner == null) {
            blocked += BlockedDemand(demand.model, adapter, Obstacle.RUNNERS_BUSY)
            return
        }
        val isFull = freeAdapterSlots(runner) <= 0
        if (isFull) modelsOutOfAdapterSlots += demand.model
        val evicted = if (isFull) idleAdapter(runner) else null
        if (isFull && evicted == null) {
            blocked += BlockedDemand(demand.model, adapter, Obstacle.NO_ROOM)
            return
        }
        orderedRunners += runner.id
        steps += ResidencyOrder.LoadAdapter(runner.id, demand.model, adapter, evicted)
    }

    private fun isAdapterOrdered(runner: RunnerState, demand: ModelDemand): Boolean =
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
     * Adds a copy of a model whose runners are busy, or short of adapter places. From the weight
     * store only while most of what it carries is left for models that no runner holds.
     */
    private fun addReplicas() {
        val busiest = view.arrivalsPerSecond.keys
            .filter { (replicas[it] ?: 0) > 0 && loadPerReplica(it) > BUSY_SLOT_SHARE }
            .maxByOrNull(::loadPerReplica)
        val model =
            busiest ?: modelsOutOfAdapterSlots.maxByOrNull { view.arrivalsPerSecond[it] ?: 0.0 }
                ?: return
        if (view.runners.any { it.loading == model }) return
        val demand = ModelDemand(model, null, 1, nowMillis, Long.MAX_VALUE)
        wanted += model
        val hasSpareStoreLoads = 2 * storeLoads < bounds.storeLoadsAtOnce
        val candidate = view.runners.filter { model !in it.served }
            .mapNotNull { candidateOn(it, demand) }
            .filter { it.source != WeightSource.STORE || hasSpareStoreLoads }
            .minWithOrNull(compareBy({ it.costMillisPerSecond }, { it.loadMillis })) ?: return
        commit(candidate)
    }

    private fun loadPerReplica(model: String): Double {
        val inFlight = inFlightByModel[model] ?: 0
        return inFlight / (replicas.getValue(model) * bounds.slots.toDouble())
    }

    private companion object {
        /** What an answer after its target counts, against one in time, in the order of loads. */
        const val LATE_WEIGHT = 1.0 / 3

        /** Callers expected during a load from which on it pays without any that can wait for it. */
        const val MIN_LATER_CALLERS = 2.0

        /** Refusals after which a model is loaded however few ask for it, so that none starves. */
        const val STARVATION_REFUSALS = 3

        /** How many times likelier a model has to be than what makes way for it unasked. */
        const val PRELOAD_GAIN = 3.0

        /** Longer than runners that start together take to be registered and read, one by one. */
        const val REGISTRATION_SETTLE_MILLIS = 3_000L

        /** An adapter that was used more recently is not dropped for another. */
        const val ADAPTER_IDLE_MILLIS = 500L

        /**
         * Share of its slots from which on a runner counts as busy. Engines read prompts between the
         * steps of all answers, so answers falter long before the slots are full.
         */
        const val BUSY_SLOT_SHARE = 0.2
    }
}
