package cactusfold.decisions.placement

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

/**
 * A model, or an adapter of the model [base], that can be loaded on a runner.
 *
 * @property memoryBytes accelerator memory used by one replica.
 */
public data class ModelSpec(
    public val name: String,
    public val memoryBytes: Long,
    public val base: String?
)

/**
 * Configuration of a runner.
 *
 * @property modelMemoryBytes accelerator memory for models, excluding the KV cache.
 * @property slots maximum batch size in requests.
 * @property checksFence whether the runner rejects orders with an outdated fencing token.
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

/** State of a model according to the runner's inventory. */
public enum class ModelPhase { LOADING, READY, UNLOADING }

/** A model in a runner's inventory. */
public data class InventoryModel(public val name: String, public val phase: ModelPhase)

/**
 * State reported by a runner.
 *
 * @property readAtMillis when the inventory was requested; later orders may be missing from it.
 * @property fence highest fencing token seen by the runner; 0 if it ignores fencing tokens.
 * @property bootId identifies the runner's incarnation; it changes when the runner restarts.
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

/** Type of an order to a runner. */
public enum class OrderKind { LOAD, UNLOAD }

/** Progress of an order. */
public enum class OrderPhase {
    /** The intent is being written; the order has not been sent. */
    INTENDED,

    /** Sent but not acknowledged. */
    SENT,

    /** Accepted by the runner; the outcome is not known yet. */
    ACKNOWLEDGED
}

/** An order to a runner. It is resent with the same [id] until the runner acknowledges it. */
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

/**
 * Known state of a runner.
 *
 * @property orders unsettled orders by model.
 * @property leaving whether the runner's VM is about to be removed.
 */
public data class RunnerState(
    public val spec: RunnerSpec,
    public val inventory: Inventory? = null,
    public val orders: PersistentMap<String, Order> = persistentMapOf(),
    public val leaving: Boolean = false,
    public val failedAtMillis: Long? = null
)

/**
 * Demand for a model as reported by one router.
 *
 * @property targetMillis latency target of the requests.
 */
public data class RouterDemand(
    public val waiting: Int,
    public val running: Int,
    public val deadlineAtMillis: Long?,
    public val targetMillis: Long,
    public val reportedAtMillis: Long
)

/**
 * Demand for a model and its arrival history.
 *
 * @property version incremented whenever the model's placement changes.
 */
public data class ModelDemandState(
    public val routers: PersistentMap<String, RouterDemand> = persistentMapOf(),
    public val history: ArrivalHistory = ArrivalHistory(),
    public val version: Long = 0,
    public val wantedSinceMillis: Long? = null
) {
    /** Total of waiting requests over all routers. */
    public val waiting: Int get() = routers.values.sumOf { it.waiting }

    /** Total of running requests over all routers. */
    public val running: Int get() = routers.values.sumOf { it.running }

    /** The earliest deadline over all routers. */
    public val deadlineAtMillis: Long? get() = routers.values.mapNotNull {
        it.deadlineAtMillis
    }.minOrNull()
}

/**
 * State of a placement cell: a group of runners managed by one lease holder.
 *
 * @property fence fencing token of the current lease holder.
 * @property wanted models that need more replicas, including base models of wanted adapters.
 * @property recovered whether the intents of previous lease holders have been read; no order is
 *   sent before that.
 * @property intentsRetryAtMillis when to write intents again after a failed write.
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

/** An input of [CellMachine]. */
public sealed interface CellEvent {
    /** The periodic timer fired. */
    public data object Tick : CellEvent

    /** The configuration changed. */
    public data class Configured(
        public val runners: List<RunnerSpec>,
        public val models: List<ModelSpec>
    ) : CellEvent

    /** The intents of previous lease holders were read; they count until runners settle them. */
    public data class Recovered(public val intents: List<Order>) : CellEvent

    /** A router reported demand. */
    public data class Demanded(
        public val model: String,
        public val router: String,
        public val demand: RouterDemand,
        public val arrivals: Int
    ) : CellEvent

    /** A runner returned its inventory. */
    public data class InventoryRead(public val runner: String, public val inventory: Inventory) :
        CellEvent

    /** A runner is unreachable. */
    public data class RunnerFailed(public val runner: String) : CellEvent

    /** The platform announced the removal of the runner's VM. */
    public data class RunnerLeaving(public val runner: String) : CellEvent

    /** The intent of [orderId] was written. */
    public data class IntentWritten(public val runner: String, public val orderId: String) :
        CellEvent

    /** The intent of [orderId] could not be written; the order was not sent. */
    public data class IntentFailed(public val runner: String, public val orderId: String) :
        CellEvent

    /** The runner accepted the order. */
    public data class OrderAcknowledged(public val runner: String, public val orderId: String) :
        CellEvent

    /** The runner rejected the order; it had no effect and never will. */
    public data class OrderRefused(public val runner: String, public val orderId: String) :
        CellEvent

    /** No response arrived; the order may have taken effect or may still do so. */
    public data class OrderUnknown(public val runner: String, public val orderId: String) :
        CellEvent
}

/** An action that [CellMachine] asks its caller to perform. */
public sealed interface CellEffect {
    /** Writes the intent row of [order], conditional on the fencing token. */
    public data class WriteIntent(public val order: Order) : CellEffect

    /** Deletes the intent row of [order], whose outcome is known. */
    public data class ClearIntent(public val order: Order) : CellEffect

    /** Sends [order] to its runner. */
    public data class Send(public val order: Order) : CellEffect

    /** Notifies the routers that watch [model] of a change of its replicas. */
    public data class PlacementChanged(public val model: String) : CellEffect

    /** Reports that [model] fits on no runner, even after evictions. */
    public data class NoCapacity(public val model: String) : CellEffect
}
