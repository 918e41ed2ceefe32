package cactusfold.decisions.residency

/**
 * Expected waiting time that a residency decision causes to future callers, in milliseconds of
 * waiting per second.
 *
 * @param replicas number of runners that have each model, including the orders planned so far.
 */
internal class WaitingCost(
    private val view: ResidencyView,
    private val times: LoadTimes,
    private val replicas: Map<String, Int>
) {
    private val models = view.bounds.models

    /** Returns the cost of evicting [model] from one of its runners. */
    fun ofEvicting(model: String): Double {
        val cost = models[model] ?: return 0.0
        val others = (replicas[model] ?: 1) - 1
        if (others > 0) {
            val perSecond = (view.arrivalsPerSecond[model] ?: 0.0) + baselinePerSecond(cost)
            return perSecond * REPLICA_LOSS_MILLIS / others
        }
        return ofAbsence(cost)
    }

    /** Returns the cost of having the model on no runner. */
    fun ofAbsence(cost: ModelCost): Double {
        val recent = view.arrivalsPerSecond[cost.name] ?: 0.0
        val longTerm = view.longTermArrivalsPerSecond[cost.name] ?: 0.0
        return (maxOf(recent, longTerm) + baselinePerSecond(cost)) *
            times.fastestLoadMillis(cost.name)
    }

    /**
     * Returns the cost of delaying adapter loads on [runner] for [loadMillis]: a runner executes
     * one order at a time, so requests for an adapter that is not loaded wait until the load is
     * done.
     */
    fun ofDelayingAdapters(runner: RunnerState, loadMillis: Long): Double =
        runner.served.keys.sumOf { model ->
            val hasAdapters = (models[model]?.adapters ?: 0) > 0
            val perSecond = if (hasAdapters) view.arrivalsPerSecond[model] ?: 0.0 else 0.0
            perSecond * ADAPTER_MISS_SHARE * loadMillis / (replicas[model] ?: 1).coerceAtLeast(1)
        }

    /** Returns the number of callers expected to arrive while [model] is being loaded. */
    fun arrivalsDuringLoad(model: String): Double =
        (view.longTermArrivalsPerSecond[model] ?: 0.0) * times.fastestLoadMillis(model) /
            MILLIS_PER_SECOND

    /** Whether callers of [model] have come within the last minutes, so that more are expected. */
    fun hasExpectedCallers(model: String): Boolean =
        (view.longTermArrivalsPerSecond[model] ?: 0.0) > 0 ||
            (view.arrivalsPerSecond[model] ?: 0.0) > 0

    /** Returns the callers of [model] during a load, by its recent or its long-term arrivals. */
    fun callersDuringLoad(model: String): Double = maxOf(
        view.arrivalsPerSecond[model] ?: 0.0,
        view.longTermArrivalsPerSecond[model] ?: 0.0
    ) * times.fastestLoadMillis(model) / MILLIS_PER_SECOND

    /**
     * Returns the most urgent priority such that at least [callers] of it or of more urgent ones
     * are expected to arrive while [model] is being loaded, or none.
     */
    fun prioritiesDuringLoad(model: String, callers: Double): List<Int> {
        val perSecond = view.arrivalsByPriority[model].orEmpty()
        val loadSeconds = times.fastestLoadMillis(model) / MILLIS_PER_SECOND
        var expected = 0.0
        for (priority in perSecond.keys.sorted()) {
            expected += perSecond.getValue(priority) * loadSeconds
            if (expected >= callers) return listOf(priority)
        }
        return emptyList()
    }

    /** Returns the assumed base rate of a model; each of its adapters adds the same rate again. */
    private fun baselinePerSecond(cost: ModelCost): Double =
        BASELINE_ARRIVALS_PER_SECOND * (1 + cost.adapters)

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /** Arrivals assumed for a model or adapter without recent requests: one in ten minutes. */
        const val BASELINE_ARRIVALS_PER_SECOND = 1.0 / 600

        /** Waiting time added to a request when one of several replicas is evicted. */
        const val REPLICA_LOSS_MILLIS = 50.0

        /** Assumed share of a model's requests that need an adapter not loaded on its runners. */
        const val ADAPTER_MISS_SHARE = 0.1
    }
}
