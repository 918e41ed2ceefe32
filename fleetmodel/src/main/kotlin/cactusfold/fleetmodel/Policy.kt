package cactusfold.fleetmodel

import cactusfold.decisions.residency.ResidencyOrder
import cactusfold.decisions.residency.ResidencyPlan
import cactusfold.decisions.residency.ResidencyPlanner
import cactusfold.decisions.residency.ResidencyView
import cactusfold.decisions.residency.RunnerState

/**
 * Policy that plans which models runners load and evict.
 *
 * @property firstStoreLoads concurrent loads from the weight store until some have been timed.
 */
public class Policy(
    public val name: String,
    public val summary: String,
    public val firstStoreLoads: Int = 2,
    private val plan: (ResidencyView, Long) -> ResidencyPlan
) {
    /** Returns the plan for [view] at [nowMillis]. */
    public fun plan(view: ResidencyView, nowMillis: Long): ResidencyPlan =
        plan.invoke(view, nowMillis)

    public companion object {
        /** Planner used in production. */
        public val PRODUCT: Policy =
            Policy("product", "the production planner", plan = ResidencyPlanner()::plan)

        /** Production planner without the long-term rates and refusals that predict callers. */
        public val ONLY_WAITING: Policy = Policy(
            "only-waiting",
            "the production planner, serving only callers that already wait"
        ) { view, nowMillis ->
            val withoutForecast = view.copy(
                longTermArrivalsPerSecond = emptyMap(),
                demands = view.demands.map { it.copy(refusedSinceLoad = 0) }
            )
            ResidencyPlanner().plan(withoutForecast, nowMillis)
        }

        /** Loads models in order of their first waiting request; evicts the least recently used. */
        public val OLDEST_OUT: Policy = Policy(
            "oldest-out",
            "loads in order of arrival, evicts the least recently used model",
            plan = ::oldestOut
        )

        /** Production planner that takes all callers for equally urgent, with four first loads. */
        public val EQUAL_PRIORITIES: Policy = Policy(
            "equal-priorities",
            "the production planner without priorities, with four first loads from the store",
            firstStoreLoads = 4
        ) { view, nowMillis ->
            ResidencyPlanner().plan(view.copy(usesPriorities = false), nowMillis)
        }

        public val all: List<Policy> = listOf(PRODUCT, ONLY_WAITING, OLDEST_OUT, EQUAL_PRIORITIES)
    }
}

private fun oldestOut(view: ResidencyView, nowMillis: Long): ResidencyPlan {
    val loading = view.runners.mapNotNull { it.loading }.toSet()
    val resident = view.runners.flatMap { it.served.keys }.toSet()
    val wanted = view.demands.map { it.model }.toSet()
    val free = view.runners.filterNot { it.isBusy }.toMutableList()
    val steps = mutableListOf<ResidencyOrder>()
    for (demand in view.demands.filter { it.model !in resident && it.model !in loading }) {
        val runner = free.minByOrNull { loadMillis(view, it, demand.model) } ?: break
        val evicted = leastRecent(view, runner, wanted) ?: continue
        free -= runner
        val millis = loadMillis(view, runner, demand.model)
        steps += ResidencyOrder.Load(
            runner.id,
            demand.model,
            runner.sourceOf(demand.model),
            evicted,
            millis
        )
    }
    return ResidencyPlan(steps, tooLate = emptyList(), readyAtMillis = emptyMap())
}

private fun loadMillis(view: ResidencyView, runner: RunnerState, model: String): Long =
    view.bounds.models.getValue(model).loadMillis(runner.sourceOf(model))

/**
 * Returns the models to evict so that one more fits: an empty list if there is room, or null if all
 * resident models are requested or in use.
 */
private fun leastRecent(
    view: ResidencyView,
    runner: RunnerState,
    wanted: Set<String>
): List<String>? {
    val resident = runner.adaptersByModel.keys
    val modelMegabytes = view.bounds.models.values.first().weightMegabytes
    if ((resident.size + 1) * modelMegabytes <= view.bounds.weightMegabytes) return emptyList()
    return resident.filter { it !in wanted && (runner.inFlight[it] ?: 0) == 0 }
        .minByOrNull { runner.lastUsedMillis[it] ?: 0L }?.let { listOf(it) }
}
