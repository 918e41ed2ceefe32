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
 * Models and adapters in the memory of one start of a runner, dated by the number of orders that
 * the runner has accepted.
 *
 * An order states the count that it was planned for, and the runner refuses it at any other count.
 * An order is therefore safe if it fits beside what the ledger holds as of that count, whoever else
 * sends orders. Only reports and accepted orders change the ledger, since only they belong to a
 * known count.
 *
 * @property adaptersByModel what is in memory once [orderCount] orders are accepted, or more.
 * @property orderCount the count that the next order has to state; null if [adaptersByModel] does
 *   not belong to a known count, so that no order may be sent.
 * @property provenCount the highest count that the runner has stated.
 * @property unconfirmedAdapterOrders accepted orders for adapters that may still be in progress.
 */
public data class ResidencyLedger(
    public val adaptersByModel: PersistentMap<String, PersistentSet<String>> = persistentMapOf(),
    public val orderCount: Long? = null,
    public val provenCount: Long = 0,
    public val unconfirmedAdapterOrders: Int = 0
) {
    /** Returns whether the runner has room for what [order] takes, if it is accepted next. */
    public fun hasRoomFor(order: RunnerOrder, bounds: RunnerBounds): Boolean = when (order) {
        is RunnerOrder.Unload, is RunnerOrder.UnloadAdapter -> true
        is RunnerOrder.Load, is RunnerOrder.LoadAdapter -> with(order).fits(bounds)
    }

    private fun fits(bounds: RunnerBounds): Boolean =
        adaptersByModel.entries.sumOf { bounds.megabytesOf(it.key, it.value.size) } <=
            bounds.weightMegabytes &&
            adaptersByModel.values.sumOf { it.size } <= bounds.adapterSlots

    /**
     * Returns the ledger after the runner has accepted [order], which stated [expected].
     *
     * @param isDone whether the runner has said that an adapter is unloaded already; the reply does
     *   not prove that it counted the order. Otherwise requests may still use the adapter. A model
     *   that is being unloaded needs no such distinction: the runner accepts no order meanwhile.
     */
    public fun accepted(order: RunnerOrder, expected: Long, isDone: Boolean): ResidencyLedger {
        if (provenCount > expected) return this
        val isAdapterOrder = order is RunnerOrder.LoadAdapter ||
            order is RunnerOrder.UnloadAdapter &&
            !isDone
        val after = if (order is RunnerOrder.UnloadAdapter && !isDone) this else with(order)
        return after.copy(
            orderCount = expected + 1,
            provenCount = if (isDone) provenCount else expected + 1,
            unconfirmedAdapterOrders = unconfirmedAdapterOrders + if (isAdapterOrder) 1 else 0
        )
    }

    /** Returns the ledger with what [order] loads, which may be in progress, at the same count. */
    public fun including(order: RunnerOrder): ResidencyLedger = when (order) {
        is RunnerOrder.Load -> with(order)
        is RunnerOrder.LoadAdapter ->
            with(order).copy(unconfirmedAdapterOrders = unconfirmedAdapterOrders + 1)
        is RunnerOrder.Unload, is RunnerOrder.UnloadAdapter -> this
    }

    /** Returns the ledger while it is not known whether the runner has accepted an order. */
    public fun outdated(): ResidencyLedger = copy(orderCount = null)

    /**
     * Returns the ledger after a report of [models] as of [count] accepted orders.
     *
     * @param isSettled whether no order is in progress, so that the report lists all that takes
     *   memory.
     */
    public fun reported(
        models: ImmutableMap<String, ImmutableSet<String>>,
        count: Long,
        isSettled: Boolean
    ): ResidencyLedger = when {
        count < provenCount -> this
        isSettled -> ResidencyLedger(
            models.mapValues { (_, adapters) -> adapters.toPersistentSet() }.toPersistentMap(),
            count,
            count
        )
        count == orderCount -> this
        else -> copy(orderCount = null, provenCount = count)
    }

    /** Returns whether the ledger is as [order] leaves it. */
    public fun reflects(order: RunnerOrder): Boolean = with(order) == this

    private fun with(order: RunnerOrder): ResidencyLedger {
        val adapters = adaptersByModel[order.model]
        return copy(
            adaptersByModel = when (order) {
                is RunnerOrder.Load ->
                    adaptersByModel.put(order.model, adapters ?: persistentSetOf())
                is RunnerOrder.Unload -> adaptersByModel.remove(order.model)
                is RunnerOrder.LoadAdapter -> adaptersByModel.put(
                    order.model,
                    (adapters ?: persistentSetOf()).add(order.adapter)
                )
                is RunnerOrder.UnloadAdapter ->
                    if (adapters == null) {
                        adaptersByModel
                    } else {
                        adaptersByModel.put(order.model, adapters.remove(order.adapter))
                    }
            }
        )
    }
}
