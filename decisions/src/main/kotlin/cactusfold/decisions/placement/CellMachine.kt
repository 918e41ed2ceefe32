package cactusfold.decisions.placement

import cactusfold.decisions.Step
import cactusfold.decisions.invariant
import cactusfold.decisions.unchanged
import cactusfold.decisions.with
import kotlinx.collections.immutable.toPersistentMap

/**
 * State machine that decides the loads and unloads of one cell, centrally for all routers that
 * request a model.
 *
 * A write-ahead intent is stored before each load. It counts as used memory and as a replica until
 * an inventory that was read after the order's acknowledgement shows the outcome. A late order of a
 * previous lease holder is thereby accounted for, even on runners that ignore fencing tokens.
 */
public class CellMachine(private val settings: PlacementSettings) {
    private val planner = CellPlanner(settings)

    /** Applies [event] at [nowMillis] and plans loads for the wanted models. */
    public fun step(
        state: CellState,
        event: CellEvent,
        nowMillis: Long
    ): Step<CellState, CellEffect> {
        val reacted = react(state, event, nowMillis)
        val planned = planWanted(reacted.state, nowMillis)
        checkMemory(state, planned.state)
        return Step(planned.state, reacted.effects + planned.effects)
    }

    private fun react(
        state: CellState,
        event: CellEvent,
        nowMillis: Long
    ): Step<CellState, CellEffect> = when (event) {
        CellEvent.Tick -> tick(state, nowMillis)
        is CellEvent.Configured -> configured(state, event)
        is CellEvent.Recovered -> recovered(state, event, nowMillis)
        is CellEvent.Demanded -> demanded(state, event, nowMillis)
        is CellEvent.InventoryRead -> inventoryRead(state, event, nowMillis)
        is CellEvent.RunnerFailed -> runnerFailed(state, event, nowMillis)
        is CellEvent.RunnerLeaving -> runnerLeaving(state, event)
        is CellEvent.IntentWritten -> orderStep(state, event.runner, event.orderId) {
                runner,
                order
            ->
            val sent = order.copy(phase = OrderPhase.SENT, changedAtMillis = nowMillis)
            replaceOrder(state, runner, sent).with(CellEffect.Send(sent))
        }
        is CellEvent.IntentFailed -> orderStep(state, event.runner, event.orderId) {
                runner,
                order
            ->
            val retryAtMillis = nowMillis + settings.intentRetryMillis
            dropOrder(state, runner, order).copy(intentsRetryAtMillis = retryAtMillis).unchanged()
        }
        is CellEvent.OrderAcknowledged -> orderStep(state, event.runner, event.orderId) {
                runner,
                order
            ->
            val acknowledged = order.copy(
                phase = OrderPhase.ACKNOWLEDGED,
                changedAtMillis = nowMillis
            )
            replaceOrder(state, runner, acknowledged).unchanged()
        }
        is CellEvent.OrderRefused -> orderStep(state, event.runner, event.orderId) {
                runner,
                order
            ->
            dropOrder(state, runner, order).with(*intentCleanup(order))
        }
        is CellEvent.OrderUnknown -> orderStep(state, event.runner, event.orderId) {
                runner,
                order
            ->
            replaceOrder(state, runner, order.copy(changedAtMillis = nowMillis)).unchanged()
        }
    }

    private fun orderStep(
        state: CellState,
        runner: String,
        orderId: String,
        then: (RunnerState, Order) -> Step<CellState, CellEffect>
    ): Step<CellState, CellEffect> {
        val known = state.runners[runner] ?: return state.unchanged()
        val order = known.orders.values.find { it.id == orderId } ?: return state.unchanged()
        return then(known, order)
    }

    private fun tick(state: CellState, nowMillis: Long): Step<CellState, CellEffect> {
        val unloads = unloadIdle(state, nowMillis)
        val resends = unloads.state.runners.values.flatMap { it.orders.values }
            .filter { it.phase == OrderPhase.SENT }
            .filter { nowMillis - it.changedAtMillis >= settings.orderRetryMillis }
        val next = resends.fold(unloads.state) { current, order ->
            val runner = current.runners.getValue(order.runner)
            replaceOrder(current, runner, order.copy(changedAtMillis = nowMillis))
        }
        return Step(next, unloads.effects + resends.map { CellEffect.Send(it) })
    }

    private fun unloadIdle(state: CellState, nowMillis: Long): Step<CellState, CellEffect> {
        if (!state.recovered) return state.unchanged()
        var current = state
        val effects = mutableListOf<CellEffect>()
        for (runner in state.runners.values.filter(CellAccount::usable)) {
            for (model in planner.expiredModels(current, runner, nowMillis)) {
                val step = order(current, OrderKind.UNLOAD, runner.spec.name, model, nowMillis)
                current = step.state
                effects += step.effects
            }
        }
        return Step(current, effects)
    }

    private fun configured(
        state: CellState,
        event: CellEvent.Configured
    ): Step<CellState, CellEffect> {
        val runners = event.runners.associate { spec ->
            spec.name to (state.runners[spec.name]?.copy(spec = spec) ?: RunnerState(spec))
        }
        val specs = event.models.associateBy { it.name }.toPersistentMap()
        val changed = state.runners.keys != runners.keys
        val next = state.copy(runners = runners.toPersistentMap(), specs = specs)
        if (!changed) return next.unchanged()
        return Step(next, state.demand.keys.map { CellEffect.PlacementChanged(it) })
    }

    private fun recovered(
        state: CellState,
        event: CellEvent.Recovered,
        nowMillis: Long
    ): Step<CellState, CellEffect> {
        val next = event.intents.fold(state) { current, intent ->
            val runner = current.runners[intent.runner] ?: return@fold current
            // Makes the next tick resend the order.
            val changedAtMillis = nowMillis - settings.orderRetryMillis
            val order = intent.copy(
                fence = state.fence,
                phase = OrderPhase.SENT,
                changedAtMillis = changedAtMillis
            )
            replaceOrder(current, runner, order)
        }
        return next.copy(recovered = true).unchanged()
    }

    private fun demanded(
        state: CellState,
        event: CellEvent.Demanded,
        nowMillis: Long
    ): Step<CellState, CellEffect> {
        if (event.model !in state.specs) return state.unchanged()
        val before = state.demand[event.model] ?: ModelDemandState()
        val history = if (event.arrivals > 0) before.history.arrived(nowMillis) else before.history
        val fresh = before.routers.filterValues {
            nowMillis - it.reportedAtMillis < settings.demandTtlMillis
        }.toPersistentMap()
        val after = before.copy(
            routers = fresh.put(event.router, event.demand),
            history = history
        )
        val demand = state.demand.put(event.model, after)
        val base = state.specs.getValue(event.model).base
        val wanted = if (after.waiting > 0) {
            state.wanted.add(event.model).let { if (base == null) it else it.add(base) }
        } else {
            state.wanted.remove(event.model)
        }
        return state.copy(demand = demand, wanted = wanted).unchanged()
    }

    private fun inventoryRead(
        state: CellState,
        event: CellEvent.InventoryRead,
        nowMillis: Long
    ): Step<CellState, CellEffect> {
        val runner = state.runners[event.runner] ?: return state.unchanged()
        val settled = runner.orders.values.filter { isSettled(it, event.inventory) }
        val orders = settled.fold(runner.orders) { map, order -> map.remove(order.model) }
        val next = runner.copy(inventory = event.inventory, orders = orders, failedAtMillis = null)
        val after = state.copy(runners = state.runners.put(event.runner, next))
        val changed = (readyModels(runner) + readyModels(next)) -
            readyModels(runner).intersect(readyModels(next))
        val effects =
            settled.flatMap { intentCleanup(it).asList() } +
                changed.map(CellEffect::PlacementChanged)
        return Step(incrementVersions(after, changed, nowMillis), effects)
    }

    private fun readyModels(runner: RunnerState): Set<String> =
        runner.inventory?.models?.keys.orEmpty().filterTo(mutableSetOf()) {
            CellAccount.isReady(runner, it)
        }

    /** Whether [inventory], requested after the order's acknowledgement, shows the outcome. */
    private fun isSettled(order: Order, inventory: Inventory): Boolean {
        val isReadAfterAcknowledgement = order.phase == OrderPhase.ACKNOWLEDGED &&
            inventory.readAtMillis >= order.changedAtMillis
        val phase = inventory.models[order.model]?.phase
        return isReadAfterAcknowledgement &&
            when (order.kind) {
                OrderKind.LOAD -> phase != ModelPhase.LOADING
                OrderKind.UNLOAD -> phase == null || phase == ModelPhase.READY
            }
    }

    private fun runnerFailed(
        state: CellState,
        event: CellEvent.RunnerFailed,
        nowMillis: Long
    ): Step<CellState, CellEffect> {
        val runner = state.runners[event.runner] ?: return state.unchanged()
        val failed = runner.copy(failedAtMillis = runner.failedAtMillis ?: nowMillis)
        return replaceRunner(state, runner, failed, nowMillis)
    }

    private fun runnerLeaving(
        state: CellState,
        event: CellEvent.RunnerLeaving
    ): Step<CellState, CellEffect> {
        val runner = state.runners[event.runner] ?: return state.unchanged()
        return replaceRunner(state, runner, runner.copy(leaving = true), 0)
    }

    private fun replaceRunner(
        state: CellState,
        before: RunnerState,
        after: RunnerState,
        nowMillis: Long
    ): Step<CellState, CellEffect> {
        val noLongerReady = readyModels(before) - readyModels(after)
        val next = state.copy(runners = state.runners.put(before.spec.name, after))
        return Step(
            incrementVersions(next, noLongerReady, nowMillis),
            noLongerReady.map { CellEffect.PlacementChanged(it) }
        )
    }

    private fun incrementVersions(
        state: CellState,
        models: Set<String>,
        nowMillis: Long
    ): CellState = models.fold(state) { current, model ->
        val demand = current.demand[model]
            ?: ModelDemandState(history = ArrivalHistory(lastAtMillis = nowMillis))
        current.copy(
            demand = current.demand.put(model, demand.copy(version = demand.version + 1))
        )
    }

    private fun planWanted(state: CellState, nowMillis: Long): Step<CellState, CellEffect> {
        if (!state.recovered || state.wanted.isEmpty()) return state.unchanged()
        val byDeadline = state.wanted.sortedBy {
            state.demand[it]?.deadlineAtMillis
                ?: Long.MIN_VALUE
        }
        var current = state
        val effects = mutableListOf<CellEffect>()
        for (model in byDeadline) {
            val step = planModel(current, model, nowMillis)
            current = step.state
            effects += step.effects
        }
        return Step(current, effects)
    }

    private fun planModel(
        state: CellState,
        model: String,
        nowMillis: Long
    ): Step<CellState, CellEffect> {
        val spec = state.specs[model] ?: return removeWanted(state, model).unchanged()
        val slots = state.runners.values.firstOrNull()?.spec?.slots ?: return state.unchanged()
        val demand = state.demand[model] ?: ModelDemandState()
        val desired = planner.desiredReplicas(demand, slots).coerceAtLeast(1)
        val replicas = CellAccount.presentOrLoading(state, model).size
        if (replicas >= desired) {
            val isServed = CellAccount.ready(state, model).size >= desired
            return (if (isServed) removeWanted(state, model) else state).unchanged()
        }
        val plan =
            planner.planLoad(state, spec, nowMillis)
                ?: return handleNoPlan(state, spec, nowMillis)
        val mayOrder =
            nowMillis >= state.intentsRetryAtMillis || rejectsStaleOrders(state, plan.runner)
        if (!mayOrder || isLoadLimitReached(state, spec, plan)) return state.unchanged()
        if (plan.evictions.isEmpty()) {
            return order(state, OrderKind.LOAD, plan.runner, model, nowMillis)
        }
        return evict(state, plan, nowMillis)
    }

    private fun evict(
        state: CellState,
        plan: LoadPlan,
        nowMillis: Long
    ): Step<CellState, CellEffect> {
        var current = state
        val effects = mutableListOf<CellEffect>()
        for (evicted in plan.evictions) {
            val step = order(current, OrderKind.UNLOAD, plan.runner, evicted, nowMillis)
            current = step.state
            effects += step.effects
        }
        return Step(current, effects)
    }

    /** Keeps the model wanted, or reports no capacity if it is too big for any runner. */
    private fun handleNoPlan(
        state: CellState,
        spec: ModelSpec,
        nowMillis: Long
    ): Step<CellState, CellEffect> {
        val known = state.runners.values.filter { it.inventory != null }
        val mightFit = known.isEmpty() || known.any { it.spec.modelMemoryBytes >= spec.memoryBytes }
        if (mightFit) return state.unchanged()
        return incrementVersions(removeWanted(state, spec.name), setOf(spec.name), nowMillis)
            .with(CellEffect.NoCapacity(spec.name))
    }

    private fun removeWanted(state: CellState, model: String): CellState =
        state.copy(wanted = state.wanted.remove(model))

    private fun isLoadLimitReached(state: CellState, spec: ModelSpec, plan: LoadPlan): Boolean {
        val loads = state.runners.values.flatMap { it.orders.values }
            .filter { it.kind == OrderKind.LOAD }
        val adapters = loads.count { state.specs[it.model]?.base != null }
        val models = loads.size - adapters
        return if (spec.base != null) {
            adapters >= settings.maxAdapterLoads
        } else {
            plan.remote && models >= settings.maxRemoteLoads
        }
    }

    private fun order(
        state: CellState,
        kind: OrderKind,
        runnerName: String,
        model: String,
        nowMillis: Long
    ): Step<CellState, CellEffect> {
        val runner = state.runners.getValue(runnerName)
        val bytes = state.specs[model]?.memoryBytes ?: 0
        val needsIntent = kind == OrderKind.LOAD && !rejectsStaleOrders(state, runnerName)
        val phase = if (needsIntent) OrderPhase.INTENDED else OrderPhase.SENT
        val id = "${state.cell}-${state.fence}-${state.nextOrder}"
        val order = Order(id, kind, runnerName, model, bytes, state.fence, phase, nowMillis)
        val next = replaceOrder(state, runner, order).copy(nextOrder = state.nextOrder + 1)
        if (needsIntent) return next.with(CellEffect.WriteIntent(order))
        if (kind == OrderKind.LOAD) return next.with(CellEffect.Send(order))
        return incrementVersions(next, setOf(model), nowMillis)
            .with(CellEffect.Send(order), CellEffect.PlacementChanged(model))
    }

    /** Whether the runner rejects orders of previous lease holders, so that no intent is needed. */
    private fun rejectsStaleOrders(state: CellState, runnerName: String): Boolean {
        val runner = state.runners.getValue(runnerName)
        return runner.spec.checksFence && runner.inventory?.fence == state.fence
    }

    private fun intentCleanup(order: Order): Array<CellEffect> =
        if (order.kind == OrderKind.LOAD) arrayOf(CellEffect.ClearIntent(order)) else emptyArray()

    private fun replaceOrder(state: CellState, runner: RunnerState, order: Order): CellState {
        val next = runner.copy(orders = runner.orders.put(order.model, order))
        return state.copy(runners = state.runners.put(runner.spec.name, next))
    }

    private fun dropOrder(state: CellState, runner: RunnerState, order: Order): CellState {
        val next = runner.copy(orders = runner.orders.remove(order.model))
        return state.copy(runners = state.runners.put(runner.spec.name, next))
    }

    /**
     * Checks that no new load overcommits a runner's memory. Only an inventory or a recovered
     * intent may bring the accounted memory above the limit.
     */
    private fun checkMemory(before: CellState, after: CellState) {
        if (before.runners === after.runners) return
        for ((name, runner) in after.runners) {
            val newLoads = runner.orders.values.filter {
                it.phase == OrderPhase.INTENDED && before.runners[name]?.orders?.get(it.model) != it
            }
            if (newLoads.isEmpty()) continue
            val used = CellAccount.usedBytes(runner, after.specs)
            invariant(used <= runner.spec.modelMemoryBytes) {
                "the memory of runner $name must not be overcommitted"
            }
        }
    }
}
