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

/** What the coordinator knows of one runner and has under way there. */
internal class RunnerWork(
    val upstream: Upstream,
    private val context: DeskContext,
    private val overhead: LoadOverhead,
    private val storeConcurrency: StoreConcurrency,
    private val onHeld: (Upstream) -> Unit
) {
    private val clock = context.clock
    private val desk = RunnerDesk(upstream, context)
    private val lastUsedMillis = HashMap<String, Long>()
    private var ledger = ResidencyLedger()

    /** Whether what the runner holds has been read since this process coordinates. */
    var isKnown = false
        private set
    private var isLearning = false
    private var underWay: ResidencyOrder.Load? = null
    private var loadedAtMillis = 0L
    private var restsUntilMillis = 0L
    private var adapterOrders = 0
    private var report: RunnerReport? = null
    private var reportedAtMillis = Long.MIN_VALUE / 2

    /** When each adapter, as model and adapter, was last used. */
    val adapterUsedMillis = HashMap<Pair<String, String>, Long>()

    /** Whether what the runner holds has to be read before an order may go there. */
    val needsLearning: Boolean get() = !isKnown && !isLearning

    /** Returns the runner as the planner sees it. */
    fun state(inFlight: Map<String, Int>, nowMillis: Long): RunnerState {
        inFlight.keys.forEach { lastUsedMillis[it] = nowMillis }
        // What is announced may be as old as an interval of announcements and a poll.
        ledger = ledger.said(upstream.adaptersByModel, nowMillis - ANNOUNCEMENT_LAG_MILLIS)
        val isResting = nowMillis < restsUntilMillis
        val fresh = report?.takeIf { nowMillis - reportedAtMillis < ANNOUNCEMENT_LAG_MILLIS }
        return RunnerState(
            id = upstream.entry.id,
            served = if (isResting) persistentMapOf() else upstream.adaptersByModel,
            adaptersByModel = ledger.adaptersByModel,
            modelsInHostMemory = fresh?.modelsInHostMemory ?: upstream.entry.modelsInHostMemory,
            modelsOnDisk = fresh?.modelsOnDisk ?: upstream.entry.modelsOnDisk,
            loading = underWay?.model,
            loadedAtMillis = loadedAtMillis,
            loadsFromStore = underWay?.source == WeightSource.STORE,
            isBusy = underWay != null || !isKnown || isResting,
            adapterOrders = adapterOrders,
            inFlight = inFlight.toImmutableMap(),
            lastUsedMillis = lastUsedMillis.toImmutableMap()
        )
    }

    /** Reads what the runner holds: before the first order to it, and whenever that is not known. */
    suspend fun learn() {
        isLearning = true
        try {
            val askedAtMillis = clock.nowMillis()
            val learnt = desk.learn()
            if (learnt == null) return delay(LEARN_MILLIS)
            ledger = ledger.said(learnt.adaptersByModel, askedAtMillis - REPORT_LAG_MILLIS)
            report = learnt
            reportedAtMillis = askedAtMillis
            isKnown = true
            hold(learnt.adaptersByModel)
        } finally {
            isLearning = false
        }
    }

    /** Books [step] before it is carried out, so that the next plan counts it. */
    fun begin(step: ResidencyOrder, nowMillis: Long) {
        when (step) {
            is ResidencyOrder.Load -> {
                underWay = step
                val isFromStore = step.source == WeightSource.STORE
                if (isFromStore) storeConcurrency.began(step.runner, nowMillis)
                loadedAtMillis = nowMillis + step.loadMillis + overhead.millis
            }
            is ResidencyOrder.LoadAdapter -> {
                adapterOrders++
                ledger = ledger.loadingAdapter(step.model, step.adapter, nowMillis)
            }
        }
    }

    /** Carries out [step], which was begun before. */
    suspend fun carryOut(step: ResidencyOrder) {
        when (step) {
            is ResidencyOrder.Load -> load(step)
            is ResidencyOrder.LoadAdapter -> loadAdapter(step)
        }
    }

    private suspend fun load(step: ResidencyOrder.Load) {
        val began = clock.nowMillis()
        var isLoaded = false
        try {
            isLoaded = makeRoom(step.evicted) &&
                order(RunnerOrder.Load(step.model)) &&
                awaitModel(step)
            val tookMillis = clock.nowMillis() - began
            if (isLoaded) timed(step, tookMillis)
            context.events.write(
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
            underWay = null
            lastUsedMillis[step.model] = clock.nowMillis()
            if (!isLoaded) rest()
        }
    }

    private fun timed(step: ResidencyOrder.Load, tookMillis: Long) {
        if (step.source == WeightSource.STORE) {
            val fullSpeedMillis = step.loadMillis + overhead.millis
            storeConcurrency.ended(step.runner, fullSpeedMillis, clock.nowMillis())
        }
        overhead.took(step.loadMillis, tookMillis)
    }

    private suspend fun makeRoom(models: List<String>): Boolean {
        for (model in models) {
            hold((upstream.adaptersByModel - model).toImmutableMap())
            if (!order(RunnerOrder.Unload(model))) return false
        }
        return true
    }

    private suspend fun awaitModel(step: ResidencyOrder.Load): Boolean {
        val startedAt = clock.nowMillis()
        if (!outlasts(startedAt + step.loadMillis - EARLY_MILLIS)) return false
        while (clock.nowMillis() - startedAt < step.loadMillis * MAX_SLOWDOWN + EARLY_MILLIS) {
            val said = desk.report()
            if (said != null && step.model in said.adaptersByModel) {
                report = said
                reportedAtMillis = clock.nowMillis()
                hold(
                    (upstream.adaptersByModel + (step.model to persistentSetOf())).toImmutableMap()
                )
                return true
            }
            delay(REPORT_MILLIS)
        }
        return false
    }

    /** Waits until [untilMillis]; returns false as soon as the runner does not answer any more. */
    private suspend fun outlasts(untilMillis: Long): Boolean {
        var unanswered = 0
        while (true) {
            val leftMillis = untilMillis - clock.nowMillis()
            if (leftMillis <= CHECK_MILLIS) {
                delay(leftMillis.coerceAtLeast(0))
                return true
            }
            delay(CHECK_MILLIS)
            unanswered = if (desk.report() == null) unanswered + 1 else 0
            if (unanswered >= UNANSWERED_CHECKS) return false
        }
    }

    private suspend fun loadAdapter(step: ResidencyOrder.LoadAdapter) {
        var isLoaded = false
        try {
            isLoaded = dropAdapter(step.evicted) &&
                order(RunnerOrder.LoadAdapter(step.model, step.adapter))
            if (!isLoaded) return
            adapterUsedMillis[step.model to step.adapter] = clock.nowMillis()
            delay(ADAPTER_MILLIS)
            holdAdapters(step.model) { it + step.adapter }
        } finally {
            adapterOrders--
            if (!isLoaded) rest()
        }
    }

    private suspend fun dropAdapter(evicted: Pair<String, String>?): Boolean {
        val (model, adapter) = evicted ?: return true
        holdAdapters(model) { it - adapter }
        return order(RunnerOrder.UnloadAdapter(model, adapter))
    }

    /** Books [order] in the account before it is sent, and what it frees once it was taken. */
    private suspend fun order(order: RunnerOrder): Boolean {
        val before = clock.nowMillis()
        ledger = when (order) {
            is RunnerOrder.Load -> ledger.loading(order.model, before)
            is RunnerOrder.LoadAdapter -> ledger.loadingAdapter(order.model, order.adapter, before)
            is RunnerOrder.Unload, is RunnerOrder.UnloadAdapter -> ledger
        }
        val end = desk.send(order)
        if (end == OrderEnd.MOVED) isKnown = false
        if (end != OrderEnd.TAKEN) return false
        val after = clock.nowMillis()
        ledger = when (order) {
            is RunnerOrder.Unload -> ledger.unloaded(order.model, after)
            is RunnerOrder.UnloadAdapter ->
                ledger.unloadedAdapter(order.model, order.adapter, after)
            is RunnerOrder.Load, is RunnerOrder.LoadAdapter -> ledger.copy(changedAtMillis = after)
        }
        return true
    }

    private fun rest() {
        restsUntilMillis = clock.nowMillis() + REST_MILLIS
    }

    private fun holdAdapters(model: String, change: (Set<String>) -> Set<String>) {
        val models = upstream.adaptersByModel
        val adapters = models[model] ?: return
        hold((models + (model to change(adapters).toImmutableSet())).toImmutableMap())
    }

    private fun hold(models: ImmutableMap<String, ImmutableSet<String>>) {
        upstream.holds(models, clock.nowMillis())
        onHeld(upstream)
    }

    private companion object {
        /** Reports are asked for this long before a load should be done. */
        const val EARLY_MILLIS = 50L
        const val REPORT_MILLIS = 100L

        /** How often a runner that loads for long is asked whether it lives. */
        const val CHECK_MILLIS = 1_000L

        /** A lost answer is no sign; two in a row are. */
        const val UNANSWERED_CHECKS = 2

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
    }
}
