package cactusfold.decisions.residency

/**
 * What holding and loading models costs callers that are still to come: milliseconds of waiting a
 * second.
 *
 * @param replicas runners that hold each model, with what has been decided so far.
 */
internal class ExpectedWaiting(
    private val view: ResidencyView,
    private val times: LoadTimes,
    private val replicas: Map<String, Int>
) {
    private val models = view.bounds.models

    /** Returns what dropping [model] from one of its runners costs. */
    fun ofDropping(model: String): Double {
        val cost = models[model] ?: return 0.0
        val others = (replicas[model] ?: 1) - 1
        if (others > 0) {
            val perSecond = (view.arrivalsPerSecond[model] ?: 0.0) + unseenPerSecond(cost)
            return perSecond * REPLICA_LOSS_MILLIS / others
        }
        return ofAbsence(cost)
    }

    /** Returns what it costs that no runner holds the model. */
    fun ofAbsence(cost: ModelCost): Double {
        val lately = view.arrivalsPerSecond[cost.name] ?: 0.0
        val habitually = view.habitualPerSecond[cost.name] ?: 0.0
        return (maxOf(lately, habitually) + unseenPerSecond(cost)) *
            times.soonestMillis(cost.name)
    }

    /**
     * Returns what it costs requests that need an adapter on [runner] that it takes no order for one
     * during a load: it carries out one order at a time.
     */
    fun ofAdaptersDuring(runner: RunnerState, loadMillis: Long): Double =
        runner.served.keys.sumOf { model ->
            val hasAdapters = (models[model]?.adapters ?: 0) > 0
            val perSecond = if (hasAdapters) view.arrivalsPerSecond[model] ?: 0.0 else 0.0
            perSecond * ADAPTER_MISS_SHARE * loadMillis / (replicas[model] ?: 1).coerceAtLeast(1)
        }

    /** Returns how many callers are expected while [model] is loaded. */
    fun callersDuringLoad(model: String): Double =
        (view.habitualPerSecond[model] ?: 0.0) * times.soonestMillis(model) / MILLIS_PER_SECOND

    /** A model with adapters serves that many more kinds of work. */
    private fun unseenPerSecond(cost: ModelCost): Double =
        UNSEEN_ARRIVALS_PER_SECOND * (1 + cost.adapters)

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /** Arrivals assumed of a model or adapter not asked for lately: one in ten minutes. */
        const val UNSEEN_ARRIVALS_PER_SECOND = 1.0 / 600

        /** What a request loses when one of several copies goes, in milliseconds of waiting. */
        const val REPLICA_LOSS_MILLIS = 50.0

        /** Share of a model's requests that need an adapter which its runners don't hold, assumed. */
        const val ADAPTER_MISS_SHARE = 0.1
    }
}
