package cactusfold.controller.cell

import cactusfold.decisions.placement.CellAccount
import cactusfold.decisions.placement.CellEffect
import cactusfold.decisions.placement.CellEvent
import cactusfold.decisions.placement.CellMachine
import cactusfold.decisions.placement.CellState
import cactusfold.decisions.placement.Order
import cactusfold.decisions.placement.RunnerSpec
import cactusfold.decisions.placement.RunnerState
import cactusfold.node.events.EventRing
import cactusfold.node.events.NodeEvent
import cactusfold.node.rows.Rows
import cactusfold.node.rows.Shards
import cactusfold.node.rows.toIntent
import cactusfold.node.rows.toOrder
import cactusfold.node.state.GuardedState
import cactusfold.node.time.MonotonicClock
import cactusfold.node.time.TimerService
import cactusfold.node.time.TimerSubscription
import cactusfold.ports.runner.OrderOutcome
import cactusfold.ports.runner.RunnerControl
import cactusfold.ports.table.ReadResult
import cactusfold.ports.table.RowWrite
import cactusfold.ports.table.TableStore
import cactusfold.ports.table.WriteResult
import cactusfold.protocol.StoredIntent
import cactusfold.settings.fleet.FleetConfig
import java.util.concurrent.ConcurrentHashMap
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull

/** The collaborators of [CellManager]. */
public class CellDependencies(
    public val table: TableStore,
    public val clock: MonotonicClock,
    public val events: EventRing,
    public val scope: CoroutineScope,
    public val machine: CellMachine,
    public val controlOf: (RunnerSpec) -> RunnerControl
)

/**
 * The placement of a model, as decided by this holder of its cell.
 *
 * @property version rises with each change, also over successive holders, since its upper bits are
 *   the fencing token.
 * @property hasNoCapacity whether the model could not be placed since demand was last reported.
 */
public data class Placement(
    public val version: Long,
    public val replicas: List<RunnerState>,
    public val hasNoCapacity: Boolean
)

/**
 * Runs the [CellMachine] of one cell while this process holds its shard under [fence].
 *
 * @param fenceNow returns the fencing token that this process currently holds. Once it differs from
 *   [fence], nothing is sent to runners any more.
 */
public class CellManager(
    private val cell: String,
    private val fence: Long,
    private val dependencies: CellDependencies,
    private val fenceNow: () -> Long?
) {
    private val job = SupervisorJob(dependencies.scope.coroutineContext[Job])
    private val scope = CoroutineScope(dependencies.scope.coroutineContext + job)
    private val timers = TimerService(scope)
    private val state = GuardedState(CellState(cell, fence))
    private val controls = ConcurrentHashMap<String, RunnerControl>()
    private val pollers = ConcurrentHashMap<String, TimerSubscription>()
    private val placementVersions = ConcurrentHashMap<String, MutableStateFlow<Long>>()
    private val polledAtMillis = ConcurrentHashMap<String, Long>()
    private val pollRequested = ConcurrentHashMap.newKeySet<String>()
    private val noCapacityAtMillis = ConcurrentHashMap<String, Long>()

    /** The current state of the cell. */
    public val current: CellState get() = state.value

    private val isHolder: Boolean get() = fenceNow() == fence

    /** Starts managing the cell: reads the intents of earlier holders before placing models. */
    public fun start(config: FleetConfig) {
        configure(config)
        timers.subscribe("cell-tick", TICK_MILLIS) { apply(CellEvent.Tick) }
        scope.launch { recover() }
    }

    /** Stops all work on the cell. */
    public fun stop() {
        scope.cancel()
    }

    /** Applies the runners and models that [config] assigns to this cell. */
    public fun configure(config: FleetConfig) {
        val runners = config.runners.values.filter { it.cell == cell }.map { it.spec }
        val models = config.models.values.map { it.spec }
            .filter { config.cellOf(it.name) == cell }
        apply(CellEvent.Configured(runners, models))
        watchRunners(runners)
    }

    /** Marks [runners] as leaving, because the platform lists their VMs as leaving. */
    public fun markLeaving(runners: Set<String>) {
        runners.forEach { apply(CellEvent.RunnerLeaving(it)) }
    }

    /**
     * Records the demand in [event] and returns the placement of its model, as soon as that differs
     * from [knownVersion] or after [waitMillis].
     */
    public suspend fun watch(
        event: CellEvent.Demanded,
        knownVersion: Long,
        waitMillis: Long
    ): Placement {
        noCapacityAtMillis.remove(event.model)
        apply(event)
        if (event.demand.waiting > 0) requestPoll(event.model)
        if (placement(event.model).version == knownVersion) {
            val known = knownVersion - (fence shl VERSION_BITS)
            withTimeoutOrNull(waitMillis) { versionFlow(event.model).first { it > known } }
        }
        return placement(event.model)
    }

    /**
     * Requests an early poll of the runners on which [model] is ready. If requests still wait for
     * it, the last inventory may be out of date.
     */
    private fun requestPoll(model: String) {
        CellAccount.ready(state.value, model).forEach { pollRequested += it.spec.name }
    }

    /** Returns the current placement of [model]. */
    public fun placement(model: String): Placement {
        val now = state.value
        val version = (fence shl VERSION_BITS) + (now.demand[model]?.version ?: 0)
        val hasNoCapacity = noCapacityAtMillis.containsKey(model)
        return Placement(version, CellAccount.ready(now, model), hasNoCapacity)
    }

    private fun versionFlow(model: String): MutableStateFlow<Long> =
        placementVersions.computeIfAbsent(model) {
            MutableStateFlow(state.value.demand[model]?.version ?: 0)
        }

    private suspend fun recover() {
        while (true) {
            val rows = dependencies.table.list(Rows.intents(cell))
            if (rows is ReadResult.Found) {
                val now = dependencies.clock.nowMillis()
                val intents = rows.value.map { StoredIntent.parseFrom(it.value).toOrder(now) }
                apply(CellEvent.Recovered(intents))
                return
            }
            delay(RECOVERY_RETRY_MILLIS)
        }
    }

    private fun watchRunners(runners: List<RunnerSpec>) {
        val names = runners.mapTo(mutableSetOf()) { it.name }
        pollers.keys.filter { it !in names }.forEach { pollers.remove(it)?.cancel() }
        for (runner in runners) {
            controls[runner.name] = dependencies.controlOf(runner)
            pollers.computeIfAbsent(runner.name) { name ->
                timers.subscribe("inventory-$name", POLL_MILLIS) { pollIfDue(name) }
            }
        }
    }

    /**
     * Polls [runner] on every call while it has open orders or a poll was requested, and otherwise
     * only every [IDLE_POLL_MILLIS].
     */
    private suspend fun pollIfDue(runner: String) {
        val now = dependencies.clock.nowMillis()
        val isOpen = state.value.runners[runner]?.orders?.isNotEmpty() ?: false
        val isAsked = pollRequested.remove(runner)
        val age = now - (polledAtMillis[runner] ?: Long.MIN_VALUE / 2)
        if (isOpen || isAsked || age >= IDLE_POLL_MILLIS) readInventory(runner)
    }

    private suspend fun readInventory(runner: String) {
        if (!isHolder) return
        polledAtMillis[runner] = dependencies.clock.nowMillis()
        val inventory = controls[runner]?.inventory(fence, dependencies.clock.nowMillis())
        if (inventory == null) {
            apply(CellEvent.RunnerFailed(runner))
        } else {
            apply(CellEvent.InventoryRead(runner, inventory))
        }
    }

    private fun apply(event: CellEvent) {
        val effects = state.step {
            dependencies.machine.step(it, event, dependencies.clock.nowMillis())
        }
        effects.forEach(::run)
    }

    private fun run(effect: CellEffect) {
        when (effect) {
            is CellEffect.WriteIntent -> scope.launch { writeIntent(effect.order) }
            is CellEffect.ClearIntent -> scope.launch { clearIntent(effect.order) }
            is CellEffect.Send -> scope.launch { send(effect.order) }
            is CellEffect.PlacementChanged -> publishPlacement(effect.model)
            is CellEffect.NoCapacity -> {
                noCapacityAtMillis[effect.model] = dependencies.clock.nowMillis()
                publishPlacement(effect.model)
            }
        }
    }

    private fun publishPlacement(model: String) {
        val replicas = CellAccount.ready(state.value, model).size
        dependencies.events.add(NodeEvent.PlacementChanged(model, replicas))
        val version = state.value.demand[model]?.version ?: 0
        versionFlow(model).update { maxOf(it, version) }
    }

    /** Writes the intent of [order] on condition that the shard row still has our [fence]. */
    private suspend fun writeIntent(order: Order) {
        val writes = listOf(
            RowWrite.Check(Rows.shard(Shards.ofCell(cell)), fence),
            RowWrite.Insert(Rows.intent(cell, order.id), order.toIntent(cell).toByteString())
        )
        val written = when (dependencies.table.write(writes)) {
            is WriteResult.Written -> true
            is WriteResult.Unknown -> intentExists(order)
            else -> false
        }
        val event = if (written && isHolder) {
            CellEvent.IntentWritten(order.runner, order.id)
        } else {
            CellEvent.IntentFailed(order.runner, order.id)
        }
        apply(event)
    }

    private suspend fun intentExists(order: Order): Boolean {
        val found = dependencies.table.get(Rows.intent(cell, order.id))
        return (found as? ReadResult.Found)?.value != null
    }

    private suspend fun clearIntent(order: Order) {
        dependencies.table.write(listOf(RowWrite.Delete(Rows.intent(cell, order.id), 1)))
    }

    private suspend fun send(order: Order) {
        if (!isHolder) return
        val control = controls[order.runner] ?: return
        val sent = NodeEvent.OrderSent(order.kind.name, order.model, order.runner, order.id)
        dependencies.events.add(sent)
        val event = when (control.send(order) { isHolder }) {
            OrderOutcome.TAKEN -> CellEvent.OrderAcknowledged(order.runner, order.id)
            OrderOutcome.REFUSED -> CellEvent.OrderRefused(order.runner, order.id)
            OrderOutcome.UNKNOWN -> CellEvent.OrderUnknown(order.runner, order.id)
        }
        apply(event)
        if (event is CellEvent.OrderAcknowledged) readInventory(order.runner)
    }

    private companion object {
        const val TICK_MILLIS = 500L
        const val POLL_MILLIS = 100L
        const val IDLE_POLL_MILLIS = 2_000L
        const val RECOVERY_RETRY_MILLIS = 200L
        const val VERSION_BITS = 32
    }
}
