package cactusfold.decisions.placement

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

/**
 * Something that can be loaded on a runner: a model, or an adapter of [base].
 *
 * @property memoryBytes accelerator memory that one replica takes.
 */
public data class ModelSpec(
    public val name: String,
    public val memoryBytes: Long,
    public val base: String?
)

/**
 * A runner as configured.
 *
 * @property modelMemoryBytes accelerator memory for models; what the KV cache needs is taken off.
 * @property slots requests that it batches at once.
 * @property checksFence whether it refuses an order with an old fence.
 */
public data class RunnerSpec(
    public val name: String,
    public val host: String,
    public val port: Int,
    public val zone: String,
    public val modelMemoryBytes: Long,
    public val slots: Int,
    public val checksFence: Boolean
)

/** How far a model on a runner is, by the runner's own inventory. */
public enum class ModelPhase { LOADING, READY, UNLOADING }

/** A model in a runner's inventory. */
public data class InventoryModel(public val name: String, public val phase: ModelPhase)

/**
 * What a runner said of itself.
 *
 * @property readAtMillis when the question was sent; orders sent later may be missing from it.
 * @property fence the highest fence the runner has seen; 0 when it ignores fences.
 * @property bootId changes with each start of the runner.
 */
public data class Inventory(
    public val readAtMillis: Long,
    public val bootId: String,
    public val models: PersistentMap<String, InventoryModel>,
    public val onDisk: PersistentSet<String>,
    public val running: Int,
    public val waiting: Int,
    public val fence: Long = 0
)

/** What an order asks of a runner. */
public enum class OrderKind { LOAD, UNLOAD }

/** How much is known of an order. */
public enum class OrderPhase {
    /** Its intent is being written; nothing was sent. */
    INTENDED,

    /** Sent, and not acknowledged yet. */
    SENT,

    /** The runner took it. */
    ACKNOWLEDGED
}

/** An order to a runner. It is repeated with the same [id] until its outcome is known. */
public data class Order(
    public val id: String,
    public val kind: OrderKind,
    public val runner: String,
    public val model: String,
    public val memoryBytes: Long,
    public val fence: Long,
    public val phase: OrderPhase,
    public val changedAtMillis: Long
)

/** A runner and all that is known of it. [orders] are those not yet settled, by model. */
public data class RunnerState(
    public val spec: RunnerSpec,
    public val inventory: Inventory? = null,
    public val orders: PersistentMap<String, Order> = persistentMapOf(),
    public val leaving: Boolean = false,
    public val failedAtMillis: Long? = null
)

/** What one router reported of a model. */
public data class RouterDemand(
    public val waiting: Int,
    public val running: Int,
    public val deadlineAtMillis: Long?,
    public val targetMillis: Long,
    public val reportedAtMillis: Long
)

/** A model's demand and history. Kept only for models that were wanted lately. */
public data class ModelDemandState(
    public val routers: PersistentMap<String, RouterDemand> = persistentMapOf(),
    public val history: ArrivalHistory = ArrivalHistory(),
    public val version: Long = 0,
    public val wantedSinceMillis: Long? = null
) {
    /** Requests waiting over all routers. */
    public val waiting: Int get() = routers.values.sumOf { it.waiting }

    /** Requests running over all routers. */
    public val running: Int get() = routers.values.sumOf { it.running }

    /** The earliest deadline over all routers. */
    public val deadlineAtMillis: Long? get() = routers.values.mapNotNull {
        it.deadlineAtMillis
    }.minOrNull()
}

/**
 * A placement cell: a group of runners under one holder, and the models that live on them.
 *
 * @property recovered whether the intents of earlier holders were read; nothing is ordered before.
 * @property intentsRetryAtMillis when the table may be tried again after an intent was not written.
 */
public data class CellState(
    public val cell: String,
    public val fence: Long,
    public val runners: PersistentMap<String, RunnerState> = persistentMapOf(),
    public val specs: PersistentMap<String, ModelSpec> = persistentMapOf(),
    public val demand: PersistentMap<String, ModelDemandState> = persistentMapOf(),
    public val wanted: PersistentSet<String> = persistentSetOf(),
    public val recovered: Boolean = false,
    public val nextOrder: Long = 1,
    public val intentsRetryAtMillis: Long = Long.MIN_VALUE
)

/** What happens to a cell. */
public sealed interface CellEvent {
    /** Time has passed. */
    public data object Tick : CellEvent

    /** The configuration changed. */
    public data class Configured(
        public val runners: List<RunnerSpec>,
        public val models: List<ModelSpec>
    ) : CellEvent

    /** The intents of earlier holders were read; they count until the runners resolve them. */
    public data class Recovered(public val intents: List<Order>) : CellEvent

    /** A router reported demand. */
    public data class Demanded(
        public val model: String,
        public val router: String,
        public val demand: RouterDemand,
        public val arrivals: Int
    ) : CellEvent

    /** A runner answered with its inventory. */
    public data class InventoryRead(public val runner: String, public val inventory: Inventory) :
        CellEvent

    /** A runner can't be reached. */
    public data class RunnerFailed(public val runner: String) : CellEvent

    /** The platform lists the runner's VM as leaving. */
    public data class RunnerLeaving(public val runner: String) : CellEvent

    /** The intent of [orderId] is written. */
    public data class IntentWritten(public val runner: String, public val orderId: String) :
        CellEvent

    /** The intent of [orderId] was not written; nothing was sent. */
    public data class IntentFailed(public val runner: String, public val orderId: String) :
        CellEvent

    /** The runner took the order. */
    public data class OrderAcknowledged(public val runner: String, public val orderId: String) :
        CellEvent

    /** The runner refused the order; it had no effect and never will. */
    public data class OrderRefused(public val runner: String, public val orderId: String) :
        CellEvent

    /** No answer came; the order may have had its effect or may yet have it. */
    public data class OrderUnknown(public val runner: String, public val orderId: String) :
        CellEvent
}

/** What a cell asks its surroundings to do. */
public sealed interface CellEffect {
    /** Write the intent row of [order], on condition of the fence. */
    public data class WriteIntent(public val order: Order) : CellEffect

    /** Delete the intent row of [order]: its outcome is known. */
    public data class ClearIntent(public val order: Order) : CellEffect

    /** Send [order] to its runner. */
    public data class Send(public val order: Order) : CellEffect

    /** The replicas of [model] changed; tell the routers that watch it. */
    public data class PlacementChanged(public val model: String) : CellEffect

    /** Nothing can take [model] now: it does not fit anywhere, even after evictions. */
    public data class NoCapacity(public val model: String) : CellEffect
}
