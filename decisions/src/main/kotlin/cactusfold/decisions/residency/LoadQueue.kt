package cactusfold.decisions.residency

/**
 * Tells when models that can't be loaded now will be there: as soon as a runner that has the weights
 * is free, or else when the weight store has come to them. Each model that is queued makes the next
 * ones wait.
 */
internal class LoadQueue(private val view: ResidencyView, private val nowMillis: Long) {
    private class LocalLoad(val runner: String, val readyAtMillis: Long)

    private val overheadMillis = view.bounds.overheadMillis

    /** When each of the loads that the store carries at once can begin. */
    private val storeFreeAtMillis: MutableList<Long> = view.runners
        .filter { it.loadsFromStore }
        .map { maxOf(nowMillis, it.loadedAtMillis - overheadMillis) }
        .toMutableList()
    private val runnerFreeAtMillis = view.runners
        .associate { it.id to if (it.isBusy) maxOf(nowMillis, it.loadedAtMillis) else nowMillis }
        .toMutableMap()

    init {
        val slots = view.bounds.storeLoadsAtOnce.coerceAtLeast(1)
        while (storeFreeAtMillis.size < slots) storeFreeAtMillis += nowMillis
    }

    /** Books a load that begins now. */
    fun began(runner: String, source: WeightSource, loadMillis: Long) {
        runnerFreeAtMillis[runner] = nowMillis + loadMillis + overheadMillis
        if (source == WeightSource.STORE) reserveStore(nowMillis + loadMillis)
    }

    /** Queues [cost]'s model and returns when it will be there. */
    fun readyAtMillis(cost: ModelCost): Long {
        val local = earliestLocalLoad(cost)
        val fromStore = storeFreeAtMillis.min() + cost.storeLoadMillis + overheadMillis
        if (local != null && local.readyAtMillis <= fromStore) {
            runnerFreeAtMillis[local.runner] = local.readyAtMillis
            return local.readyAtMillis
        }
        reserveStore(storeFreeAtMillis.min() + cost.storeLoadMillis)
        return fromStore
    }

    /** Returns when a runner that has the weights, and is busy until a known moment, can be done. */
    fun localLoadReadyAtMillis(cost: ModelCost): Long? = earliestLocalLoad(cost)?.readyAtMillis

    private fun earliestLocalLoad(cost: ModelCost): LocalLoad? = view.runners
        .filter { runnerFreeAtMillis.getValue(it.id) > nowMillis }
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
}
