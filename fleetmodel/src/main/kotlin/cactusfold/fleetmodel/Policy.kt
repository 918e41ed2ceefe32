package cactusfold.fleetmodel

import cactusfold.decisions.residency.ResidencyOrder
import cactusfold.decisions.residency.ResidencyPlan
import cactusfold.decisions.residency.ResidencyPlanner
import cactusfold.decisions.residency.ResidencyView
import cactusfold.decisions.residency.RunnerState

/** A way to decide which models runners hold. */
public class Policy(
    public val name: String,
    public val summary: String,
    private val plan: (ResidencyView, Long) -> ResidencyPlan
) {
    /** Returns what to do now. */
    public fun plan(view: ResidencyView, nowMillis: Long): ResidencyPlan =
        plan.invoke(view, nowMillis)

    public companion object {
        /** What the product does. */
        public val PRODUCT: Policy =
            Policy("product", "the product's planner", ResidencyPlanner()::plan)

        /** The product's planner without regard to callers that are still to come. */
        public val ONLY_WAITING: Policy = Policy(
            "only-waiting",
            "loads only what those that wait can be served by"
        ) { view, nowMillis ->
            val blind = view.copy(
                longTermArrivalsPerSecond = emptyMap(),
                demands = view.demands.map { it.copy(refusedSinceLoad = 0) }
            )
            ResidencyPlanner().plan(blind, nowMillis)
        }

        /** First come, first loaded; what was unused longest makes way. */
        public val OLDEST_OUT: Policy = Policy(
            "oldest-out",
            "first come, first loaded; the least recently used makes way",
            ::oldestOut
        )

        /** All policies. */
        public val all: List<Policy> = listOf(PRODUCT, ONLY_WAITING, OLDEST_OUT)
    }
}

private fun oldestOut(view: ResidencyView, nowMillis: Long): ResidencyPlan {
    val coming = view.runners.mapNotNull { it.loading }.toSet()
    val held = view.runners.flatMap { it.served.keys }.toSet()
    val wanted = view.demands.map { it.model }.toSet()
    val free = view.runners.filterNot { it.isBusy }.toMutableList()
    val steps = mutableListOf<ResidencyOrder>()
    for (demand in view.demands.filter { it.model !in held && it.model !in coming }) {
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

/** Returns what makes room for one model, nothing if there is room, or null if all is in use. */
private fun leastRecent(
    view: ResidencyView,
    runner: RunnerState,
    wanted: Set<String>
): List<String>? {
    val held = runner.adaptersByModel.keys
    val each = view.bounds.models.values.first().weightMegabytes
    if ((held.size + 1) * each <= view.bounds.weightMegabytes) return emptyList()
    return held.filter { it !in wanted && (runner.inFlight[it] ?: 0) == 0 }
        .minByOrNull { runner.lastUsedMillis[it] ?: 0L }?.let { listOf(it) }
}
