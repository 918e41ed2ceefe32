package cactusfold.entry.residency

import cactusfold.decisions.residency.Obstacle
import cactusfold.decisions.residency.WeightSource
import cactusfold.ports.serving.OrderReply
import io.micrometer.core.instrument.MeterRegistry

/** Meters of the coordinator's loads. */
public class LoadMeters(private val registry: MeterRegistry) {
    /** Concurrent loads from the weight store that are allowed; 0 before the first plan. */
    public var storeLoadLimit: Int = 0

    init {
        registry.gauge("cactusfold.store.load.limit", this) { it.storeLoadLimit.toDouble() }
    }

    /** Counts a load that is ordered for callers who wait, or for expected ones. */
    internal fun planned(source: WeightSource, isWaitedFor: Boolean) {
        registry.counter(
            "cactusfold.loads.planned",
            "source",
            source.name,
            "for",
            if (isWaitedFor) "waiting" else "expected"
        ).increment()
    }

    /** Counts a model or adapter that requests wait for and that [obstacle] keeps from loading. */
    internal fun blocked(obstacle: Obstacle) {
        registry.counter("cactusfold.loads.blocked", "obstacle", obstacle.name).increment()
    }

    /** Counts the reply to an order; refused orders cost time and are to be few. */
    internal fun replied(reply: OrderReply) {
        val label = when (reply) {
            OrderReply.Accepted -> "accepted"
            OrderReply.AlreadySo -> "already-so"
            OrderReply.Conflict -> "conflict"
            is OrderReply.Rejected -> "rejected"
            is OrderReply.Unknown -> "unknown"
        }
        registry.counter("cactusfold.orders", "reply", label).increment()
    }

    /** Counts an order that is not sent, as the runner has no room for it. */
    internal fun withheld() {
        registry.counter("cactusfold.orders.withheld").increment()
    }

    /**
     * Counts a report that differs from what was recorded of the runner; [isShort] if it lists more
     * for the same count of orders, which endangers the runner.
     */
    internal fun corrected(isShort: Boolean) {
        val label = if (isShort) "short" else "other"
        registry.counter("cactusfold.runner.holdings.corrected", "kind", label).increment()
    }
}
