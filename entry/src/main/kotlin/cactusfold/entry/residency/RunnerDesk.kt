package cactusfold.entry.residency

import cactusfold.entry.process.EventLog
import cactusfold.entry.upstream.Upstream
import cactusfold.node.time.MonotonicClock
import cactusfold.ports.serving.OrderAuthority
import cactusfold.ports.serving.OrderReply
import cactusfold.ports.serving.RunnerOrder
import cactusfold.ports.serving.RunnerApi
import cactusfold.ports.serving.RunnerReport
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock

/** What orders to runners are sent with. */
public class DeskContext(
    public val orders: RunnerApi,
    public val clock: MonotonicClock,
    public val events: EventLog,
    public val authority: () -> OrderAuthority,
    public val mayOrder: () -> Boolean
)

/** What became of an order. */
public enum class OrderEnd {
    /** The runner took it. */
    TAKEN,

    /** The runner did not take it. */
    NOT_TAKEN,

    /** The runner has accepted an order that this desk did not send: what it holds is not known. */
    MOVED
}

/**
 * Orders to one runner, one after the other. Each order states how many the runner must have accepted
 * before it, so an order without an answer that arrives late takes effect once or not at all.
 */
public class RunnerDesk(private val upstream: Upstream, private val context: DeskContext) {
    private val turn = Mutex()
    private var acceptedOrderCount: Long? = null

    /** Reads what the runner holds; null while that is about to change, or without an answer. */
    public suspend fun learn(): RunnerReport? {
        val report = report()?.takeIf { !it.isBusy && it.pendingAdapterLoads == 0 } ?: return null
        acceptedOrderCount = report.acceptedOrderCount
        return report
    }

    /** Sends [order]; what the runner holds has to be learnt before. */
    public suspend fun send(order: RunnerOrder): OrderEnd = turn.withLock {
        val untilMillis = context.clock.nowMillis() + SETTLE_MILLIS
        var conflicts = 0
        var isUnanswered = false
        while (context.clock.nowMillis() < untilMillis && context.mayOrder()) {
            val expected = acceptedOrderCount ?: return OrderEnd.MOVED
            val reply = context.orders
                .order(upstream.entry, order, context.authority(), expected, context.mayOrder)
            context.events.write(
                "order",
                "upstream" to upstream.entry.id,
                "order" to order.toString(),
                "expected" to expected,
                "reply" to reply.toString()
            )
            when (reply) {
                OrderReply.Accepted -> return settled(expected + 1)
                OrderReply.AlreadySo -> return settled(afterAlreadySo(order, expected))
                is OrderReply.Rejected -> return OrderEnd.NOT_TAKEN
                is OrderReply.Unknown -> {
                    isUnanswered = true
                    delay(UNANSWERED_MILLIS)
                }
                OrderReply.Conflict -> {
                    delay(PAUSE_MILLIS)
                    if (++conflicts % CONFLICTS_BEFORE_REPORT != 0) continue
                    val report = report() ?: continue
                    if (report.acceptedOrderCount == expected) continue
                    // The order that no answer came for was taken, and nothing else was.
                    if (isUnanswered && report.acceptedOrderCount == expected + 1) {
                        return settled(report.acceptedOrderCount)
                    }
                    if (conflicts < CONFLICTS_BEFORE_MOVED) continue
                    acceptedOrderCount = null
                    return OrderEnd.MOVED
                }
            }
        }
        acceptedOrderCount = null
        return OrderEnd.NOT_TAKEN
    }

    /** Returns the runner's report, or null when it does not answer. */
    public suspend fun report(): RunnerReport? = context.orders.report(upstream.entry)

    private fun settled(accepted: Long): OrderEnd {
        acceptedOrderCount = accepted
        return OrderEnd.TAKEN
    }

    /** Dropping an adapter takes effect at once and counts; what held already does not. */
    private fun afterAlreadySo(order: RunnerOrder, expected: Long): Long = when (order) {
        is RunnerOrder.UnloadAdapter -> expected + 1
        is RunnerOrder.Load, is RunnerOrder.LoadAdapter, is RunnerOrder.Unload -> expected
    }

    private companion object {
        /** An order without an answer is carried out within 12 s, by the engines' contract. */
        const val SETTLE_MILLIS = 14_000L
        const val PAUSE_MILLIS = 60L
        const val UNANSWERED_MILLIS = 300L
        const val CONFLICTS_BEFORE_REPORT = 4

        /** By then a report shows every order that was accepted before the first conflict. */
        const val CONFLICTS_BEFORE_MOVED = 12
    }
}
