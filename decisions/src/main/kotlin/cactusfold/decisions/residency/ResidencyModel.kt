package cactusfold.decisions.residency

import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.ImmutableSet

/** A model's size and the time that a load takes, by where its weights are. */
public data class ModelCost(
    public val name: String,
    public val weightMegabytes: Double,
    public val adapterMegabytes: Double,
    public val adapters: Int,
    public val storeLoadMillis: Long,
    public val diskLoadMillis: Long,
    public val memoryLoadMillis: Long
) {
    /** Returns what a load takes from [source]. */
    public fun loadMillis(source: WeightSource): Long = when (source) {
        WeightSource.HOST_MEMORY -> memoryLoadMillis
        WeightSource.DISK -> diskLoadMillis
        WeightSource.STORE -> storeLoadMillis
    }
}

/**
 * What the runners of one service may hold.
 *
 * @property slots requests that one runner processes at once.
 * @property storeLoadsAtOnce loads from the weight store that run at full speed together.
 * @property overheadMillis what a load takes beside the weights: orders, and the runner's report.
 */
public data class RunnerBounds(
    public val slots: Int,
    public val weightMegabytes: Double,
    public val adapterSlots: Int,
    public val storeLoadsAtOnce: Int,
    public val overheadMillis: Long,
    public val models: ImmutableMap<String, ModelCost>
)

/**
 * A runner as its holder knows it.
 *
 * @property served models and adapters that requests can be sent for.
 * @property adaptersByModel what takes memory or may do so, orders on their way included.
 * @property loading the model that an order on its way will add; its memory is taken already.
 * @property loadedAtMillis when that load should be done.
 * @property isBusy whether no order for a model may be sent: one is on its way, or the last failed.
 * @property adapterOrders adapters on their way.
 * @property inFlight requests that run there, by model.
 * @property lastUsedMillis when each model in memory was last used.
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
    public val lastUsedMillis: ImmutableMap<String, Long>
) {
    /** Returns where the runner would take [model]'s weights from. */
    public fun sourceOf(model: String): WeightSource = when (model) {
        in modelsInHostMemory -> WeightSource.HOST_MEMORY
        in modelsOnDisk -> WeightSource.DISK
        else -> WeightSource.STORE
    }
}

/**
 * Requests for a model or an adapter of it.
 *
 * @property waiting requests that no runner can take now.
 * @property refusedSinceLoad requests refused since the model was last loaded, so that none starves.
 * @property targetAtMillis the earliest moment at which one of them should have been answered.
 * @property deadlineAtMillis the last moment at which an answer is of use to any of them.
 */
public data class ModelDemand(
    public val model: String,
    public val adapter: String?,
    public val waiting: Int,
    public val targetAtMillis: Long,
    public val deadlineAtMillis: Long,
    public val refusedSinceLoad: Int = 0
)

/** Where a load takes the weights from. */
public enum class WeightSource { HOST_MEMORY, DISK, STORE }

/** A decision of the planner. */
public sealed interface ResidencyOrder {
    public val runner: String

    /** Load [model], after having unloaded [evicted]. */
    public data class Load(
        override val runner: String,
        public val model: String,
        public val source: WeightSource,
        public val evicted: List<String>,
        public val loadMillis: Long
    ) : ResidencyOrder

    /** Load an adapter, after having dropped [evicted], which is a model and its adapter. */
    public data class LoadAdapter(
        override val runner: String,
        public val model: String,
        public val adapter: String,
        public val evicted: Pair<String, String>?
    ) : ResidencyOrder
}

/** Why nothing is done now for a model or an adapter that requests wait for. */
public enum class Obstacle {
    /** Every runner that could take it carries out another order. */
    RUNNERS_BUSY,

    /** The weight store carries no further load, or its loads in a while are spent. */
    STORE_LIMIT,

    /** What the runners hold is in use or waited for. */
    NO_ROOM,

    /** Callers leave before it could be there, and too few come after them. */
    TOO_LATE
}

/** A model, or an adapter of it, that requests wait for in vain for now. */
public data class BlockedDemand(
    public val model: String,
    public val adapter: String?,
    public val obstacle: Obstacle
)

/**
 * What the planner decided.
 *
 * @property tooLate models that will be there too late for all that wait.
 * @property readyAtMillis when each model that is waited for should be there.
 */
public data class ResidencyPlan(
    public val steps: List<ResidencyOrder>,
    public val tooLate: List<String>,
    public val readyAtMillis: Map<String, Long>,
    public val blocked: List<BlockedDemand> = emptyList()
)
