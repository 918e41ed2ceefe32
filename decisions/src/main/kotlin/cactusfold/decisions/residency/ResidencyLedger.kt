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
 * Models and adapters that occupy, or may occupy, a runner's memory.
 *
 * A load is recorded before its order is sent, so that memory is accounted for even if the outcome
 * of the order stays unknown.
 *
 * @property changedAtMillis when an order was last recorded.
 */
public data class ResidencyLedger(
    public val adaptersByModel: PersistentMap<String, PersistentSet<String>> = persistentMapOf(),
    public val changedAtMillis: Long = Long.MIN_VALUE / 2
) {
    /** Records that [model] is about to be loaded. */
    public fun loading(model: String, nowMillis: Long): ResidencyLedger = ResidencyLedger(
        adaptersByModel.put(model, adaptersByModel[model] ?: persistentSetOf()),
        nowMillis
    )

    /** Records that [adapter] of [model] is about to be loaded. */
    public fun loadingAdapter(model: String, adapter: String, nowMillis: Long): ResidencyLedger {
        val adapters = adaptersByModel[model] ?: persistentSetOf()
        return ResidencyLedger(adaptersByModel.put(model, adapters.add(adapter)), nowMillis)
    }

    /** Records that the runner accepted the order to unload [model]. */
    public fun unloaded(model: String, nowMillis: Long): ResidencyLedger =
        ResidencyLedger(adaptersByModel.remove(model), nowMillis)

    /** Records that [adapter] of [model] was unloaded. */
    public fun unloadedAdapter(model: String, adapter: String, nowMillis: Long): ResidencyLedger {
        val adapters = adaptersByModel[model] ?: return this
        return ResidencyLedger(adaptersByModel.put(model, adapters.remove(adapter)), nowMillis)
    }

    /**
     * Merges the runner's report of its loaded [models].
     *
     * A report that is certainly newer than the last order replaces the recorded state. One that
     * may be older only adds to it, because it may lack the effect of that order.
     *
     * @param earliestReportMillis earliest time that the reported state can date from, with the
     *   report's lag subtracted.
     */
    public fun said(
        models: ImmutableMap<String, ImmutableSet<String>>,
        earliestReportMillis: Long
    ): ResidencyLedger {
        val reported = models.mapValues { (_, adapters) -> adapters.toPersistentSet() }
            .toPersistentMap()
        if (earliestReportMillis > changedAtMillis) return copy(adaptersByModel = reported)
        val union = reported.entries.fold(adaptersByModel) { recorded, (model, adapters) ->
            recorded.put(model, (recorded[model] ?: persistentSetOf()).addAll(adapters))
        }
        return copy(adaptersByModel = union)
    }
}
