package cactusfold.entry.residency

import cactusfold.decisions.fleet.RowsRead
import cactusfold.decisions.residency.ModelCost
import cactusfold.entry.config.RouteTable
import cactusfold.entry.process.EventLog
import cactusfold.entry.upstream.NoFeed
import cactusfold.entry.upstream.RowNews
import cactusfold.entry.upstream.UpstreamDirectory
import cactusfold.entry.upstream.UpstreamPolling
import cactusfold.node.time.MonotonicClock
import cactusfold.ports.serving.CallerLimits
import cactusfold.ports.serving.EngineSpec
import cactusfold.ports.serving.OrderAuthority
import cactusfold.ports.serving.ServiceSpec
import cactusfold.ports.serving.ServingConfig
import cactusfold.ports.serving.UpstreamEntry
import cactusfold.ports.table.RowChange
import cactusfold.protocol.entry.Demand
import cactusfold.protocol.entry.MemberReport
import cactusfold.protocol.entry.RunnerUse
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toImmutableMap
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestCoroutineScheduler

/** What a caller asks for: a model, and one of its adapters if not null. */
typealias Wanted = Pair<String, String?>

/**
 * Runners and the coordinators that order loads on them, one at a time, in virtual time. Only the
 * network, the rows of the store and the callers are simulated.
 */
@OptIn(ExperimentalCoroutinesApi::class)
class SimulatedFleet(
    weightMegabytes: Double = 200_000.0,
    adapterSlots: Int = 8,
    modelMegabytes: Double = 65_100.0
) : AutoCloseable {
    private val scheduler = TestCoroutineScheduler()
    private val scope = CoroutineScope(StandardTestDispatcher(scheduler) + SupervisorJob())
    private val clock = MonotonicClock { START_MILLIS + scheduler.currentTime }
    val nowMillis: Long get() = clock.nowMillis()
    private val engine = EngineSpec(
        slots = 8,
        weightMegabytes = weightMegabytes,
        adapterSlots = adapterSlots,
        storeLoadsPerSecond = null,
        models = (1..9).associate { i ->
            "m$i" to ModelCost("m$i", modelMegabytes, ADAPTER_MEGABYTES, 12, 2_000, 1_000, 500)
        }.toImmutableMap()
    )
    private val table = RouteTable(
        ServingConfig(
            1,
            persistentListOf(),
            persistentMapOf(
                SimulatedRunner.SERVICE to ServiceSpec(SimulatedRunner.SERVICE, engine)
            ),
            persistentListOf(),
            CallerLimits(1, 1, 1, 1)
        )
    )
    private val byId = LinkedHashMap<String, SimulatedRunner>()
    private val waiting = LinkedHashMap<Wanted, Int>()
    private var rowVersion = 0L

    val runners: Collection<SimulatedRunner> get() = byId.values
    val overloads: List<String> get() = runners.flatMap { it.overloads }

    /** The orders of all runners, as they saw them. */
    val log: String get() = runners.flatMap { it.log }.joinToString("\n")

    /** The number of wants that were served. */
    var served = 0
        private set

    /** The number of answers 421. */
    var misses = 0
        private set

    /** Requests in flight, as members report them. */
    var uses: List<RunnerUse> = emptyList()

    fun runner(id: String, vararg models: String): SimulatedRunner =
        SimulatedRunner(id, engine, models.toSet(), scope, clock::nowMillis).also { byId[id] = it }

    fun coordinator(vm: String): Coordinator = Coordinator(vm)

    /** A process that may hold the lease. */
    inner class Coordinator(private val vm: String) {
        val orders = SimulatedOrders(byId, scope)
        private val events = EventLog(vm, { 0 }, linesPerSecond = 0)
        val directory =
            UpstreamDirectory(NoFeed, clock, events, "z") { UpstreamPolling.Coordinator }
        private val demand = FleetDemand()
        private var fence = 0L
        private var holdsLease = false
        private val loads = LoadCoordinator(
            scope,
            directory,
            demand,
            OrderDependencies(orders, { null }, {}, clock, events, { OrderAuthority(vm, fence) }) {
                holdsLease
            },
            5_000,
            LoadMeters(SimpleMeterRegistry())
        ) { table }

        /** Has the process learn of the registrations [rows]. */
        fun read(rows: List<UpstreamEntry> = runners.filterNot { it.isDown }.map { it.entry() }) {
            val changes = rows.map { RowChange(it.id, ++rowVersion, bytesOf(it)) }
            apply(changes)
        }

        /** Has the process learn that the registration of [id] has ended. */
        fun lapse(id: String): Unit = apply(listOf(RowChange(id, ++rowVersion, null)))

        private fun apply(changes: List<RowChange>) {
            val read = RowsRead(0, rowVersion)
            directory.relayed(RowNews(changes, false, read, nowMillis, isComplete = true))
        }

        fun start(fence: Long) {
            this.fence = fence
            holdsLease = true
            loads.start()
        }

        /** Ends the lease; orders that were sent are still on their way. */
        fun stop() {
            holdsLease = false
            loads.stop()
        }

        /** Plans each [STEP_MILLIS], for [millis]. */
        fun run(millis: Long, eachStep: () -> Unit = {}) {
            val endsAtMillis = nowMillis + millis
            while (nowMillis < endsAtMillis) {
                eachStep()
                demand.record(report(), nowMillis)
                loads.step()
                scheduler.advanceTimeBy(STEP_MILLIS)
                scheduler.runCurrent()
                callWaiting()
            }
        }

        private fun report(): MemberReport {
            val report = MemberReport.newBuilder().setVm(vm).addAllUses(uses)
            for ((wanted, count) in waiting) {
                report.addDemands(
                    Demand.newBuilder().setModel(wanted.first).setAdapter(wanted.second.orEmpty())
                        .setWaiting(count).setArrivals(1)
                        .setTargetInMillis(1_000).setLimitInMillis(15_000)
                )
            }
            return report.build()
        }

        /** Sends all requests that wait for what a runner seems to have, at once. */
        private fun callWaiting() {
            val served = waiting.filter { (wanted, count) -> send(wanted, count) }.keys.toSet()
            served.forEach(waiting::remove)
        }

        /** Sends [count] requests from the VM of this process; returns whether they are served. */
        fun send(wanted: Wanted, count: Int): Boolean {
            val (model, adapter) = wanted
            val upstream = directory.serving(SimulatedRunner.SERVICE, model, adapter).firstOrNull()
                ?: return false
            if (byId.getValue(upstream.entry.id).serves(model, adapter)) {
                served++
                return true
            }
            repeat(count) {
                misses++
                upstream.recordMissing(model, adapter, nowMillis)
            }
            directory.markOutdated()
            return false
        }
    }

    /** Has [count] callers wait for [model]. */
    fun want(model: String, adapter: String? = null, count: Int = 1) {
        waiting.merge(model to adapter, count, Int::plus)
    }

    /** Has all callers leave. */
    fun wantNothing(): Unit = waiting.clear()

    fun waits(model: String, adapter: String? = null): Boolean = (model to adapter) in waiting

    private fun bytesOf(entry: UpstreamEntry): ByteArray {
        val models = entry.adaptersByModel.map { (model, adapters) ->
            JsonObject().put("name", model).put("version", 1)
                .put("adapters", JsonArray(adapters.toList()))
        }
        return JsonObject().put("service", entry.service).put("address", "127.0.0.1:1")
            .put("zone", "z").put("version", "v1").put("slots", entry.slots).put("state", "ready")
            .put("warmup-ms", 0).put("seq", 1).put("born", entry.startedAtEpochMillis)
            .put("models", JsonArray(models)).toBuffer().bytes
    }

    override fun close(): Unit = scope.cancel()

    companion object {
        const val STEP_MILLIS = 50L
        private const val ADAPTER_MEGABYTES = 66.0
        private const val START_MILLIS = 1_000_000L
    }
}
