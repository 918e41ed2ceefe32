package cactusfold.decisions.residency

/** When the models that requests wait for should be ready, as one plan finds out. */
internal class LoadForecasts {
    /** Models that will be ready only after the deadlines of all requests that any runner serves. */
    val tooLate = mutableListOf<String>()

    /** When each model should be ready for requests that any runner serves. */
    val readyAtMillis = mutableMapOf<String, Long>()

    /** Forecasts for requests that only some runners serve. */
    val atVersions = mutableListOf<VersionForecast>()

    /** Records when the model of [demand] should be ready; null if that is not known. */
    fun record(demand: ModelDemand, ready: Long?) {
        val isTooLate = (ready ?: Long.MAX_VALUE) > demand.deadlineAtMillis
        if (demand.homeRegions.isEmpty()) {
            if (isTooLate) tooLate += demand.model
            ready?.let { readyAtMillis[demand.model] = it }
        } else if (ready != null) {
            atVersions +=
                VersionForecast(demand.model, null, ready, demand.homeRegions, isTooLate)
        }
    }

    /**
     * Returns the time that [place] sets for the model of [demand]. What holds in some regions says
     * nothing to requests that any runner serves, so the time before is restored for those.
     */
    fun placing(demand: ModelDemand, place: () -> Unit): Long? {
        val before = readyAtMillis[demand.model]
        place()
        val ready = readyAtMillis[demand.model]
        if (demand.homeRegions.isNotEmpty()) {
            readyAtMillis -= demand.model
            before?.let { readyAtMillis[demand.model] = it }
        }
        return ready
    }
}
