package cactusfold.entry.residency

import cactusfold.decisions.residency.RunnerOrder
import cactusfold.ports.serving.OrderAuthority
import cactusfold.ports.serving.OrderReply
import cactusfold.ports.serving.ReportReply
import cactusfold.ports.serving.RunnerApi
import cactusfold.ports.serving.UpstreamEntry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/** What happens to an order on its way. */
sealed interface OrderFault {
    data object None : OrderFault

    /** The order never arrives. */
    data object Lost : OrderFault

    /** The order is carried out, and its reply is lost. */
    data object ReplyLost : OrderFault

    /** The order stays unanswered and is carried out [millis] later. */
    data class Late(val millis: Long) : OrderFault

    /** The order is refused for another reason than its count. */
    data object Refused : OrderFault
}

/** Carries the orders of one coordinator to simulated runners, with the faults of [faultOf]. */
class SimulatedOrders(
    private val runners: Map<String, SimulatedRunner>,
    private val scope: CoroutineScope
) : RunnerApi {
    var faultOf: (RunnerOrder) -> OrderFault = { OrderFault.None }
    var isReportLost: () -> Boolean = { false }

    override suspend fun order(
        runner: UpstreamEntry,
        order: RunnerOrder,
        authority: OrderAuthority,
        expectedOrderCount: Long,
        isLeaseHeld: () -> Boolean
    ): OrderReply {
        delay(TRANSIT_MILLIS)
        if (!isLeaseHeld()) return OrderReply.Rejected("lease lost")
        val target = runners.getValue(runner.id)
        val carryOut = { target.order(order, expectedOrderCount, authority.holder) }
        return when (val fault = faultOf(order)) {
            OrderFault.None -> carryOut().also { delay(TRANSIT_MILLIS) }
            OrderFault.Refused -> OrderReply.Rejected("status 503")
            OrderFault.Lost -> unanswered()
            OrderFault.ReplyLost -> {
                carryOut()
                unanswered()
            }
            is OrderFault.Late -> {
                scope.launch {
                    delay(fault.millis)
                    carryOut()
                }
                unanswered()
            }
        }
    }

    private suspend fun unanswered(): OrderReply {
        delay(TIMEOUT_MILLIS)
        return OrderReply.Unknown("timeout")
    }

    override suspend fun report(runner: UpstreamEntry): ReportReply {
        delay(TRANSIT_MILLIS)
        val target = runners.getValue(runner.id)
        if (target.isDown || isReportLost()) {
            delay(TIMEOUT_MILLIS)
            return ReportReply.Silent
        }
        return ReportReply.Read(target.report()).also { delay(TRANSIT_MILLIS) }
    }

    private companion object {
        const val TRANSIT_MILLIS = 3L
        const val TIMEOUT_MILLIS = 1_000L
    }
}
