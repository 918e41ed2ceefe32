package cactusfold.entry.residency

import cactusfold.entry.process.EventLog
import cactusfold.entry.upstream.Upstream
import cactusfold.node.time.MonotonicClock
import cactusfold.ports.serving.OrderAuthority
import cactusfold.ports.serving.OrderReply
import cactusfold.ports.serving.RunnerApi

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

    /** Called with each order that is not sent, as the runner has no room for it. */
    public var onWithheld: () -> Unit = {}

    /** Called when a report differs from the ledger; whether it lists more for the same count. */
    public var onCorrected: (isShort: Boolean) -> Unit = {}
}
