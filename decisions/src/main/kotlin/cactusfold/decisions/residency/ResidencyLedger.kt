package cactusfold.decisions.residency

import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet

/**
 * The models and adapters that take a runner's memory, or may: whatever was ordered counts from
 * before the order is sent, so that an order without an answer is inside the account.
 *
 * @property changedAtMillis when an order last changed what the runner holds.
 */
public data class ResidencyLedger(
    public val adaptersByModel: PersistentMap<String, PersistentSet<String>> = persistentMapOf(),
    public val changedAtMillis: Long = Long.MIN_VALUE / 2
) {
    /** Books that [model] is about to be loaded. */
    public fun loading(model: String, nowMillis: Long): ResidencyLedger = ResidencyLedger(
        adaptersByModel.put(model, adaptersByModel[model] ?: persistentSetOf()),
        nowMillis
    )

    /** Books that [adapter] of [model] is about to be loaded. */
    public fun loadingAdapter(model: String, adapter: String, nowMillis: Long): ResidencyLedger {
        val adapters = adaptersByModel[model] ?: persistentSetOf()
        return ResidencyLedger(adaptersByModel.put(model, adapters.add(adapter)), nowMillis)
    }

    /** Books that the runner has taken the order to drop [model]. */
    public fun unloaded(model: String, nowMillis: Long): ResidencyLedger =
        ResidencyLedger(adaptersByModel.remove(model), nowMillis)

    /** Books that [adapter] of [model] was dropped. */
    public fun unloadedAdapter(model: String, adapter: String, nowMillis: Long): ResidencyLedger {
        val adapters = adaptersByModel[model] ?: return this
        return ResidencyLedger(adaptersByModel.put(model, adapters.remove(adapter)), nowMillis)
    }

    /**
     * Takes over what the runner says it holds. What it said too soon after an order may be older
     * than that order, and then only adds to the account.
     *
     * @param earliestReportMillis the earliest moment that the runner's words may be of, less their lag.
     */
    public fun said(
        models: ImmutableMap<String, ImmutableSet<String>>,
        earliestReportMillis: Long
    ): ResidencyLedger {
        val theirs = models.mapValues { (_, adapters) -> adapters.toPersistentSet() }
            .toPersistentMap()
        if (earliestReportMillis > changedAtMillis) return copy(adaptersByModel = theirs)
        val union = theirs.entries.fold(adaptersByModel) { mine, (model, adapters) ->
            mine.put(model, (mine[model] ?: persistentSetOf()).addAll(adapters))
        }
        return copy(adaptersByModel = union)
    }
}
