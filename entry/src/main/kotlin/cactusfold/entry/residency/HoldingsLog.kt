package cactusfold.entry.residency

import cactusfold.entry.process.EventLog
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.ImmutableSet

/** What a change of the recorded contents of a runner's memory rests on. */
internal enum class HoldingsSource(val label: String) {
    /** A report of the runner. */
    REPORT("report"),

    /** A registration, a message of another process, or an answer to a request. */
    ANNOUNCEMENT("announcement")
}

/** Logs changes of what the coordinator has recorded in a runner's memory. */
internal class HoldingsLog(private val upstream: String, private val events: EventLog) {
    /**
     * Logs that [before] was replaced by [after] because of [source].
     *
     * @param orderCount the runner's count of accepted orders that [after] belongs to; null if the
     *   source does not state one.
     */
    fun replaced(
        before: ImmutableMap<String, ImmutableSet<String>>,
        after: ImmutableMap<String, ImmutableSet<String>>,
        source: HoldingsSource,
        orderCount: Long?
    ) {
        val removed = names(before) - names(after)
        val added = names(after) - names(before)
        if (removed.isEmpty() && added.isEmpty()) return
        events.write(
            "runner-holdings",
            "upstream" to upstream,
            "source" to source.label,
            "orders" to orderCount,
            "removed" to removed.joinToString(),
            "added" to added.joinToString()
        )
    }

    private fun names(holdings: ImmutableMap<String, ImmutableSet<String>>): Set<String> =
        holdings.flatMapTo(mutableSetOf()) { (model, adapters) ->
            listOf(model) + adapters.map { "$model/$it" }
        }
}
