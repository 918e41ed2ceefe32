package cactusfold.decisions.residency

/** Load times of models on the runner where each loads fastest. */
internal class LoadTimes(private val view: ResidencyView) {
    private val fastestLoadMillis = HashMap<String, Long>()

    /** Returns the shortest load time of [model] over all runners, whether or not they are free. */
    fun fastestLoadMillis(model: String): Long =
        fastestLoadMillis.getOrPut(model) { computeFastestLoadMillis(model) }

    private fun computeFastestLoadMillis(model: String): Long {
        val cost = view.bounds.models[model] ?: return Long.MAX_VALUE / 4
        return view.runners.minOfOrNull { cost.loadMillis(it.sourceOf(model)) }
            ?: cost.storeLoadMillis
    }
}
