package cactusfold.decisions.residency

/** Load times of models on the runner where each loads fastest, and where their copies are. */
internal class LoadTimes(private val view: ResidencyView) {
    private val fastestLoadMillis = HashMap<String, Long>()
    private val hasLocalCopy = HashMap<String, Boolean>()

    /** Returns the shortest load time of [model] over all runners, whether or not they are free. */
    fun fastestLoadMillis(model: String): Long =
        fastestLoadMillis.getOrPut(model) { computeFastestLoadMillis(model) }

    /** Returns whether a runner has the weights of [model] on its disk or in its host memory. */
    fun hasLocalCopy(model: String): Boolean = hasLocalCopy.getOrPut(model) {
        view.runners.any { it.sourceOf(model) != WeightSource.STORE }
    }

    private fun computeFastestLoadMillis(model: String): Long {
        val cost = view.bounds.models[model] ?: return Long.MAX_VALUE / 4
        return view.runners.minOfOrNull { cost.loadMillis(it.sourceOf(model)) }
            ?: cost.storeLoadMillis
    }
}
