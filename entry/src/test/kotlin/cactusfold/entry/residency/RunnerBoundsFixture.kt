package cactusfold.entry.residency

import cactusfold.decisions.residency.ModelCost
import cactusfold.decisions.residency.RunnerBounds
import kotlinx.collections.immutable.toImmutableMap

/** Returns the bounds of runners with 200 MB for [models] of 70 MB each. */
fun boundsWith(vararg models: String): RunnerBounds = RunnerBounds(
    slots = 4,
    weightMegabytes = 200.0,
    adapterSlots = 8,
    storeLoadsAtOnce = 2,
    overheadMillis = 300,
    models = models.associateWith { ModelCost(it, 70.0, 1.0, 8, 9_000, 2_000, 1_000) }
        .toImmutableMap()
)
