package cactusfold.decisions.residency

/**
 * Estimates when models that can't be loaded now will be ready.
 *
 * A model is loaded either by a busy runner that has the weights in host memory or on disk, once
 * that runner is free, or from the weight store, once it has capacity for another load; whichever
 * is sooner. Each queued model reserves that capacity and so delays those queued after it.
 */
internal class LoadQueue(private val view: ResidencyView, private val nowMillis: Long) {
    /** A load on a busy runner that has the weights in host memory or on disk. */
    private class LocalLoad(val runner: String, val readyAtMillis: Long)

    private val overheadMillis = view.bounds.overheadMillis

    /** Start time of the next load for each concurrent load of the weight store. */
    private val storeFreeAtMillis: MutableList<Long> = view.runners
        .filter { it.loadsFromStore }
        .map { maxOf(nowMillis, it.loadedAtMillis - overheadMillis) }
        .toMutableList()
    private val runnerFreeAtMillis = view.runners.associate { it.id to freeAtMillis(it) }
        .toMutableMap()

    init {
        val slots = view.bounds.storeLoadsAtOnce.coerceAtLeast(1)
        while (storeFreeAtMillis.size < slots) storeFreeAtMillis += nowMillis
    }

    /**
     * Returns when [runner] should take the next order. A load that should have ended, by its store
     * or because its report is late, is expected to end soon.
     */
    private fun freeAtMillis(runner: RunnerState): Long = when {
        runner.loading != null -> maxOf(nowMillis + MIN_REMAINING_MILLIS, runner.loadedAtMillis)
        runner.isBusy -> maxOf(nowMillis, runner.loadedAtMillis, runner.freeAtMillis)
        runner.adapterOrders > 0 -> maxOf(nowMillis, runner.freeAtMillis)
        else -> nowMillis
    }

    /** Records a load that starts now. */
    fun began(runner: String, source: WeightSource, loadMillis: Long) {
        runnerFreeAtMillis[runner] = nowMillis + loadMillis + overheadMillis
        if (source == WeightSource.STORE) reserveStore(nowMillis + loadMillis)
    }

    /**
     * Queues the model of [cost] for a runner that [accepts] it, and returns when it should be
     * ready.
     */
    fun readyAtMillis(cost: ModelCost, accepts: (RunnerState) -> Boolean): Long {
        val local = earliestLocalLoad(cost, accepts)
        val fromStore = storeFreeAtMillis.min() + cost.storeLoadMillis + overheadMillis
        if (local != null && local.readyAtMillis <= fromStore) {
            runnerFreeAtMillis[local.runner] = local.readyAtMillis
            return local.readyAtMillis
        }
        reserveStore(storeFreeAtMillis.min() + cost.storeLoadMillis)
        return fromStore
    }

    /**
     * Returns when the earliest load on a busy runner that has the weights would be done, if any.
     */
    fun localLoadReadyAtMillis(cost: ModelCost, accepts: (RunnerState) -> Boolean): Long? =
        earliestLocalLoad(cost, accepts)?.readyAtMillis

    private fun earliestLocalLoad(cost: ModelCost, accepts: (RunnerState) -> Boolean): LocalLoad? =
        view.runners
            .filter { accepts(it) && runnerFreeAtMillis.getValue(it.id) > nowMillis }
            .map { it to it.sourceOf(cost.name) }
            .filter { (_, source) -> source != WeightSource.STORE }
            .map { (runner, source) ->
                val loadMillis = cost.loadMillis(source) + overheadMillis
                LocalLoad(runner.id, runnerFreeAtMillis.getValue(runner.id) + loadMillis)
            }
            .minByOrNull { it.readyAtMillis }

    private fun reserveStore(untilMillis: Long) {
        storeFreeAtMillis.remove(storeFreeAtMillis.min())
        storeFreeAtMillis += untilMillis
    }

    private companion object {
        /** Longer than the interval at which an overdue load is checked. */
        const val MIN_REMAINING_MILLIS = 200L
    }
}
