package cactusfold.decisions.residency

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.persistentListOf

/**
 * A model's memory size and its load time from each weight source.
 *
 * @property adapterMegabytes memory of each loaded adapter.
 * @property adapters number of adapters configured for the model.
 */
public data class ModelCost(
    public val name: String,
    public val weightMegabytes: Double,
    public val adapterMegabytes: Double,
    public val adapters: Int,
    public val storeLoadMillis: Long,
    public val diskLoadMillis: Long,
    public val memoryLoadMillis: Long
) {
    /** Returns the load time from [source]. */
    public fun loadMillis(source: WeightSource): Long = when (source) {
        WeightSource.HOST_MEMORY -> memoryLoadMillis
        WeightSource.DISK -> diskLoadMillis
        WeightSource.STORE -> storeLoadMillis
    }
}

/**
 * Capacity of the runners of one service, and the models that they may load.
 *
 * @property slots requests that one runner processes concurrently.
 * @property weightMegabytes memory of one runner for models and adapters.
 * @property adapterSlots adapters that one runner can have loaded.
 * @property storeLoadsAtOnce concurrent loads that the weight store sustains at full speed.
 * @property overheadMillis time of a load in addition to reading the weights: sending the order and
 *   receiving the runner's report.
 */
public data class RunnerBounds(
    public val slots: Int,
    public val weightMegabytes: Double,
    public val adapterSlots: Int,
    public val storeLoadsAtOnce: Int,
    public val overheadMillis: Long,
    public val models: ImmutableMap<String, ModelCost>
) {
    /**
     * Returns the memory of [model] with a number of its [adapters]. A model that is no longer
     * configured has unknown size and counts as filling the runner.
     */
    public fun megabytesOf(model: String, adapters: Int): Double {
        val cost = models[model] ?: return weightMegabytes
        return cost.weightMegabytes + adapters * cost.adapterMegabytes
    }

    /** Returns the bounds less what any one order may take. */
    public fun lessAnyOrder(): RunnerBounds = copy(
        weightMegabytes = weightMegabytes -
            (models.values.maxOfOrNull { maxOf(it.weightMegabytes, it.adapterMegabytes) } ?: 0.0),
        adapterSlots = adapterSlots - 1
    )
}

/**
 * State of a runner as known to the lease holder.
 *
 * @property served models and adapters that requests can be sent for.
 * @property adaptersByModel models that occupy or may occupy memory, each with its adapters,
 *   including those of pending orders.
 * @property loading model of the pending load order; its memory already counts as used.
 * @property loadedAtMillis when that load should be done.
 * @property isBusy whether no model order may be sent, because one is pending or the last failed.
 * @property adapterOrders number of pending adapter orders.
 * @property inFlight in-flight requests by model.
 * @property lastUsedMillis when each model in memory was last used.
 * @property requestsPerSecond requests that the runner accepts from all VMs together; null if it
 *   states no limit.
 * @property softwareVersion the version of the runner's software.
 * @property freeAtMillis when a runner without a pending load that is busy, or has adapter orders,
 *   is expected to take the next order; 0 if that is not known.
 * @property region the region of the runner; null if its zone has none.
 */
public data class RunnerState(
    public val id: String,
    public val served: ImmutableMap<String, ImmutableSet<String>>,
    public val adaptersByModel: ImmutableMap<String, ImmutableSet<String>>,
    public val modelsInHostMemory: ImmutableSet<String>,
    public val modelsOnDisk: ImmutableSet<String>,
    public val loading: String?,
    public val loadedAtMillis: Long,
    public val loadsFromStore: Boolean,
    public val isBusy: Boolean,
    public val adapterOrders: Int,
    public val inFlight: ImmutableMap<String, Int>,
    public val lastUsedMillis: ImmutableMap<String, Long>,
    public val requestsPerSecond: Double? = null,
    public val softwareVersion: String = "",
    public val freeAtMillis: Long = 0,
    public val region: String? = null
) {
    /** Returns the source from which the runner would load the weights of [model]. */
    public fun sourceOf(model: String): WeightSource = when (model) {
        in modelsInHostMemory -> WeightSource.HOST_MEMORY
        in modelsOnDisk -> WeightSource.DISK
        else -> WeightSource.STORE
    }
}

/**
 * Demand for a model or one of its adapters.
 *
 * @property waiting requests that no runner can serve now.
 * @property refusedSinceLoad refusals since the model's last load; prevents starvation.
 * @property targetAtMillis earliest target response time among the requests.
 * @property deadlineAtMillis latest deadline among the requests.
 * @property softwareVersion the only version whose runners can serve the requests, which continue
 *   streams that began there; null for any.
 * @property byPriority the waiting requests by priority, the most urgent first.
 * @property homeRegions the only regions whose runners can serve the requests; empty for any.
 */
public data class ModelDemand(
    public val model: String,
    public val adapter: String?,
    public val waiting: Int,
    public val targetAtMillis: Long,
    public val deadlineAtMillis: Long,
    public val refusedSinceLoad: Int = 0,
    public val softwareVersion: String? = null,
    public val byPriority: ImmutableList<PriorityDemand> = persistentListOf(),
    public val homeRegions: Set<String> = emptySet()
) {
    /** Returns whether [runner] can serve the requests once it has the model. */
    public fun accepts(runner: RunnerState): Boolean =
        (softwareVersion == null || softwareVersion == runner.softwareVersion) &&
            (homeRegions.isEmpty() || runner.region in homeRegions)
}

/** Where the weights of a model are loaded from. */
public enum class WeightSource { HOST_MEMORY, DISK, STORE }

/** An order of the planner to a runner. */
public sealed interface ResidencyOrder {
    public val runner: String

    /** Loads [model] after unloading the models [evicted]. */
    public data class Load(
        override val runner: String,
        public val model: String,
        public val source: WeightSource,
        public val evicted: List<String>,
        public val loadMillis: Long
    ) : ResidencyOrder

    /** Loads [adapter] after unloading [evicted], a pair of a model and its adapter. */
    public data class LoadAdapter(
        override val runner: String,
        public val model: String,
        public val adapter: String,
        public val evicted: Pair<String, String>?
    ) : ResidencyOrder
}

/** Reason why a model or adapter that requests wait for can't be loaded now. */
public enum class Obstacle {
    /** Every runner that could load it is executing another order. */
    RUNNERS_BUSY,

    /** The weight store has reached its concurrency or the rate limit of load starts. */
    STORE_LIMIT,

    /** Everything that could be evicted is in use or waited for. */
    NO_ROOM,

    /** It would be ready after all deadlines, and too few later callers are expected. */
    TOO_LATE
}

/** Demand for a model or an adapter that can't be loaded now. */
public data class BlockedDemand(
    public val model: String,
    public val adapter: String?,
    public val obstacle: Obstacle
)

/**
 * When [model] should be ready for requests that only some runners can serve.
 *
 * @property softwareVersion the version of these runners; null for any.
 * @property homeRegions the regions of these runners; empty for any.
 * @property isTooLate whether that is after the deadlines of all that wait.
 */
public data class VersionForecast(
    public val model: String,
    public val softwareVersion: String?,
    public val readyAtMillis: Long,
    public val homeRegions: Set<String> = emptySet(),
    public val isTooLate: Boolean = false
)

/**
 * The planner's orders and forecasts.
 *
 * @property tooLate models that will be ready only after the deadlines of all waiting requests.
 * @property readyAtMillis when each model that requests wait for should be ready.
 * @property atVersions forecasts for requests that only runners of one version or of some regions
 *   can serve.
 */
public data class ResidencyPlan(
    public val steps: List<ResidencyOrder>,
    public val tooLate: List<String>,
    public val readyAtMillis: Map<String, Long>,
    public val blocked: List<BlockedDemand> = emptyList(),
    public val atVersions: List<VersionForecast> = emptyList()
)
