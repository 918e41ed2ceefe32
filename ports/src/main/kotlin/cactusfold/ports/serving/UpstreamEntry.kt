package cactusfold.ports.serving

import cactusfold.decisions.residency.RunnerOrder
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.ImmutableSet

/**
 * The registration of an upstream, written by the upstream itself.
 *
 * @property id usually identifies one incarnation of the upstream, but may be reused.
 * @property slots requests that the upstream processes concurrently.
 * @property startedAtEpochMillis distinguishes incarnations that share an id; null if not stated.
 * @property timeToShutdownMillis time left, as of the registration, for an upstream whose VM is
 *   reclaimed at short notice; null for any other.
 * @property adaptersByModel models loaded in accelerator memory, each with its loaded adapters.
 * @property modelsInHostMemory models whose weights can be loaded from host memory.
 * @property modelsOnDisk models whose weights can be loaded from the upstream's disk.
 * @property softwareVersion the version of the upstream's software, not of any weights.
 * @property warmupMillis how long the upstream stays cold, as of the writing of the registration.
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
    public val modelsOnDisk: ImmutableSet<String>,
    public val softwareVersion: String,
    public val warmupMillis: Long = 0
)

/**
 * The state of a runner as reported by itself, some hundred milliseconds old.
 *
 * @property adaptersByModel models loaded in accelerator memory, each with its loaded adapters.
 * @property pendingAdapterLoads number of adapter loads in progress.
 * @property isBusy whether an order is in progress, so that the runner refuses further orders.
 * @property acceptedOrderCount orders that the runner has accepted so far. The next order must
 *   state this number.
 * @property startedAtEpochMillis when the runner started, which identifies the start; null if it
 *   does not say so.
 * @property coldMillis how long the runner stays cold; null if it does not say so.
 */
public data class RunnerReport(
    public val adaptersByModel: ImmutableMap<String, ImmutableSet<String>>,
    public val pendingAdapterLoads: Int,
    public val isBusy: Boolean,
    public val acceptedOrderCount: Long,
    public val modelsInHostMemory: ImmutableSet<String>,
    public val modelsOnDisk: ImmutableSet<String>,
    public val startedAtEpochMillis: Long? = null,
    public val coldMillis: Long? = null
) {
    /** Whether no order is in progress, so that the report lists all that takes memory. */
    public val isSettled: Boolean get() = !isBusy && pendingAdapterLoads == 0
}

/**
 * The lease holder that issues an order; [fence] is its fencing token, which rises with each new
 * holder.
 */
public data class OrderAuthority(public val holder: String, public val fence: Long)

/** The result of sending an order to a runner. */
public sealed interface OrderReply {
    /** The runner has accepted the order and is executing it. */
    public data object Accepted : OrderReply

    /** The runner was already in the requested state. */
    public data object AlreadySo : OrderReply

    /** The runner refused: an order is in progress, or its count of accepted orders differs. */
    public data object Conflict : OrderReply

    /** The order was not executed and never will be. */
    public data class Rejected(public val reason: String) : OrderReply

    /** No response arrived: the order may have been accepted or may still be. */
    public data class Unknown(public val reason: String) : OrderReply
}

/** The result of asking a runner for its report. */
public sealed interface ReportReply {
    /** The report; null if there is none. */
    public val reportOrNull: RunnerReport? get() = null

    /** The report of this incarnation of the runner. */
    public data class Read(public val report: RunnerReport) : ReportReply {
        override val reportOrNull: RunnerReport get() = report
    }

    /** The runner sent nothing in time, which a sound one may do for a second. */
    public data object Silent : ReportReply

    /** The runner cannot be reached, or its answer is no report of this incarnation. */
    public data class Failed(public val reason: String) : ReportReply
}

/** Sends orders to runners and reads their reports. */
public interface RunnerApi {
    /**
     * Sends [order] to [runner].
     *
     * @param expectedOrderCount number of orders that the runner must have accepted so far; it
     *   refuses the order if the number differs.
     * @param isLeaseHeld evaluated right before the order is written, so that a sender that has
     *   lost its lease while connecting sends nothing.
     */
    public suspend fun order(
        runner: UpstreamEntry,
        order: RunnerOrder,
        authority: OrderAuthority,
        expectedOrderCount: Long,
        isLeaseHeld: () -> Boolean
    ): OrderReply

    /** Asks [runner] for its report. */
    public suspend fun report(runner: UpstreamEntry): ReportReply
}
