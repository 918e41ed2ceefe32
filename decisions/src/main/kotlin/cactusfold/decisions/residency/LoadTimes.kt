package cactusfold.decisions.residency

/** What loads of models take where they are quickest. */
internal class LoadTimes(private val view: ResidencyView) {
    private val soonestMillis = HashMap<String, Long>()

    /** Returns what loading [model] takes where it is quickest, whether or not that runner is free. */
    fun soonestMillis(model: String): Long = soonestMillis.getOrPut(model) { quickest(model) }

    private fun quickest(model: String): Long {
        val cost = view.bounds.models[model] ?: return Long.MAX_VALUE / 4
        return view.runners.minOfOrNull { cost.loadMillis(it.sourceOf(model)) }
            ?: cost.storeLoadMillis
    }
}
