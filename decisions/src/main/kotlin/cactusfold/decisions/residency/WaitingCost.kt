package cactusfold.decisions.residency

/**
 * What holding and loading models costs callers that are still to come: milliseconds of waiting a
 * second.
 *
 * @param replicas runners that hold each model, with what has been decided so far.
 */
internal class WaitingCost(
    private val view: ResidencyView,
    private val times: LoadTimes,
    private val replicas: Map<String, Int>
) {
    private val models = view.bounds.models

    /** Returns what dropping [model] from one of its runners costs. */
    fun ofEvicting(model: String): Double {
        val cost = models[model] ?: return 0.0
        val others = (replicas[model] ?: 1) - 1
        if (others > 0) {
            val perSecond = (view.arrivalsPerSecond[model] ?: 0.0) + baselinePerSecond(cost)
            return perSecond * REPLICA_LOSS_MILLIS / others
        }
        return ofAbsence(cost)
    }

    /** Returns what it costs that no runner holds the model. */
    fun ofAbsence(cost: ModelCost): Double {
        val recent = view.arrivalsPerSecond[cost.name] ?: 0.0
        val longTerm = view.longTermArrivalsPerSecond[cost.name] ?: 0.0
        return (maxOf(recent, longTerm) + baselinePerSecond(cost)) *
            times.fastestLoadMillis(cost.name)
    }

    /**
     * Returns what it costs requests that need an adapter on [runner] that it takes no order for one
     * during a load: it carries out one order at a time.
     */
    fun ofDelayingAdapters(runner: RunnerState, loadMillis: Long): Double =
        runner.served.keys.sumOf { model ->
            val hasAdapters = (models[model]?.adapters ?: 0) > 0
            val perSecond = if (hasAdapters) view.arrivalsPerSecond[model] ?: 0.0 else 0.0
            perSecond * ADAPTER_MISS_SHARE * loadMillis / (replicas[model] ?: 1).coerceAtLeast(1)
        }

    /** Returns how many callers are expected while [model] is loaded. */
    fun arrivalsDuringLoad(model: String): Double =
        (view.longTermArrivalsPerSecond[model] ?: 0.0) * times.fastestLoadMillis(model) /
            MILLIS_PER_SECOND

    /** A model with adapters serves that many more kinds of work. */
    private fun baselinePerSecond(cost: ModelCost): Double =
        BASELINE_ARRIVALS_PER_SECOND * (1 + cost.adapters)

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /** Arrivals assumed of a model or adapter not asked for lately: one in ten minutes. */
        const val BASELINE_ARRIVALS_PER_SECOND = 1.0 / 600

        /** What a request loses when one of several copies goes, in milliseconds of waiting. */
        const val REPLICA_LOSS_MILLIS = 50.0

        /** Share of a model's requests that need an adapter which its runners don't hold, assumed. */
        const val ADAPTER_MISS_SHARE = 0.1
    }
}
