package cactusfold.decisions.residency

/**
 * Finds room for adapters. A runner has a number of slots for adapters, and they take memory beside
 * the models: either may be used up first, and a runner that is ordered to load more crashes.
 */
internal class AdapterRoom(
    private val view: ResidencyView,
    private val nowMillis: Long,
    private val evictions: EvictionChoice
) {
    private val bounds = view.bounds

    /** Returns the order that loads [adapter] on [runner], or null if it has no room. */
    fun orderOn(runner: RunnerState, model: String, adapter: String): ResidencyOrder.LoadAdapter? {
        val missingMegabytes = megabytesOf(model) - evictions.freeMegabytes(runner)
        if (freeSlots(runner) > 0 && missingMegabytes <= 0) {
            return ResidencyOrder.LoadAdapter(runner.id, model, adapter, null)
        }
        // One eviction frees one slot, which is not enough for a runner that holds too many.
        if (freeSlots(runner) < 0) return null
        val evicted = idleAdapters(runner)
            .firstOrNull { (owner, _) -> megabytesOf(owner) >= missingMegabytes } ?: return null
        return ResidencyOrder.LoadAdapter(runner.id, model, adapter, evicted)
    }

    private fun megabytesOf(model: String): Double = bounds.models[model]?.adapterMegabytes ?: 0.0

    private fun freeSlots(runner: RunnerState): Int =
        bounds.adapterSlots - runner.adaptersByModel.values.sumOf { it.size }

    /** Returns the pairs of a model and its adapter that are not in use, longest idle first. */
    private fun idleAdapters(runner: RunnerState): List<Pair<String, String>> {
        val used = view.adapterUsedMillis[runner.id].orEmpty()
        return runner.adaptersByModel.flatMap { (model, adapters) -> adapters.map { model to it } }
            .filter { nowMillis - (used[it] ?: 0L) > ADAPTER_IDLE_MILLIS }
            .sortedBy { used[it] ?: 0L }
    }

    private companion object {
        /** Adapters used more recently than this are not evicted. */
        const val ADAPTER_IDLE_MILLIS = 500L
    }
}
