package cactusfold.ports.serving

import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.ImmutableSet

/**
 * An upstream as it announces itself.
 *
 * @property id names one start of the upstream, mostly.
 * @property startedAtEpochMillis tells two starts under one id apart; null when not told.
 * @property adaptersByModel the models in memory and the adapters loaded for each.
 * @property timeToShutdownMillis time left of an upstream that is taken away at short notice.
 */
public data class UpstreamEntry(
    public val id: String,
    public val service: String,
    public val host: String,
    public val port: Int,
    public val zone: String,
    public val slots: Int,
    public val isDraining: Boolean,
    public val startedAtEpochMillis: Long?,
    public val timeToShutdownMillis: Long?,
    public val adaptersByModel: ImmutableMap<String, ImmutableSet<String>>,
    public val modelsInHostMemory: ImmutableSet<String>,
    public val modelsOnDisk: ImmutableSet<String>
)

/** A runner's own account of itself, some hundred milliseconds old. */
public data class RunnerReport(
    public val adaptersByModel: ImmutableMap<String, ImmutableSet<String>>,
    public val pendingAdapterLoads: Int,
    public val isBusy: Boolean,
    public val acceptedOrderCount: Long,
    public val modelsInHostMemory: ImmutableSet<String>,
    public val modelsOnDisk: ImmutableSet<String>
)

/** What a runner is ordered to do. */
public sealed interface RunnerOrder {
    public val model: String

    /** Loads the model. */
    public data class Load(override val model: String) : RunnerOrder

    /** Drops the model, once its runs have ended. */
    public data class Unload(override val model: String) : RunnerOrder

    /** Loads an adapter of a model that is in memory. */
    public data class LoadAdapter(override val model: String, public val adapter: String) :
        RunnerOrder

    /** Drops an adapter. */
    public data class UnloadAdapter(override val model: String, public val adapter: String) :
        RunnerOrder
}

/** Who orders; [fence] rises with each holder. */
public data class OrderAuthority(public val holder: String, public val fence: Long)

/** What a runner answered to an order. */
public sealed interface OrderReply {
    /** It is being carried out. */
    public data object Accepted : OrderReply

    /** It held already. */
    public data object AlreadySo : OrderReply

    /** Another order is in progress, or the count of accepted orders differs. */
    public data object Conflict : OrderReply

    /** The order is not carried out and never will be. */
    public data class Rejected(public val reason: String) : OrderReply

    /** It may have been accepted, or may yet be. */
    public data class Unknown(public val reason: String) : OrderReply
}

/** Orders to runners and their reports. */
public interface RunnerApi {
    /**
     * Sends [order] to [runner].
     *
     * @param expectedOrderCount orders that the runner must have accepted before, or it refuses.
     * @param isLeaseHeld asked right before anything is written.
     */
    public suspend fun order(
        runner: UpstreamEntry,
        order: RunnerOrder,
        authority: OrderAuthority,
        expectedOrderCount: Long,
        isLeaseHeld: () -> Boolean
    ): OrderReply

    /** Returns the runner's report, or null when there was no answer from this runner. */
    public suspend fun report(runner: UpstreamEntry): RunnerReport?
}
