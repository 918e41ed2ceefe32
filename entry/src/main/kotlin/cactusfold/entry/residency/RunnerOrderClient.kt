package cactusfold.entry.residency

import cactusfold.decisions.residency.ResidencyLedger
import cactusfold.decisions.residency.RunnerBounds
import cactusfold.decisions.residency.RunnerOrder
import cactusfold.entry.upstream.Upstream
import cactusfold.ports.serving.OrderReply
import cactusfold.ports.serving.RunnerReport
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock

/** Result of sending an order. */
public enum class OrderResult {
    /** The runner accepted the order. */
    ACCEPTED,

    /** The runner rejected the order, did not accept it in time, or has no room for it. */
    NOT_ACCEPTED,

    /**
     * What the runner has loaded is not what the order was planned for: its state was not read, or
     * it has accepted an order that this client did not send.
     */
    OUT_OF_SYNC
}

/**
 * Sends orders to one start of a runner, one at a time, and keeps the ledger of its memory.
 *
 * Each order carries the number of orders that the runner must have accepted before it. An order
 * whose reply was lost can therefore be repeated: it takes effect at most once, even if late.
 * Whether it did is read from the runner's report; its count alone may have risen by another order.
 *
 * @property upstream the runner's registration, which may lapse and return.
 */
public class RunnerOrderClient(
    public var upstream: Upstream,
    private val dependencies: OrderDependencies
) {
    private val mutex = Mutex()
    private val holdingsLog = HoldingsLog(upstream.entry.id, dependencies.events)
        .apply { onCorrected = { dependencies.onCorrected(it) } }
    private var provenAtMillis = dependencies.clock.nowMillis()

    /** What the runner's memory holds as of its count of accepted orders. */
    public var ledger: ResidencyLedger = ResidencyLedger()
        private set

    /** Whether the runner's state is known, so that orders can be sent. */
    public val isSynced: Boolean get() = ledger.orderCount != null

    /** Whether the runner was executing an order when [sync] last read its report. */
    public var isReportedBusy: Boolean = false
        private set

    /**
     * Reads what the runner has loaded and its count of accepted orders. Returns null if the runner
     * does not answer, or is still executing orders and so about to change its state.
     */
    public suspend fun sync(): RunnerReport? = mutex.withLock {
        val latest = report()
        isReportedBusy = latest?.isBusy == true
        latest?.takeIf { it.isSettled && it.acceptedOrderCount == ledger.orderCount }
    }

    /** Has the runner's state read again before the next order. */
    public fun outdated() {
        ledger = ledger.outdated()
    }

    /**
     * Sends [order] if the runner has room for it by [bounds], and repeats it while its result is
     * unknown. Requires a successful [sync].
     */
    public suspend fun send(order: RunnerOrder, bounds: RunnerBounds): OrderResult =
        mutex.withLock {
            val deadlineMillis = dependencies.clock.nowMillis() + ORDER_TIMEOUT_MILLIS
            var conflicts = 0
            var isUnanswered = false
            while (dependencies.clock.nowMillis() < deadlineMillis && mayOrder()) {
                val expected = ledger.orderCount ?: return OrderResult.OUT_OF_SYNC
                // A reply to an order that unloads nothing would not show what was accepted.
                if (order.isUnload && ledger.reflects(order)) return OrderResult.OUT_OF_SYNC
                if (!ledger.hasRoomFor(order, roomOf(bounds))) return withheld(order)
                when (val reply = request(order, expected)) {
                    OrderReply.Accepted -> return accepted(order, expected, isDone = false)
                    OrderReply.AlreadySo -> return alreadySo(order, expected)
                    is OrderReply.Rejected -> return unresolved(OrderResult.NOT_ACCEPTED)
                    is OrderReply.Unknown -> {
                        isUnanswered = true
                        delay(UNANSWERED_RETRY_MILLIS)
                    }
                    OrderReply.Conflict -> {
                        delay(conflictPauseMillis(conflicts))
                        if (++conflicts % CONFLICTS_BEFORE_REPORT != 0) continue
                        val count = report()?.acceptedOrderCount ?: continue
                        if (count > expected) return resolve(order, isUnanswered, deadlineMillis)
                        if (ledger.orderCount != expected) return OrderResult.OUT_OF_SYNC
                        // The count may never fit: the runner has restarted, or did not count an
                        // order that changed nothing.
                        if (count < expected && conflicts >= CONFLICTS_BEFORE_OUT_OF_SYNC) {
                            return unresolved(OrderResult.OUT_OF_SYNC)
                        }
                    }
                }
            }
            val isAllowed = dependencies.mayOrder()
            unresolved(if (isAllowed) OrderResult.OUT_OF_SYNC else OrderResult.NOT_ACCEPTED)
        }

    /**
     * An order states the id of a runner and not its start. One that was sent to the start before
     * may still be carried out, if this start reaches the count that it states.
     */
    private fun roomOf(bounds: RunnerBounds): RunnerBounds {
        val sinceMillis = upstream.replacedAnotherAtMillis ?: return bounds
        val isLatePossible = dependencies.clock.nowMillis() - sinceMillis < ORDER_TIMEOUT_MILLIS
        return if (isLatePossible) bounds.lessAnyOrder() else bounds
    }

    private suspend fun request(order: RunnerOrder, expected: Long): OrderReply {
        dependencies.onRequest(upstream)
        val reply = dependencies.orders
            .order(upstream.entry, order, dependencies.authority(), expected, ::mayOrder)
        dependencies.events.write(
            "order",
            "upstream" to upstream.entry.id,
            "order" to order.toString(),
            "expected" to expected,
            "reply" to reply.toString()
        )
        dependencies.onReply(reply)
        return reply
    }

    private fun withheld(order: RunnerOrder): OrderResult {
        dependencies.onWithheld()
        dependencies.events.write(
            "order-withheld",
            "upstream" to upstream.entry.id,
            "order" to order.toString(),
            "expected" to ledger.orderCount,
            "models" to ledger.adaptersByModel.keys.joinToString(),
            "adapters" to ledger.adaptersByModel.values.sumOf { it.size }
        )
        return OrderResult.NOT_ACCEPTED
    }

    private fun accepted(order: RunnerOrder, expected: Long, isDone: Boolean): OrderResult {
        ledger = ledger.accepted(order, expected, isDone)
        provenAtMillis = dependencies.clock.nowMillis()
        return OrderResult.ACCEPTED
    }

    /** Records the reply that [order] changes nothing, which runners may send at any count. */
    private suspend fun alreadySo(order: RunnerOrder, expected: Long): OrderResult = when (order) {
        // Runners give this reply too when they unload an adapter that no request uses.
        is RunnerOrder.UnloadAdapter -> accepted(order, expected, isDone = true)
        is RunnerOrder.Load, is RunnerOrder.LoadAdapter -> {
            ledger = ledger.including(order)
            OrderResult.ACCEPTED
        }
        is RunnerOrder.Unload -> {
            ledger = ledger.outdated()
            report()
            if (isSynced && ledger.reflects(order)) {
                OrderResult.ACCEPTED
            } else {
                unresolved(OrderResult.OUT_OF_SYNC)
            }
        }
    }

    /**
     * Returns what became of [order] now that the runner's count has passed the expected one, so
     * that the order is not accepted any more. Waits for a report without an order in progress.
     */
    private suspend fun resolve(
        order: RunnerOrder,
        isUnanswered: Boolean,
        deadlineMillis: Long
    ): OrderResult {
        if (!isUnanswered) return OrderResult.OUT_OF_SYNC
        while (!isSynced) {
            // Whoever awaits the model sees whether it is this one, and no order is sent meanwhile.
            if (order is RunnerOrder.Load) return acknowledged(order)
            if (dependencies.clock.nowMillis() >= deadlineMillis || !mayOrder()) {
                return OrderResult.OUT_OF_SYNC
            }
            delay(MAX_CONFLICT_RETRY_MILLIS)
            report()
        }
        return if (ledger.reflects(order)) acknowledged(order) else OrderResult.OUT_OF_SYNC
    }

    private fun acknowledged(order: RunnerOrder): OrderResult {
        dependencies.events.write(
            "order-acknowledged",
            "upstream" to upstream.entry.id,
            "order" to order.toString(),
            "orders" to ledger.provenCount,
            "models" to ledger.adaptersByModel.keys.joinToString()
        )
        return OrderResult.ACCEPTED
    }

    private fun unresolved(result: OrderResult): OrderResult {
        ledger = ledger.outdated()
        return result
    }

    /**
     * Returns the pause after a conflict that [earlier] ones preceded. A runner that is still
     * unloading a model refuses the load that follows, until the model's last requests have ended;
     * the pauses grow, so that a long unload doesn't cost an order every few milliseconds.
     */
    private fun conflictPauseMillis(earlier: Int): Long =
        (CONFLICT_RETRY_MILLIS shl (earlier / CONFLICTS_PER_PAUSE))
            .coerceAtMost(MAX_CONFLICT_RETRY_MILLIS)

    /** Returns the report of this start of the runner, or null if there is none. */
    public suspend fun report(): RunnerReport? {
        if (upstream.isEvacuated) return null
        dependencies.onRequest(upstream)
        val report = dependencies.orders.report(upstream.entry).reportOrNull ?: return null
        val startedAtEpochMillis = report.startedAtEpochMillis
        if (startedAtEpochMillis != null &&
            startedAtEpochMillis != upstream.entry.startedAtEpochMillis
        ) {
            return null
        }
        record(report)
        return report
    }

    private fun record(report: RunnerReport) {
        val nowMillis = dependencies.clock.nowMillis()
        val count = report.acceptedOrderCount
        if (count >= ledger.provenCount) {
            provenAtMillis = nowMillis
        } else if (nowMillis - provenAtMillis > MAX_REPORT_AGE_MILLIS) {
            dependencies.events.write(
                "runner-count-fell",
                "upstream" to upstream.entry.id,
                "orders_before" to ledger.provenCount,
                "orders" to count
            )
            ledger = ResidencyLedger(ledger.adaptersByModel)
        }
        val before = ledger
        ledger = ledger.reported(report.adaptersByModel, count, report.isSettled)
        holdingsLog.replaced(before, ledger)
    }

    /** Another start under the same id would accept orders that were planned for this one. */
    private fun mayOrder(): Boolean = dependencies.mayOrder() &&
        !upstream.isEvacuated &&
        upstream.unregisteredAtMillis == null

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

        /** Many times the age of a report on arrival, some hundred ms by the engines' contract. */
        const val MAX_REPORT_AGE_MILLIS = 5_000L
    }
}
