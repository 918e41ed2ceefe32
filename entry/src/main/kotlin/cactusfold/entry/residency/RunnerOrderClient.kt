package cactusfold.entry.residency

import cactusfold.entry.process.EventLog
import cactusfold.entry.upstream.Upstream
import cactusfold.node.time.MonotonicClock
import cactusfold.ports.serving.OrderAuthority
import cactusfold.ports.serving.OrderReply
import cactusfold.ports.serving.RunnerOrder
import cactusfold.ports.serving.RunnerOrders
import cactusfold.ports.serving.RunnerReport
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock

/** What orders to runners are sent with. */
public class OrderDependencies(
    public val orders: RunnerOrders,
    public val clock: MonotonicClock,
    public val events: EventLog,
    public val authority: () -> OrderAuthority,
    public val mayOrder: () -> Boolean
)

/** What became of an order. */
public enum class OrderResult {
    /** The runner took it. */
    ACCEPTED,

    /** The runner did not take it. */
    NOT_ACCEPTED,

    /** The runner has accepted an order that this desk did not send: what it holds is not known. */
    OUT_OF_SYNC
}

/**
 * Orders to one runner, one after the other. Each order states how many the runner must have accepted
 * before it, so an order without an answer that arrives late takes effect once or not at all.
 */
public class RunnerOrderClient(
    private val upstream: Upstream,
    private val dependencies: OrderDependencies
) {
    private val mutex = Mutex()
    private var acceptedOrders: Long? = null

    /** Reads what the runner holds; null while that is about to change, or without an answer. */
    public suspend fun sync(): RunnerReport? {
        val report = report()?.takeIf { !it.isBusy && it.adaptersOnTheWay == 0 } ?: return null
        acceptedOrders = report.acceptedOrders
        return report
    }

    /** Sends [order]; what the runner holds has to be learnt before. */
    public suspend fun send(order: RunnerOrder): OrderResult = mutex.withLock {
        val deadlineMillis = dependencies.clock.nowMillis() + ORDER_DEADLINE_MILLIS
        var conflicts = 0
        var isUnanswered = false
        while (dependencies.clock.nowMillis() < deadlineMillis && dependencies.mayOrder()) {
            val expected = acceptedOrders ?: return OrderResult.OUT_OF_SYNC
            val reply = dependencies.orders
                .order(
                    upstream.entry,
                    order,
                    dependencies.authority(),
                    expected,
                    dependencies.mayOrder
                )
            dependencies.events.write(
                "order",
                "upstream" to upstream.entry.id,
                "order" to order.toString(),
                "expected" to expected,
                "reply" to reply.toString()
            )
            when (reply) {
                OrderReply.Accepted -> return acknowledged(expected + 1)
                OrderReply.AlreadySo -> return acknowledged(afterAlreadySo(order, expected))
                is OrderReply.Rejected -> return OrderResult.NOT_ACCEPTED
                is OrderReply.Unknown -> {
                    isUnanswered = true
                    delay(UNANSWERED_RETRY_MILLIS)
                }
                OrderReply.Conflict -> {
                    delay(CONFLICT_RETRY_MILLIS)
                    if (++conflicts % CONFLICTS_BEFORE_REPORT != 0) continue
                    val report = report() ?: continue
                    if (report.acceptedOrders == expected) continue
                    // The order that no answer came for was taken, and nothing else was.
                    if (isUnanswered && report.acceptedOrders == expected + 1) {
                        return acknowledged(report.acceptedOrders)
                    }
                    if (conflicts < CONFLICTS_BEFORE_OUT_OF_SYNC) continue
                    acceptedOrders = null
                    return OrderResult.OUT_OF_SYNC
                }
            }
        }
        acceptedOrders = null
        return OrderResult.NOT_ACCEPTED
    }

    /** Returns the runner's report, or null when it does not answer. */
    public suspend fun report(): RunnerReport? = dependencies.orders.report(upstream.entry)

    private fun acknowledged(accepted: Long): OrderResult {
        acceptedOrders = accepted
        return OrderResult.ACCEPTED
    }

    /** Dropping an adapter takes effect at once and counts; what held already does not. */
    private fun afterAlreadySo(order: RunnerOrder, expected: Long): Long = when (order) {
        is RunnerOrder.UnloadAdapter -> expected + 1
        is RunnerOrder.Load, is RunnerOrder.LoadAdapter, is RunnerOrder.Unload -> expected
    }

    private companion object {
        /** An order without an answer is carried out within 12 s, by the engines' contract. */
        const val ORDER_DEADLINE_MILLIS = 14_000L
        const val CONFLICT_RETRY_MILLIS = 60L
        const val UNANSWERED_RETRY_MILLIS = 300L
        const val CONFLICTS_BEFORE_REPORT = 4

        /** By then a report shows every order that was accepted before the first conflict. */
        const val CONFLICTS_BEFORE_OUT_OF_SYNC = 12
    }
}
