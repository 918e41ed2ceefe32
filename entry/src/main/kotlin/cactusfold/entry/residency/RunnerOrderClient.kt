package cactusfold.entry.residency

import cactusfold.entry.process.EventLog
import cactusfold.entry.upstream.Upstream
import cactusfold.node.time.MonotonicClock
import cactusfold.ports.serving.OrderAuthority
import cactusfold.ports.serving.OrderReply
import cactusfold.ports.serving.RunnerApi
import cactusfold.ports.serving.RunnerOrder
import cactusfold.ports.serving.RunnerReport
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock

/**
 * Collaborators for sending orders to runners.
 *
 * @property requestsPerSecondOf what a runner accepts from all VMs together; null for no limit.
 * @property onRequest called before each order and each request for a report.
 * @property authority the VM and fencing token under which orders are sent.
 * @property mayOrder whether the lease allows orders now.
 */
public class OrderDependencies(
    public val orders: RunnerApi,
    public val requestsPerSecondOf: (Upstream) -> Double?,
    public val onRequest: (Upstream) -> Unit,
    public val clock: MonotonicClock,
    public val events: EventLog,
    public val authority: () -> OrderAuthority,
    public val mayOrder: () -> Boolean
) {
    /** Called with the reply to each order that was sent. */
    public var onReply: (OrderReply) -> Unit = {}
}

/** Result of sending an order. */
public enum class OrderResult {
    /** The runner accepted the order. */
    ACCEPTED,

    /** The runner rejected the order, or did not accept it in time. */
    NOT_ACCEPTED,

    /**
     * What the runner has loaded is unknown: its state was not read, or it has accepted an order
     * that this client did not send.
     */
    OUT_OF_SYNC
}

/**
 * Sends orders to one runner, one at a time.
 *
 * Each order carries the number of orders that the runner must have accepted before it. An order
 * whose reply was lost can therefore be repeated: it takes effect at most once, even if late.
 */
public class RunnerOrderClient(
    private val upstream: Upstream,
    private val dependencies: OrderDependencies
) {
    private val mutex = Mutex()
    private var acceptedOrderCount: Long? = null

    /** Whether the runner was executing an order when [sync] last read its report. */
    public var isReportedBusy: Boolean = false
        private set

    /**
     * Reads what the runner has loaded and its count of accepted orders. Returns null if the runner
     * does not answer, or is still executing orders and so about to change its state.
     */
    public suspend fun sync(): RunnerReport? {
        val latest = report()
        isReportedBusy = latest?.isBusy == true
        val report = latest?.takeIf { !it.isBusy && it.pendingAdapterLoads == 0 } ?: return null
        acceptedOrderCount = report.acceptedOrderCount
        return report
    }

    /** Sends [order] and repeats it while its result is unknown. Requires a successful [sync]. */
    public suspend fun send(order: RunnerOrder): OrderResult = mutex.withLock {
        val deadlineMillis = dependencies.clock.nowMillis() + ORDER_TIMEOUT_MILLIS
        var conflicts = 0
        var isUnanswered = false
        while (dependencies.clock.nowMillis() < deadlineMillis && mayOrder()) {
            val expected = acceptedOrderCount ?: return OrderResult.OUT_OF_SYNC
            dependencies.onRequest(upstream)
            val reply = dependencies.orders
                .order(
                    upstream.entry,
                    order,
                    dependencies.authority(),
                    expected,
                    ::mayOrder
                )
            dependencies.events.write(
                "order",
                "upstream" to upstream.entry.id,
                "order" to order.toString(),
                "expected" to expected,
                "reply" to reply.toString()
            )
            dependencies.onReply(reply)
            when (reply) {
                OrderReply.Accepted -> return acknowledged(expected + 1)
                OrderReply.AlreadySo -> return acknowledged(afterAlreadySo(order, expected))
                is OrderReply.Rejected -> return OrderResult.NOT_ACCEPTED
                is OrderReply.Unknown -> {
                    isUnanswered = true
                    delay(UNANSWERED_RETRY_MILLIS)
                }
                OrderReply.Conflict -> {
                    delay(conflictPauseMillis(conflicts))
                    if (++conflicts % CONFLICTS_BEFORE_REPORT != 0) continue
                    val report = report() ?: continue
                    val newer = report.acceptedOrderCount - expected
                    if (newer == 0L) continue
                    // Only the order whose reply was lost has been accepted since.
                    if (isUnanswered && newer == 1L) {
                        logAcknowledged(order, report)
                        return acknowledged(report.acceptedOrderCount)
                    }
                    // A runner's count never falls, so a higher one can't become the expected one;
                    // a lower one may be that of an old report or of a runner that has restarted.
                    if (newer < 0 && conflicts < CONFLICTS_BEFORE_OUT_OF_SYNC) continue
                    acceptedOrderCount = null
                    return OrderResult.OUT_OF_SYNC
                }
            }
        }
        acceptedOrderCount = null
        return if (dependencies.mayOrder()) OrderResult.OUT_OF_SYNC else OrderResult.NOT_ACCEPTED
    }

    /**
     * Returns the pause after a conflict that [earlier] ones preceded. A runner that is still
     * unloading a model refuses the load that follows, until the model's last requests have ended;
     * the pauses grow, so that a long unload doesn't cost an order every few milliseconds.
     */
    private fun conflictPauseMillis(earlier: Int): Long =
        (CONFLICT_RETRY_MILLIS shl (earlier / CONFLICTS_PER_PAUSE))
            .coerceAtMost(MAX_CONFLICT_RETRY_MILLIS)

    /** Returns the runner's report, or null if it does not answer. */
    public suspend fun report(): RunnerReport? {
        if (upstream.isEvacuated) return null
        dependencies.onRequest(upstream)
        return dependencies.orders.report(upstream.entry).reportOrNull
    }

    private fun logAcknowledged(order: RunnerOrder, report: RunnerReport) {
        dependencies.events.write(
            "order-acknowledged",
            "upstream" to upstream.entry.id,
            "order" to order.toString(),
            "orders" to report.acceptedOrderCount,
            "busy" to report.isBusy,
            "models" to report.adaptersByModel.keys.joinToString()
        )
    }

    private fun mayOrder(): Boolean = dependencies.mayOrder() && !upstream.isEvacuated

    private fun acknowledged(accepted: Long): OrderResult {
        acceptedOrderCount = accepted
        return OrderResult.ACCEPTED
    }

    /**
     * Returns the runner's order count after it replied that [order] changes nothing. Runners count
     * such an order only if it unloads an adapter, which takes effect immediately.
     */
    private fun afterAlreadySo(order: RunnerOrder, expected: Long): Long = when (order) {
        is RunnerOrder.UnloadAdapter -> expected + 1
        is RunnerOrder.Load, is RunnerOrder.LoadAdapter, is RunnerOrder.Unload -> expected
    }

    private companion object {
        /** An unanswered order takes effect within 12 s, if at all, by the engines' contract. */
        const val ORDER_TIMEOUT_MILLIS = 14_000L
        const val CONFLICT_RETRY_MILLIS = 60L
        const val MAX_CONFLICT_RETRY_MILLIS = 240L

        /** Conflicts after which the pause doubles. */
        const val CONFLICTS_PER_PAUSE = 2
        const val UNANSWERED_RETRY_MILLIS = 300L
        const val CONFLICTS_BEFORE_REPORT = 4

        /** By then a report includes every order that was accepted before the first conflict. */
        const val CONFLICTS_BEFORE_OUT_OF_SYNC = 12
    }
}
