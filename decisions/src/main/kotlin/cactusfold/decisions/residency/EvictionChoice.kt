package cactusfold.decisions.residency

/**
 * Chooses which models a runner evicts to make room.
 *
 * Eviction minimizes the expected waiting time. Where priorities differ, four groups go one after
 * the other: models with spare replicas, models without expected callers, models of which a copy
 * stays on a disk or in host memory and that nobody is expected to ask for while it is loaded, and
 * the others, such as those that would be left in the weight store only.
 *
 * @param replicas number of runners that have each model, including the orders planned so far.
 * @param wanted models that requests wait for; they are not evicted.
 */
internal class EvictionChoice(
    private val view: ResidencyView,
    private val times: LoadTimes,
    private val waitingCost: WaitingCost,
    private val replicas: Map<String, Int>,
    private val wanted: Set<String>
) {
    private val bounds = view.bounds
    private val inFlightByModel = view.runners.flatMap { it.inFlight.entries }
        .groupingBy { it.key }.fold(0) { sum, entry -> sum + entry.value }

    /**
     * Returns the models to evict from [runner] so that [megabytes] fit, or null if that is
     * impossible.
     *
     * @param mayDrain whether a model may go that a few requests use, if another runner serves it:
     *   it is unloaded once they have ended.
     */
    fun of(runner: RunnerState, megabytes: Double, mayDrain: Boolean): List<String>? {
        var free = freeMegabytes(runner)
        if (free >= megabytes) return emptyList()
        val evicted = mutableListOf<String>()
        val unwanted = runner.adaptersByModel.keys.filter { it !in wanted }
        val (idle, used) = unwanted.partition { (runner.inFlight[it] ?: 0) == 0 }
        val drained = if (mayDrain) used.filter { mayDrain(runner, it) } else emptyList()
        val removable = idle.sortedWith(
            compareBy({ groupOf(it) }, waitingCost::ofEvicting, { runner.lastUsedMillis[it] ?: 0L })
        ) + drained.sortedBy { runner.inFlight[it] }
        for (model in removable) {
            evicted += model
            free += residentMegabytes(runner, model)
            if (free >= megabytes) return evicted
        }
        return null
    }

    /** Memory of [runner] that neither models nor adapters take, nor pending orders will take. */
    fun freeMegabytes(runner: RunnerState): Double {
        val resident = runner.adaptersByModel.keys.sumOf { residentMegabytes(runner, it) }
        val pending = runner.loading?.takeIf { it !in runner.adaptersByModel }
            ?.let { bounds.models[it]?.weightMegabytes } ?: 0.0
        return bounds.weightMegabytes - resident - pending
    }

    /** Returns the requests in flight for [model] relative to the slots of [count] runners. */
    fun loadPerReplica(model: String, count: Int): Double =
        (inFlightByModel[model] ?: 0) / (count * bounds.slots.toDouble())

    /** Whether no runner is left with [model], nor a copy on a disk or in host memory, after it. */
    fun isLastCopy(model: String): Boolean = waitingCost.hasExpectedCallers(model) &&
        !hasSpareReplica(model) &&
        !times.hasLocalCopy(model)

    private fun groupOf(model: String): Int = when {
        !view.usesPriorities -> 0
        hasSpareReplica(model) -> 0
        !waitingCost.hasExpectedCallers(model) -> 1
        // Callers would wait for certain, so the waiting time decides, as for a last copy.
        waitingCost.callersDuringLoad(model) >= 1 -> 3
        (replicas[model] ?: 1) > 1 || times.hasLocalCopy(model) -> 2
        else -> 3
    }

    private fun hasSpareReplica(model: String): Boolean {
        val others = (replicas[model] ?: 1) - 1
        return others > 0 && loadPerReplica(model, others) <= BUSY_SLOT_SHARE
    }

    private fun mayDrain(runner: RunnerState, model: String): Boolean =
        (runner.inFlight[model] ?: 0) <= MAX_DRAINED_REQUESTS &&
            (replicas[model] ?: 0) > 1 &&
            view.runners.any { it.id != runner.id && model in it.served }

    private fun residentMegabytes(runner: RunnerState, model: String): Double =
        bounds.megabytesOf(model, runner.adaptersByModel[model].orEmpty().size)

    companion object {
        /**
         * Share of used slots above which a runner counts as busy. Engines process prompts between
         * the decoding steps of all responses, so responses stall long before the slots are full.
         */
        const val BUSY_SLOT_SHARE = 0.2

        /** More requests take longer to end than the load from disk that they would delay. */
        const val MAX_DRAINED_REQUESTS = 2
    }
}
