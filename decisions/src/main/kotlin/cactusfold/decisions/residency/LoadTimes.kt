package cactusfold.decisions.residency

/** What loads of models take where they are quickest. */
internal class LoadTimes(private val view: ResidencyView) {
    private val fastestLoadMillis = HashMap<String, Long>()

    /** Returns what loading [model] takes where it is quickest, whether or not that runner is free. */
    fun fastestLoadMillis(model: String): Long =
        fastestLoadMillis.getOrPut(model) { computeFastestLoadMillis(model) }

    private fun computeFastestLoadMillis(model: String): Long {
        val cost = view.bounds.models[model] ?: return Long.MAX_VALUE / 4
        return view.runners.minOfOrNull { cost.loadMillis(it.sourceOf(model)) }
            ?: cost.storeLoadMillis
    }
}
