package cactusfold.fleetmodel

import cactusfold.decisions.residency.ModelArrivals
import cactusfold.decisions.residency.ModelDemand
import cactusfold.decisions.residency.ModelRefusals
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
import kotlinx.collections.immutable.toImmutableMap

/** A caller's request, through all its attempts. */
private class Call(val kind: CallerClass, val model: String, val arrivedAtMillis: Double) {
    var attempts = 0
    var attemptAtMillis = 0.0
    var runs = 0
    var isOver = false
}

/**
 * Plays [pattern] on a fleet in virtual time, with the product's own decisions: which models runners
 * hold, by [policy], and which runner a request goes to. The same seed gives the same run.
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
    private val store = WeightStoreModel(queue, engine.storeLoadsAtOnce)
    private val concurrency = StoreConcurrency()
    private val choice = ReplicaChoice(zoneCrossingMillis = 0.0, affinityLoadGap = 0.0)
    private val runners = List(engine.runners) {
        RunnerModel("r$it", engine, queue)
    }.toMutableList()
    private val outcomes = spec.classes.associate { it.name to ClassOutcome(it.name) }
    private val waiting = LinkedHashSet<Call>()
    private val arrivals = ModelArrivals()
    private val refusals = ModelRefusals()
    private val storeLoads = StoreLoadWindow(WINDOW_MILLIS)
    private val loadsBySource = sortedMapOf<String, Int>()
    private val servedByModel = sortedMapOf<String, Int>()
    private val asked = IntArray(seconds())
    private val answered = IntArray(seconds())

    private val models = spec.classes.associate { it.name to it.models }.toMutableMap()
    private val factors = HashMap<String, Double>()
    private val burstModels = HashMap<String, String>()
    private val storms = HashMap<String, Int>()

    /** Runs to the end and returns what came of it. */
    public fun run(): Outcome {
        if (!pattern.startsEmpty) placeAtStart()
        spec.classes.forEach { scheduleArrival(it) }
        pattern.changes.forEach { (atMillis, change) ->
            queue.after(atMillis.toDouble()) { apply(change) }
        }
        step()
        queue.runUntil((spec.lengthMillis + REST_MILLIS).toDouble())
        return Outcome(
            outcomes.values.toList(),
            asked.toList(),
            answered.toList(),
            loadsBySource,
            servedByModel
        )
    }

    private fun seconds(): Int = ((spec.lengthMillis + REST_MILLIS) / MILLIS_PER_SECOND).toInt() + 1

    private val second: Int get() = (queue.nowMillis / MILLIS_PER_SECOND).toInt()

    /** The most asked for on several runners, the others on one each and on disks, while room lasts. */
    private fun placeAtStart() {
        val frequent = spec.models.take(FREQUENT_MODELS)
        val rest = spec.models.drop(FREQUENT_MODELS)
        runners.forEachIndexed { i, runner -> runner.hold(frequent[i % frequent.size]) }
        val rare = rest.iterator()
        for (runner in runners) {
            while (runner.held.size < engine.modelsAtOnce &&
                rare.hasNext()
            ) {
                runner.hold(rare.next())
            }
        }
        rest.forEachIndexed { i, model -> runners[i % runners.size].disk += model }
    }

    private fun scheduleArrival(kind: CallerClass) {
        val perSecond = kind.perSecond * (factors[kind.name] ?: 1.0)
        val gapMillis = -ln(1 - random.nextDouble()) / perSecond * MILLIS_PER_SECOND
        queue.after(gapMillis) {
            if (queue.nowMillis < spec.lengthMillis) {
                arrive(kind)
                scheduleArrival(kind)
            }
        }
    }

    private fun arrive(kind: CallerClass) {
        val model = burstModels[kind.name] ?: models.getValue(kind.name).random(random)
        outcomes.getValue(kind.name).asked++
        asked[second]++
        attempt(Call(kind, model, queue.nowMillis))
    }

    private fun attempt(call: Call) {
        call.attempts++
        call.attemptAtMillis = queue.nowMillis
        val nowMillis = queue.nowMillis.toLong()
        arrivals.arrived(call.model, 1, nowMillis)
        val attempt = call.attempts
        queue.after(call.kind.patienceMillis.toDouble()) {
            if (!call.isOver && call.attempts == attempt && call in waiting) leave(call)
        }
        route(call)
    }

    private fun route(call: Call) {
        val candidates = runners.filter { it.isUp && call.model in it.held }
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
            waiting += call
            return
        }
        waiting -= call
        send(call, candidates.first { it.id == chosen.upstream })
    }

    private fun send(call: Call, runner: RunnerModel) {
        call.runs++
        var hasBegun = false
        val running = Running(call.model) { broke(call, hasBegun) }
        runner.run(running, call.kind.promptTokens, call.kind.pieces, firstPiece = {
            hasBegun = true
            if (!call.isOver) {
                call.isOver = true
                answered[second]++
                servedByModel.merge(call.model, 1, Int::plus)
                val tookMillis = queue.nowMillis - call.arrivedAtMillis
                outcomes.getValue(call.kind.name).answered(tookMillis, call.kind.targetMillis)
            }
        }, done = {})
    }

    private fun broke(call: Call, hasBegun: Boolean) {
        if (hasBegun || call.isOver) return
        if (call.kind.mayRunAgain && call.runs < MAX_RUNS) return route(call)
        call.isOver = true
        outcomes.getValue(call.kind.name).failed++
    }

    private fun leave(call: Call) {
        end(call)
        outcomes.getValue(call.kind.name).failed++
    }

    private fun end(call: Call) {
        waiting -= call
        call.isOver = true
        outcomes.getValue(call.kind.name).waitedInVainMillis +=
            queue.nowMillis - call.attemptAtMillis
    }

    /** A refused caller comes back once when it was told to, within a third of its patience. */
    private fun refuse(call: Call, retryAfterMillis: Double) {
        val storm = storms[call.kind.name]
        val mayReturn = call.attempts <= (storm ?: RETRIES)
        if (!mayReturn) {
            end(call)
            outcomes.getValue(call.kind.name).refused++
            return
        }
        waiting -= call
        outcomes.getValue(call.kind.name).waitedInVainMillis +=
            queue.nowMillis - call.attemptAtMillis
        val most = call.kind.patienceMillis / PATIENCE_SHARE
        queue.after(if (storm != null) 0.0 else minOf(retryAfterMillis, most)) { attempt(call) }
    }

    private fun step() {
        val nowMillis = queue.nowMillis.toLong()
        val up = runners.filter { it.isUp }
        if (up.isNotEmpty()) carryOut(policy.plan(view(up, nowMillis), nowMillis))
        waiting.toList().forEach(::route)
        if (queue.nowMillis < spec.lengthMillis) queue.after(STEP_MILLIS) { step() }
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
        demands = waiting.groupBy { it.model }.map { (model, calls) -> demand(model, calls) },
        arrivalsPerSecond = arrivals.recentPerSecond(nowMillis),
        longTermArrivalsPerSecond = arrivals.longTermPerSecond(nowMillis),
        adapterUsedMillis = emptyMap(),
        storeLoadsAllowed = storeLoads.allowed(engine.storeLoadsPerSecond, nowMillis),
        lastJoinedMillis = Long.MIN_VALUE / 2
    )

    private fun demand(model: String, calls: List<Call>): ModelDemand = ModelDemand(
        model = model,
        adapter = null,
        waiting = calls.size,
        targetAtMillis = calls.minOf { it.arrivedAtMillis + it.kind.targetMillis }.toLong(),
        deadlineAtMillis = calls.maxOf(::limitOf).toLong(),
        refusedSinceLoad = refusals.count(model)
    )

    private fun limitOf(call: Call): Double = call.attemptAtMillis + call.kind.patienceMillis

    private fun carryOut(plan: ResidencyPlan) {
        plan.tooLate.forEach { refusals.refused(it, queue.nowMillis.toLong()) }
        for ((model, readyAtMillis) in plan.readyAtMillis) {
            val retryAfterMillis = maxOf(readyAtMillis - queue.nowMillis, LEAST_RETRY_MILLIS)
            waiting.filter { it.model == model && limitOf(it) < readyAtMillis }
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
            concurrency.began(runner.id, queue.nowMillis.toLong())
        }
        runner.load(load, store) {
            if (isFromStore) {
                val fullSpeedMillis = load.loadMillis + engine.reportLagMillis
                concurrency.ended(runner.id, fullSpeedMillis, queue.nowMillis.toLong())
            }
            waiting.filter { it.model == load.model }.forEach(::route)
        }
    }

    private fun apply(change: Change) {
        when (change) {
            is Change.Burst -> burst(change)
            is Change.MoveOn -> models[change.name] = change.models
            is Change.Crash -> victims(change.share).forEach { runner ->
                down(runner)
                queue.after(change.downMillis.toDouble()) { runner.comeBack() }
            }
            is Change.Reclaim -> victims(change.share).forEach { runner ->
                down(runner)
                runners -= runner
            }
            is Change.Slow -> victims(change.share).forEach { runner ->
                runner.slowness = change.factor
                queue.after(change.forMillis.toDouble()) { runner.slowness = 1.0 }
            }
            is Change.RetryStorm -> {
                storms[change.name] = change.times
                queue.after(change.forMillis.toDouble()) { storms.remove(change.name) }
            }
        }
    }

    private fun burst(change: Change.Burst) {
        factors[change.name] = change.factor
        change.model?.let { burstModels[change.name] = it }
        queue.after(change.forMillis.toDouble()) {
            factors.remove(change.name)
            burstModels.remove(change.name)
        }
    }

    private fun victims(share: Double): List<RunnerModel> =
        runners.filter { it.isUp }.shuffled(random).take((runners.size * share).roundToInt())

    private fun down(runner: RunnerModel) {
        concurrency.dropped(runner.id, queue.nowMillis.toLong())
        runner.end()
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /** As in the product: pause between plans, and the least that a caller is told to wait. */
        const val STEP_MILLIS = 50.0
        const val LEAST_RETRY_MILLIS = 1_000.0

        /** Window over which the weight store's rate is kept. */
        const val WINDOW_MILLIS = 5_000L

        /** Time after the last arrival in which answers still come. */
        const val REST_MILLIS = 20_000L

        /** Callers come back once, within a third of their patience, by the users' contract. */
        const val RETRIES = 1
        const val PATIENCE_SHARE = 3.0
        const val MAX_RUNS = 2

        /** Models that the runners hold several copies of at the start. */
        const val FREQUENT_MODELS = 4
    }
}
