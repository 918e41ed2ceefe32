package cactusfold.entry.residency

import cactusfold.decisions.residency.ResidencyLedger
import cactusfold.entry.process.EventLog

/** Logs and counts reports that differ from what the coordinator has recorded of a runner. */
internal class HoldingsLog(private val upstream: String, private val events: EventLog) {
    /** Called with whether a report lists more than was recorded for its count of orders. */
    var onCorrected: (isShort: Boolean) -> Unit = {}

    /** Logs that a report has replaced [before] by [after]. */
    fun replaced(before: ResidencyLedger, after: ResidencyLedger) {
        val removed = names(before) - names(after)
        val added = names(after) - names(before)
        if (removed.isEmpty() && added.isEmpty()) return
        // At the same count, a report may list less, once adapters are unloaded, but never more.
        val isShort = before.orderCount == after.orderCount && added.isNotEmpty()
        onCorrected(isShort)
        events.write(
            "runner-holdings",
            "upstream" to upstream,
            "orders_before" to before.orderCount,
            "orders" to after.orderCount,
            "removed" to removed.joinToString(),
            "added" to added.joinToString(),
            "was_short" to isShort
        )
    }

    private fun names(ledger: ResidencyLedger): Set<String> =
        ledger.adaptersByModel.flatMapTo(mutableSetOf()) { (model, adapters) ->
            listOf(model) + adapters.map { "$model/$it" }
        }
}
