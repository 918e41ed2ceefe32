package cactusfold.decisions.residency

/** How long loads take, by where the weights are. */
internal class LoadTimes(private val view: ResidencyView) {
    private val models = view.bounds.models

    fun sourceOn(runner: RunnerState, model: String): WeightSource = when (model) {
        in runner.modelsInHostMemory -> WeightSource.HOST_MEMORY
        in runner.modelsOnDisk -> WeightSource.DISK
        else -> WeightSource.STORE
    }

    fun millisFrom(cost: ModelCost, source: WeightSource): Long = when (source) {
        WeightSource.HOST_MEMORY -> cost.memoryLoadMillis
        WeightSource.DISK -> cost.diskLoadMillis
        WeightSource.STORE -> cost.storeLoadMillis
    }

    /** Returns what loading [model] takes where it is quickest, whether or not that runner is free. */
    fun soonestMillis(model: String): Long {
        val cost = models[model] ?: return Long.MAX_VALUE / 4
        return view.runners.minOfOrNull { millisFrom(cost, sourceOn(it, model)) }
            ?: cost.storeLoadMillis
    }
}
