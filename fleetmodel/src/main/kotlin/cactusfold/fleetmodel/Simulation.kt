package cactusfold.fleetmodel

import cactusfold.decisions.residency.ModelArrivals
import cactusfold.decisions.residency.ModelDemand
import cactusfold.decisions.residency.ModelRefusals
import cactusfold.decisions.residency.PriorityDemand
import cactusfold.decisions.residency.ResidencyOrder
import cactusfold.decisions.residency.ResidencyPlan
import cactusfold.decisions.residency.ResidencyView
import cactusfold.decisions.residency.RunnerBounds
import cactusfold.decisions.residency.StoreConcurrency
import cactusfold.decisions.residency.StoreLoadWindow
import cactusfold.decisions.residency.WeightSource
import cactusfold.decisions.routing.ReplicaChoice
import kotlin.math.ln
import kotlin.math.roundToInt
import kotlin.random.Random
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toImmutableMap

/** A caller's request with all its attempts, which include the caller's retries. */
private class SimulatedRequest(
    val kind: RequestClass,
    val model: String,
    val arrivedAtMillis: Double
) {
    var attempts = 0
    var attemptAtMillis = 0.0
    var dispatches = 0
    var hasEnded = false
}

/**
 * Discrete-event simulation of a fleet under [pattern].
 *
 * [policy] plans which models runners hold; the production code chooses the runner of a request.
 * The same seed gives the same run.
 */
public class Simulation(
    private val spec: FleetSpec,
    private val pattern: Pattern,
    private val policy: Policy,
    seed: Long
) {
    private val engine = spec.engine
    private val random = Random(seed)
    private val queue = EventQueue()
    private val store = WeightStoreModel(queue, engine.storeFullSpeedLoads)
    private var concurrency = StoreConcurrency(policy.firstStoreLoads)
    private val choice = ReplicaChoice(zoneCrossingMillis = 0.0, affinityLoadGap = 0.0)
    private val runners = List(engine.runners) {
        RunnerModel("r$it", engine, queue)
    }.toMutableList()
    private val outcomes = spec.classes.associate { it.name to RequestClassOutcome(it.name) }
    private val waiting = LinkedHashSet<SimulatedRequest>()
    private var arrivals = ModelArrivals()
    private var refusals = ModelRefusals()
    private val usesPriorities = spec.classes.distinctBy { it.priority }.size > 1
    private val storeLoads = StoreLoadWindow(WINDOW_MILLIS)
    private val loadsBySource = sortedMapOf<String, Int>()
    private val responsesByModel = sortedMapOf<String, Int>()
    private val arrivalsBySecond = IntArray(seconds())
    private val responsesBySecond = IntArray(seconds())

    private val models = spec.classes.associate { it.name to it.models }.toMutableMap()
    private val rateFactors = HashMap<String, Double>()
    private val burstModels = HashMap<String, String>()
    private val stormRetries = HashMap<String, Int>()

    /** Runs the simulation to its end and returns the results. */
    public fun run(): Outcome {
        if (!pattern.startsEmpty) placeInitialModels()
        spec.classes.forEach { scheduleArrival(it) }
        pattern.events.forEach { (atMillis, event) ->
            queue.after(atMillis.toDouble()) { apply(event) }
        }
        planAndRoute()
        queue.runUntil((spec.durationMillis + SETTLE_MILLIS).toDouble())
        return Outcome(
            outcomes.values.toList(),
            arrivalsBySecond.toList(),
            responsesBySecond.toList(),
            loadsBySource,
            responsesByModel
        )
    }

    private fun seconds(): Int =
        ((spec.durationMillis + SETTLE_MILLIS) / MILLIS_PER_SECOND).toInt() + 1

    private val second: Int get() = (queue.nowMillis / MILLIS_PER_SECOND).toInt()

    /**
     * Gives each runner one of the most requested models, fills the remaining memory with one
     * replica each of the others, and caches each of the others on one disk.
     */
    private fun placeInitialModels() {
        val frequent = spec.models.take(FREQUENT_MODELS)
        val rest = spec.models.drop(FREQUENT_MODELS)
        runners.forEachIndexed { i, runner -> runner.addModel(frequent[i % frequent.size]) }
        val rare = rest.iterator()
        for (runner in runners) {
            while (runner.residentModels.size < engine.maxResidentModels &&
                rare.hasNext()
            ) {
                runner.addModel(rare.next())
            }
        }
        rest.take((rest.size * spec.cachedShare).roundToInt())
            .forEachIndexed { i, model -> runners[i % runners.size].modelsOnDisk += model }
    }

    private fun scheduleArrival(requestClass: RequestClass) {
        val perSecond = requestClass.perSecond * (rateFactors[requestClass.name] ?: 1.0)
        val gapMillis = -ln(1 - random.nextDouble()) / perSecond * MILLIS_PER_SECOND
        queue.after(gapMillis) {
            if (queue.nowMillis < spec.durationMillis) {
                arrive(requestClass)
                scheduleArrival(requestClass)
            }
        }
    }

    private fun arrive(requestClass: RequestClass) {
        val model =
            burstModels[requestClass.name] ?: models.getValue(requestClass.name).random(random)
        outcomes.getValue(requestClass.name).requests++
        arrivalsBySecond[second]++
        attempt(SimulatedRequest(requestClass, model, queue.nowMillis))
    }

    private fun attempt(request: SimulatedRequest) {
        request.attempts++
        request.attemptAtMillis = queue.nowMillis
        val nowMillis = queue.nowMillis.toLong()
        arrivals.arrived(request.model, 1, nowMillis)
        arrivals.arrivedAt(request.kind.priority, request.model, 1, nowMillis)
        val attempt = request.attempts
        queue.after(request.kind.firstChunkTimeoutMillis.toDouble()) {
            if (!request.hasEnded && request.attempts == attempt && request in waiting) {
                abandon(request)
            }
        }
        route(request)
    }

    private fun route(request: SimulatedRequest) {
        val candidates = runners.filter { it.isUp && request.model in it.residentModels }
        val views = candidates.map { it.view() }
        val chosen = choice.choose(
            views,
            "",
            null,
            random.nextInt(Int.MAX_VALUE),
            random.nextInt(Int.MAX_VALUE),
            queue.nowMillis.toLong()
        )
        if (chosen == null) {
            waiting += request
            return
        }
        waiting -= request
        send(request, candidates.first { it.id == chosen.upstream })
    }

    private fun send(request: SimulatedRequest, runner: RunnerModel) {
        request.dispatches++
        var hasBegun = false
        val running = InFlightRequest(request.model) { onAborted(request, hasBegun) }
        runner.run(running, request.kind.promptTokens, request.kind.chunks, onFirstChunk = {
            hasBegun = true
            if (!request.hasEnded) {
                request.hasEnded = true
                responsesBySecond[second]++
                responsesByModel.merge(request.model, 1, Int::plus)
                val tookMillis = queue.nowMillis - request.arrivedAtMillis
                outcomes.getValue(request.kind.name)
                    .recordFirstChunk(tookMillis, request.kind.targetMillis)
            }
        }, onDone = {})
    }

    private fun onAborted(request: SimulatedRequest, hasBegun: Boolean) {
        if (hasBegun || request.hasEnded) return
        if (request.kind.isRetryable && request.dispatches < MAX_DISPATCHES) return route(request)
        request.hasEnded = true
        outcomes.getValue(request.kind.name).failed++
    }

    private fun abandon(request: SimulatedRequest) {
        endUnserved(request)
        outcomes.getValue(request.kind.name).failed++
    }

    private fun endUnserved(request: SimulatedRequest) {
        waiting -= request
        request.hasEnded = true
        outcomes.getValue(request.kind.name).unservedWaitMillis +=
            queue.nowMillis - request.attemptAtMillis
    }

    /**
     * Refuses an attempt. The caller retries once after [retryAfterMillis], but no later than a
     * third of its timeout; during a retry storm it retries repeatedly and immediately.
     */
    private fun refuse(request: SimulatedRequest, retryAfterMillis: Double) {
        val retriesInStorm = stormRetries[request.kind.name]
        val shouldRetry = request.attempts <= (retriesInStorm ?: RETRIES)
        if (!shouldRetry) {
            endUnserved(request)
            outcomes.getValue(request.kind.name).refused++
            return
        }
        waiting -= request
        outcomes.getValue(request.kind.name).unservedWaitMillis +=
            queue.nowMillis - request.attemptAtMillis
        val maxDelayMillis = request.kind.firstChunkTimeoutMillis / RETRY_DELAY_DIVISOR
        queue.after(if (retriesInStorm != null) 0.0 else minOf(retryAfterMillis, maxDelayMillis)) {
            attempt(request)
        }
    }

    private fun planAndRoute() {
        val nowMillis = queue.nowMillis.toLong()
        val up = runners.filter { it.isUp }
        concurrency.observe(nowMillis)
        if (up.isNotEmpty()) execute(policy.plan(view(up, nowMillis), nowMillis))
        waiting.toList().forEach(::route)
        if (queue.nowMillis < spec.durationMillis) queue.after(STEP_MILLIS) { planAndRoute() }
    }

    private fun view(up: List<RunnerModel>, nowMillis: Long): ResidencyView = ResidencyView(
        bounds = RunnerBounds(
            slots = engine.slots,
            weightMegabytes = engine.weightMegabytes,
            adapterSlots = 0,
            storeLoadsAtOnce = concurrency.limit,
            overheadMillis = engine.reportLagMillis,
            models = spec.models.associateWith(engine::costOf).toImmutableMap()
        ),
        runners = up.map { it.state() },
        demands = waiting.groupBy { it.model }.map { (model, requests) -> demand(model, requests) },
        arrivalsPerSecond = arrivals.recentPerSecond(nowMillis),
        longTermArrivalsPerSecond = arrivals.longTermPerSecond(nowMillis),
        adapterUsedMillis = emptyMap(),
        storeLoadsAllowed = storeLoads.allowed(engine.storeLoadsPerSecond, nowMillis),
        lastJoinedMillis = Long.MIN_VALUE / 2,
        usesPriorities = usesPriorities,
        arrivalsByPriority = arrivals.longTermByPriority(nowMillis),
        refusals = refusals.counts(nowMillis)
    )

    private fun demand(model: String, requests: List<SimulatedRequest>): ModelDemand = ModelDemand(
        model = model,
        adapter = null,
        waiting = requests.size,
        targetAtMillis = requests.minOf {
            it.arrivedAtMillis + it.kind.targetMillis
        }.toLong(),
        deadlineAtMillis = requests.maxOf(::attemptDeadlineMillis).toLong(),
        refusedSinceLoad = refusals.count(model),
        byPriority = PriorityDemand.mergeAll(requests.map(::priorityOf)).toImmutableList()
    )

    private fun priorityOf(request: SimulatedRequest): PriorityDemand = PriorityDemand(
        request.kind.priority,
        waiting = 1,
        targetAtMillis = (request.arrivedAtMillis + request.kind.targetMillis).toLong(),
        limitAtMillis = attemptDeadlineMillis(request).toLong(),
        ageShare = (queue.nowMillis - request.attemptAtMillis) /
            request.kind.firstChunkTimeoutMillis
    )

    private fun attemptDeadlineMillis(request: SimulatedRequest): Double =
        request.attemptAtMillis + request.kind.firstChunkTimeoutMillis

    private fun execute(plan: ResidencyPlan) {
        plan.tooLate.forEach { refusals.refused(it, queue.nowMillis.toLong()) }
        for ((model, readyAtMillis) in plan.readyAtMillis) {
            val retryAfterMillis = maxOf(readyAtMillis - queue.nowMillis, MIN_RETRY_AFTER_MILLIS)
            waiting.filter { it.model == model && attemptDeadlineMillis(it) < readyAtMillis }
                .forEach { refuse(it, retryAfterMillis) }
        }
        plan.steps.filterIsInstance<ResidencyOrder.Load>().forEach(::load)
    }

    private fun load(load: ResidencyOrder.Load) {
        val runner = runners.first { it.id == load.runner }
        refusals.loading(load.model)
        loadsBySource.merge(load.source.name, 1, Int::plus)
        val isFromStore = load.source == WeightSource.STORE
        if (isFromStore) {
            storeLoads.began(queue.nowMillis.toLong())
            concurrency.began(
                runner.id,
                queue.nowMillis.toLong(),
                load.loadMillis + engine.reportLagMillis
            )
        }
        runner.load(load, store) {
            if (isFromStore) {
                val fullSpeedMillis = load.loadMillis + engine.reportLagMillis
                concurrency.ended(runner.id, fullSpeedMillis, queue.nowMillis.toLong())
            }
            waiting.filter { it.model == load.model }.forEach(::route)
        }
    }

    private fun apply(event: PatternEvent) {
        when (event) {
            is PatternEvent.Burst -> burst(event)
            is PatternEvent.ShiftDemand -> models[event.className] = event.models
            is PatternEvent.Crash -> pickRunners(event.share).forEach { runner ->
                stop(runner)
                queue.after(event.downMillis.toDouble()) { runner.restart() }
            }
            is PatternEvent.Reclaim -> pickRunners(event.share).forEach { runner ->
                stop(runner)
                runners -= runner
            }
            is PatternEvent.Slowdown -> pickRunners(event.share).forEach { runner ->
                runner.slowdownFactor = event.factor
                queue.after(event.forMillis.toDouble()) { runner.slowdownFactor = 1.0 }
            }
            PatternEvent.CoordinatorChange -> {
                concurrency = StoreConcurrency(policy.firstStoreLoads)
                arrivals = ModelArrivals()
                refusals = ModelRefusals()
            }
            is PatternEvent.RetryStorm -> {
                stormRetries[event.className] = event.retries
                queue.after(event.forMillis.toDouble()) { stormRetries.remove(event.className) }
            }
        }
    }

    private fun burst(event: PatternEvent.Burst) {
        rateFactors[event.className] = event.factor
        event.model?.let { burstModels[event.className] = it }
        queue.after(event.forMillis.toDouble()) {
            rateFactors.remove(event.className)
            burstModels.remove(event.className)
        }
    }

    private fun pickRunners(share: Double): List<RunnerModel> =
        runners.filter { it.isUp }.shuffled(random).take((runners.size * share).roundToInt())

    private fun stop(runner: RunnerModel) {
        concurrency.dropped(runner.id, queue.nowMillis.toLong())
        runner.stop()
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /** Interval between plans and shortest announced retry delay, as in production. */
        const val STEP_MILLIS = 50.0
        const val MIN_RETRY_AFTER_MILLIS = 1_000.0

        /** Window over which the weight store's load rate is limited. */
        const val WINDOW_MILLIS = 5_000L

        /** Time after the last arrival in which responses are still recorded. */
        const val SETTLE_MILLIS = 20_000L

        /** The contract with callers: one retry, within a third of their timeout. */
        const val RETRIES = 1
        const val RETRY_DELAY_DIVISOR = 3.0
        const val MAX_DISPATCHES = 2

        /** Number of models that start with several replicas. */
        const val FREQUENT_MODELS = 4
    }
}
