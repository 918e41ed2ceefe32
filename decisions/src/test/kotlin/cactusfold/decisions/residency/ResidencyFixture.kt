package cactusfold.decisions.residency

import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toImmutableMap
import kotlinx.collections.immutable.toImmutableSet

/** Builds input for the planner: models a to l of 70 MB each, where only a has adapters. */
abstract class ResidencyFixture {
    protected val planner = ResidencyPlanner()
    protected val now = 100_000L

    private fun cost(name: String, adapters: Int = 0): ModelCost =
        ModelCost(name, 70.0, 1.0, adapters, 9_000, 2_000, 1_000)

    private val bounds = RunnerBounds(
        slots = 10,
        weightMegabytes = 230.0,
        adapterSlots = 2,
        storeLoadsAtOnce = 2,
        overheadMillis = 300,
        models = ('a'..'l').map { it.toString() }
            .associateWith { cost(it, if (it == "a") 8 else 0) }.toImmutableMap()
    )

    protected fun held(
        vararg models: Pair<String, Set<String>>
    ): ImmutableMap<String, ImmutableSet<String>> =
        models.associate { it.first to it.second.toImmutableSet() }.toImmutableMap()

    protected fun runner(
        id: String,
        models: ImmutableMap<String, ImmutableSet<String>>,
        disk: Set<String> = emptySet(),
        inFlight: Map<String, Int> = emptyMap()
    ): RunnerState = RunnerState(
        id = id,
        served = models,
        adaptersByModel = models,
        modelsInHostMemory = persistentSetOf(),
        modelsOnDisk = disk.toImmutableSet(),
        loading = null,
        loadedAtMillis = 0,
        loadsFromStore = false,
        isBusy = false,
        adapterOrders = 0,
        inFlight = inFlight.toImmutableMap(),
        lastUsedMillis = emptyMap<String, Long>().toImmutableMap()
    )

    protected fun demand(
        model: String,
        waiting: Int = 1,
        deadlineInMillis: Long = 30_000,
        adapter: String? = null
    ): ModelDemand = ModelDemand(model, adapter, waiting, now + 4_000, now + deadlineInMillis)

    protected fun view(
        runners: List<RunnerState>,
        demands: List<ModelDemand>,
        rates: Map<String, Double> = emptyMap(),
        used: Map<String, Map<Pair<String, String>, Long>> = emptyMap(),
        longTermRates: Map<String, Double> = emptyMap(),
        storeLoads: Int = 10,
        joinedAgoMillis: Long = 60_000
    ): ResidencyView = ResidencyView(
        bounds,
        runners,
        demands,
        rates,
        longTermRates,
        used,
        storeLoads,
        now - joinedAgoMillis
    )

    protected fun loads(plan: ResidencyPlan): List<ResidencyOrder.Load> =
        plan.steps.filterIsInstance<ResidencyOrder.Load>()
}
