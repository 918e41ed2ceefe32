package cactusfold.decisions.placement

import cactusfold.seeds.Seeds
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet

/**
 * Simulates a cell whose runners ignore fencing tokens. Orders are delayed, lost or duplicated,
 * lease holders change during a load, runners crash and writes to the table fail.
 */
class CellRandomisedTest {
    private val settings = PlacementSettings(minKeepAliveMillis = 2_000)
    private val specs = (1..12).map { ModelSpec("m$it", it * 10L, null) } +
        (1..6).map { ModelSpec("a$it", 5, "m$it") }
    private val runnerSpecs = (1..3).map {
        RunnerSpec("r$it", "127.0.0.1", it, "z", 150, 4, checksFence = false)
    }

    private inner class RunnerModel(val spec: RunnerSpec, val random: Random) {
        val models = mutableMapOf<String, Pair<ModelPhase, Long>>()
        val receivedOrderIds = mutableSetOf<String>()
        var incarnation = 0

        fun load(order: Order, nowMillis: Long): Boolean {
            if (!receivedOrderIds.add(order.id) || order.model in models) return true
            val used = models.keys.sumOf { model -> specs.first { it.name == model }.memoryBytes }
            assertTrue(
                used + order.memoryBytes <= spec.modelMemoryBytes,
                "${order.model} does not fit into ${spec.name} beside ${models.keys}"
            )
            models[order.model] = ModelPhase.LOADING to nowMillis + random.nextLong(2_000)
            return true
        }

        fun inventory(nowMillis: Long): Inventory {
            val now = models.mapValues { (_, value) ->
                if (value.second <= nowMillis) ModelPhase.READY else ModelPhase.LOADING
            }
            return Inventory(
                nowMillis,
                "boot-$incarnation",
                now.mapValues { InventoryModel(it.key, it.value) }.toPersistentMap(),
                emptySet<String>().toPersistentSet(),
                0,
                0
            )
        }

        fun crash() {
            models.clear()
            receivedOrderIds.clear()
            incarnation++
        }
    }

    private inner class CellSimulation(val random: Random) {
        val machine = CellMachine(settings)
        val runners = runnerSpecs.associate { it.name to RunnerModel(it, random) }
        val intents = mutableMapOf<String, Order>()
        val scheduled = mutableListOf<Pair<Long, () -> Unit>>()
        var fence = 1L
        var now = 0L
        var placementChanges = 0
        var state = CellState("c", 1)

        init {
            becomeHolder()
        }

        fun becomeHolder() {
            state = CellState("c", fence)
            run(CellEvent.Configured(runnerSpecs, specs))
            run(CellEvent.Recovered(intents.values.toList()))
        }

        fun run(event: CellEvent) {
            val step = machine.step(state, event, now)
            state = step.state
            step.effects.forEach(::perform)
        }

        private fun schedule(maxMillis: Long, action: () -> Unit) {
            scheduled += now + random.nextLong(1, maxMillis) to action
        }

        /** Delivers [event] only to the lease holder that sent the request; others ignore it. */
        private fun answer(maxMillis: Long, event: CellEvent) {
            val sendersFence = fence
            schedule(maxMillis) { if (fence == sendersFence) run(event) }
        }

        private fun perform(effect: CellEffect) {
            when (effect) {
                is CellEffect.WriteIntent -> writeIntent(effect.order)
                is CellEffect.ClearIntent -> intents.remove(effect.order.id)
                is CellEffect.Send -> send(effect.order)
                is CellEffect.PlacementChanged -> placementChanges++
                is CellEffect.NoCapacity -> Unit
            }
        }

        private fun writeIntent(order: Order) {
            val sendersFence = fence
            schedule(200) {
                val isWritten = sendersFence == fence && random.nextInt(10) != 0
                if (isWritten) {
                    intents[order.id] = order
                    run(CellEvent.IntentWritten(order.runner, order.id))
                } else if (sendersFence == fence) {
                    run(CellEvent.IntentFailed(order.runner, order.id))
                }
            }
        }

        private fun send(order: Order) {
            val runner = runners.getValue(order.runner)
            if (random.nextInt(8) ==
                0
            ) {
                return answer(500, CellEvent.OrderUnknown(order.runner, order.id))
            }
            val delay = if (random.nextInt(6) == 0) 8_000L else 50L
            val sendersFence = fence
            val incarnation = runner.incarnation
            schedule(delay) {
                // An order is lost with its connection when the runner's incarnation ends.
                if (runner.incarnation != incarnation) return@schedule
                when (order.kind) {
                    OrderKind.LOAD -> runner.load(order, now)
                    OrderKind.UNLOAD -> runner.models.remove(order.model)
                }
                if (fence == sendersFence && random.nextInt(8) != 0) {
                    run(CellEvent.OrderAcknowledged(order.runner, order.id))
                }
            }
        }

        fun step() {
            now += random.nextLong(1, 100)
            val due = scheduled.filter { it.first <= now }
            scheduled.removeAll(due)
            due.forEach { it.second() }
            when (random.nextInt(400)) {
                0 -> {
                    fence++
                    becomeHolder()
                }
                1 -> runners.values.random(random).crash()
            }
            if (random.nextInt(3) == 0) poll()
            if (random.nextInt(10) == 0) run(CellEvent.Tick)
            if (random.nextInt(6) == 0) demand()
        }

        private fun poll() {
            val runner = runners.values.random(random)
            run(CellEvent.InventoryRead(runner.spec.name, runner.inventory(now)))
        }

        private fun demand() {
            val waiting = random.nextInt(3)
            val demand = RouterDemand(waiting, 0, now + 5_000, 5_000, now)
            run(CellEvent.Demanded(specs.random(random).name, "router", demand, waiting))
        }
    }

    @Test
    fun `memory is never overcommitted if runners ignore fencing tokens`() = Seeds.each { random ->
        val simulation = CellSimulation(random)
        repeat(4_000) { simulation.step() }
        assertTrue(simulation.placementChanges > 0, "no model was ever loaded")
    }
}
