package cactusfold.controller

import cactusfold.controller.cell.CellContext
import cactusfold.controller.cell.CellKeeper
import cactusfold.controller.operators.OperatorRoutes
import cactusfold.controller.rate.BucketKeeper
import cactusfold.decisions.placement.CellMachine
import cactusfold.decisions.placement.PlacementSettings
import cactusfold.decisions.placement.RunnerSpec
import cactusfold.decisions.rate.TokenGrantSettings
import cactusfold.decisions.store.StorePurpose
import cactusfold.node.launch.Daemon
import cactusfold.node.launch.NodeCore
import cactusfold.node.launch.NodeSettings
import cactusfold.node.peer.RoleService
import cactusfold.node.rows.Shards
import cactusfold.node.session.Role
import cactusfold.node.session.ShardListener
import cactusfold.ports.http.PlatformHttp
import cactusfold.ports.runner.HttpRunnerControl
import cactusfold.ports.runner.RunnerControl
import cactusfold.settings.fleet.FleetConfig
import cactusfold.settings.schema.HostPort
import io.vertx.core.Vertx
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean

/** Settings of a controller. */
public data class ControllerSettings(
    public val node: NodeSettings,
    public val placement: PlacementSettings,
    public val contact: TokenGrantSettings
)

/** A controller: holds cells and rate shards, and serves operators. */
public class Controller(private val settings: ControllerSettings, vertx: Vertx) : Daemon {
    /** The parts that every process has. */
    public val core: NodeCore = NodeCore(settings.node, Role.CONTROLLER, vertx)

    private val isStopped = AtomicBoolean()
    private val cells = ConcurrentHashMap<String, CellKeeper>()
    private val runnerHttp = ConcurrentHashMap<HostPort, PlatformHttp>()
    private val buckets = BucketKeeper(settings.contact, core.clock)
    private val cellContext = CellContext(
        core.table(StorePurpose.CLAIM),
        core.clock,
        core.events,
        core.scope,
        CellMachine(settings.placement),
        ::controlOf
    )

    /** The cells held here, by name. */
    public val heldCells: Map<String, CellKeeper> get() = cells.toMap()

    /** Starts the controller. */
    public suspend fun start() {
        val holder = HolderService(::cellFor, buckets, settings.contact, core.clock)
        OperatorRoutes(core, this).install()
        core.sessions.listen(HeldShards())
        core.config.listen(::configured)
        core.start(RoleService.None, listOf(holder))
        core.timers.subscribe("router-registry", REGISTRY_MILLIS) { readRegistry() }
        core.timers.subscribe("stale-sessions", STALE_CHECK_MILLIS) { removeStale() }
        core.timers.subscribe("vm-list", VM_LIST_MILLIS) { readVms() }
    }

    override suspend fun stop() {
        if (!isStopped.compareAndSet(false, true)) return
        core.beginStop()
        core.stop()
        runnerHttp.values.forEach { it.close() }
    }

    private fun configured(config: FleetConfig) {
        buckets.configure(config)
        cells.values.forEach { it.configure(config) }
        core.sessions.want(Shards.allRates + config.cells.map(Shards::ofCell))
    }

    private fun cellFor(model: String): CellKeeper? =
        core.config.current.cellOf(model)?.let { cells[it] }

    private fun controlOf(runner: RunnerSpec): RunnerControl {
        val address = HostPort(runner.host, runner.port)
        return HttpRunnerControl(runnerHttp.computeIfAbsent(address, core::http))
    }

    private fun readRegistry() {
        val readAt = core.sessions.readAtMillis ?: return
        val routers = core.sessions.members
            .filter { it.role == Role.ROUTER && !it.isLeaving }
            .mapTo(mutableSetOf()) { it.session }
        buckets.registered(routers, readAt)
    }

    /** One controller clears away what processes that died have left. */
    private suspend fun removeStale() {
        if (CLEANER_SHARD in core.sessions.heldShards) core.sessions.removeStale(STALE_MILLIS)
    }

    private suspend fun readVms() {
        val leaving = core.vms.read()?.filter { it.leaving }?.mapTo(mutableSetOf()) { it.name }
        if (leaving.isNullOrEmpty()) return
        cells.values.forEach { it.leaving(leaving) }
    }

    private inner class HeldShards : ShardListener {
        override fun acquired(shard: String, fence: Long) {
            val cell = Shards.cellOf(shard) ?: return buckets.acquired(shard, fence)
            val keeper = CellKeeper(cell, fence, cellContext) { core.sessions.fenceOf(shard) }
            cells.put(cell, keeper)?.stop()
            keeper.start(core.config.current)
        }

        override fun lost(shard: String, fence: Long) {
            val cell = Shards.cellOf(shard) ?: return buckets.lost(shard)
            cells.remove(cell)?.stop()
        }
    }

    private companion object {
        const val REGISTRY_MILLIS = 1_000L
        const val STALE_CHECK_MILLIS = 30_000L
        const val STALE_MILLIS = 300_000L
        const val CLEANER_SHARD = "rates/0"
        const val VM_LIST_MILLIS = 1_000L
    }
}
