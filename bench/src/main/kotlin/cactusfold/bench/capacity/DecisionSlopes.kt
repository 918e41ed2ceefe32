package cactusfold.bench.capacity

import cactusfold.bench.Meter
import cactusfold.bench.Point
import cactusfold.decisions.config.ConfigDocument
import cactusfold.decisions.config.ConfigEntry
import cactusfold.decisions.config.ConfigLog
import cactusfold.decisions.config.ConfigLogState
import cactusfold.decisions.config.ConfigPatch
import cactusfold.decisions.lease.LeaseEvent
import cactusfold.decisions.lease.LeaseMachine
import cactusfold.decisions.lease.LeaseSettings
import cactusfold.decisions.lease.LeaseState
import cactusfold.decisions.lease.SessionRow
import cactusfold.decisions.lease.ShardRow
import cactusfold.decisions.placement.ArrivalHistory
import cactusfold.decisions.placement.CellEvent
import cactusfold.decisions.placement.CellMachine
import cactusfold.decisions.placement.CellState
import cactusfold.decisions.placement.Inventory
import cactusfold.decisions.placement.InventoryModel
import cactusfold.decisions.placement.ModelDemandState
import cactusfold.decisions.placement.ModelPhase
import cactusfold.decisions.placement.ModelSpec
import cactusfold.decisions.placement.PlacementSettings
import cactusfold.decisions.placement.RouterDemand
import cactusfold.decisions.placement.RunnerSpec
import cactusfold.decisions.queue.QueueState
import cactusfold.decisions.queue.WaitingList
import cactusfold.decisions.queue.WaitingRequest
import cactusfold.decisions.rate.BucketMachine
import cactusfold.decisions.rate.BucketState
import cactusfold.decisions.rate.GrantRequest
import cactusfold.decisions.rate.RateLimit
import cactusfold.decisions.rate.RouterRegistry
import cactusfold.decisions.rate.TokenGrantSettings
import cactusfold.decisions.routing.ChoiceContext
import cactusfold.decisions.routing.ExpectedTimes
import cactusfold.decisions.routing.PrefixCaches
import cactusfold.decisions.routing.PromptBlock
import cactusfold.decisions.routing.ReplicaChoice
import cactusfold.decisions.routing.ReplicaView
import cactusfold.decisions.routing.RequestWork
import cactusfold.decisions.routing.RunnerChoice
import cactusfold.decisions.routing.RunnerView
import cactusfold.node.rows.toMessage
import cactusfold.settings.fleet.FleetConfig
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet

/** Cost of the pure state machines by size: CPU time per event and heap size of the state. */
public object DecisionSlopes {
    private const val NODES = 430.0
    private const val PROCESSES = 860.0
    private const val ADAPTERS = 36_000.0
    private const val CELL_RUNNERS = 64.0
    private const val CELL_MODELS = 800.0

    public fun all(): List<Slope> = listOf(
        leaseTableRead(),
        leaseMemory(),
        cellDemandByRunners(),
        cellDemandByModels(),
        cellMemory(),
        historyMemory(),
        bucketTokenRequest(),
        bucketMemory(),
        configChange(),
        configMemory(),
        routingChoice(),
        runnerChoice(),
        queueDispatch()
    )

    private fun points(sizes: List<Int>, measure: (Int) -> Double): List<Point> =
        sizes.map { Point(it.toDouble(), measure(it)) }

    private fun leaseState(processes: Int): Pair<LeaseState, LeaseEvent.TableRead> {
        val sessions = (1..processes).map { SessionRow("node-$it", it.toLong(), 1, it % 2 == 0) }
        val shards = (1..processes).map { ShardRow("cell/$it", 1, "node-$it", it.toLong()) }
        val read = LeaseEvent.TableRead(2, sessions, shards, emptySet())
        val wanted = shards.mapTo(mutableSetOf()) { it.shard }
        val state = LeaseState("node-1", 1, 1, leaseExpiresAtMillis = 1_000_000, wanted = wanted)
        return LeaseMachine(LeaseSettings()).step(state, read, 1).state to read
    }

    private fun leaseTableRead() = Slope(
        "lease: judging one read of the table",
        "µs",
        "processes",
        PROCESSES,
        points(listOf(30, 100, 300, 600)) {
            val (state, read) = leaseState(it)
            val machine = LeaseMachine(LeaseSettings())
            Meter.microsPerCall { machine.step(state, read, 2) }
        }
    )

    private fun leaseMemory() = Slope(
        "lease: sessions and shards known",
        "bytes",
        "processes",
        PROCESSES,
        points(listOf(1_000, 2_000, 4_000, 8_000)) { n ->
            Meter.heapBytes { leaseState(n).first }.toDouble()
        }
    )

    private fun runnerSpec(i: Int) =
        RunnerSpec("runner-$i", "10.0.0.1", i, "zone-${i % 8}", 80_000_000_000, 32, i % 2 == 0)

    private fun cell(runners: Int, models: Int, known: Int = 0): CellState {
        val machine = CellMachine(PlacementSettings())
        val specs = (1..models).map {
            ModelSpec(
                "model-$it",
                60_000_000,
                if (it % 100 ==
                    1
                ) {
                    null
                } else {
                    "model-${it / 100 * 100 + 1}"
                }
            )
        }
        var state = CellState("c", 1)
        fun run(event: CellEvent) {
            state = machine.step(state, event, 1).state
        }
        run(CellEvent.Configured((1..runners).map(::runnerSpec), specs))
        run(CellEvent.Recovered(emptyList()))
        for (i in 1..runners) run(CellEvent.InventoryRead("runner-$i", inventory(i)))
        for (i in 1..known) {
            val demand = ModelDemandState(history = ArrivalHistory(1, listOf(1, 2, 3, 4, 5, 6, 7)))
            state = state.copy(demand = state.demand.put("model-$i", demand))
        }
        return state
    }

    private fun inventory(i: Int): Inventory {
        val models = (1..16).associate {
            "model-$it" to
                InventoryModel("model-$it", ModelPhase.READY)
        }
        val disk = (1..16).map { "model-$it" }.toPersistentSet()
        return Inventory(1, "boot-$i", models.toPersistentMap(), disk, 4, 0, 1)
    }

    private fun demandMicros(state: CellState): Double {
        val machine = CellMachine(PlacementSettings())
        val demand = RouterDemand(2, 0, 5_000, 5_000, 2)
        var i = 0
        return Meter.microsPerCall {
            i++
            machine.step(state, CellEvent.Demanded("model-${20 + i % 50}", "r", demand, 1), 2)
        }
    }

    private fun cellDemandByRunners() = Slope(
        "placement: a cold model's demand, with the choice of a runner",
        "µs",
        "runners in the cell",
        CELL_RUNNERS,
        points(listOf(8, 16, 32, 64, 128)) { demandMicros(cell(it, 800)) }
    )

    private fun cellDemandByModels() = Slope(
        "placement: the same at 16 runners, by models known",
        "µs",
        "models in the cell",
        CELL_MODELS,
        points(listOf(200, 800, 3_200, 12_800)) { demandMicros(cell(16, it)) }
    )

    private fun cellMemory() = Slope(
        "placement: a cell of 16 runners",
        "bytes",
        "models with history in the cell",
        CELL_MODELS,
        points(listOf(2_000, 4_000, 8_000, 16_000)) { n ->
            Meter.heapBytes { cell(16, n, n) }.toDouble()
        }
    )

    private fun historyMemory() = Slope(
        "placement: arrival histories alone",
        "bytes",
        "models",
        ADAPTERS,
        points(listOf(4_000, 8_000, 16_000, 36_000)) { n ->
            Meter.heapBytes {
                (1..n).associate {
                    "model-$it" to
                        (1..8).fold(ArrivalHistory()) { h, k -> h.arrived(k * 7_000L * it) }
                }
            }.toDouble()
        }
    )

    private fun bucket(routers: Int): BucketState {
        val holder = BucketMachine(TokenGrantSettings(routerSlots = routers))
        val names = (1..routers).mapTo(mutableSetOf()) { "router-$it" }
        val start = holder.start(RateLimit(1e6, 1e6), RouterRegistry(names, 1), 0)
        return names.fold(start) { state, name ->
            holder.ask(state, grantRequest(name, 1), 2_000).state
        }
    }

    private fun grantRequest(router: String, sequence: Long) =
        GrantRequest(router, router, sequence, 100, 0, 0, 0)

    private fun bucketTokenRequest() = Slope(
        "rates: one router's ask at a holder",
        "µs",
        "routers in contact",
        NODES,
        points(listOf(15, 60, 150, 430)) {
            val holder = BucketMachine(TokenGrantSettings(routerSlots = it))
            val state = bucket(it)
            Meter.microsPerCall { holder.ask(state, grantRequest("router-1", 2), 2_100) }
        }
    )

    private fun bucketMemory() = Slope(
        "rates: one workspace's bucket",
        "bytes",
        "routers in contact",
        NODES,
        points(listOf(2_000, 4_000, 8_000, 16_000)) { n ->
            Meter.heapBytes { bucket(n) }.toDouble()
        }
    )

    private fun document(adapters: Int): ConfigDocument = ConfigDocument(
        (1..adapters).associate {
            "model adapter-$it" to persistentMapOf(
                "memory_bytes" to "60000000",
                "base" to "model-${it % 77}",
                "class" to "drill-plans"
            )
        }.toPersistentMap()
    )

    private fun configChange() = Slope(
        "configuration: putting one change in force, with the typed form",
        "µs",
        "adapters",
        ADAPTERS,
        points(listOf(1_000, 4_000, 12_000, 36_000)) {
            val state = ConfigLogState(1, document(it))
            val section =
                "model adapter-1" to persistentMapOf("memory_bytes" to "1", "base" to "model-1")
            val entry = ConfigEntry(2, "op", "a", 0, ConfigPatch(persistentMapOf(section)), "")
            Meter.microsPerCall {
                val next = ConfigLog.offer(state, listOf(entry)).state
                FleetConfig.of(2, next.document)
            }
        }
    )

    private fun configMemory() = Slope(
        "configuration: document and typed form",
        "bytes",
        "adapters",
        ADAPTERS,
        points(listOf(4_000, 8_000, 16_000, 36_000)) { n ->
            Meter.heapBytes {
                val document = document(n)
                document to FleetConfig.of(1, document)
            }.toDouble()
        }
    )

    private fun routingChoice() = Slope(
        "routing: one choice among a model's replicas",
        "µs",
        "replicas of the model",
        CELL_RUNNERS,
        points(listOf(2, 8, 32, 128)) { n ->
            val choice = ReplicaChoice(1.0, 0.25)
            val views = (1..n).map {
                ReplicaView("runner-$it", "zone-${it % 8}", 32, it % 7, 0, it % 5, 10.0, 0)
            }
            var i = 0
            Meter.microsPerCall {
                i++
                choice.choose(views, "zone-1", null, i, i * 31, 10)
            }
        }
    )

    private fun runnerChoice() = Slope(
        "routing: one choice among the runners of an engine",
        "µs",
        "runners with the model",
        CELL_RUNNERS,
        points(listOf(2, 8, 32, 128)) { n ->
            val choice = RunnerChoice(ExpectedTimes(1.0))
            val caches = PrefixCaches()
            val blocks = listOf(PromptBlock("a", 300), PromptBlock("b", 500))
            val work = RequestWork.of("model", 1_200, 60, blocks)
            val views = (1..n).map {
                RunnerView("runner-$it", "zone-${it % 8}", 32, 90_000, it % 5, it % 5 * 900L)
            }
            val runners = views.map { it.upstream }
            val context = ChoiceContext("zone-1", 84, 10)
            var i = 0
            Meter.microsPerCall {
                val cached = caches.locate(work, runners, 84, 10)
                choice.choose(views, work, cached, context) { bound -> i++ % bound }
            }
        }
    )

    private fun queueDispatch() = Slope(
        "queue: one request in and out",
        "µs",
        "requests waiting",
        1_000.0,
        points(listOf(10, 100, 1_000, 4_000)) { n ->
            val queue = WaitingList(10_000, 10_000)
            val full = (1..n).fold(QueueState()) { state, i ->
                queue.add(state, waiting(i), 0).state
            }
            Meter.microsPerCall {
                val added = queue.add(full, waiting(0), 0).state
                queue.dispatch(added, 1)
            }
        }
    )

    private fun waiting(i: Int) =
        WaitingRequest("r$i", "workspace-${i % 5}", 1.0, 1_000L + i * 37 % 1_000, 100)

    /** Returns the serialized size of one configuration change in bytes. */
    public fun changeBytes(): Int {
        val section = "model adapter-1" to persistentMapOf(
            "memory_bytes" to "60000000",
            "base" to "model-1",
            "class" to "drill-plans"
        )
        val patch = ConfigPatch(persistentMapOf(section))
        return ConfigEntry(2_000_000, "0".repeat(36), "operator", 1L shl 41, patch, "why")
            .toMessage().serializedSize
    }
}
