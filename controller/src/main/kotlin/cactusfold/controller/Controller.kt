package cactusfold.controller

import cactusfold.controller.cell.CellDependencies
import cactusfold.controller.cell.CellManager
import cactusfold.controller.operators.OperatorRoutes
import cactusfold.controller.rate.BucketManager
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
    public val tokenGrants: TokenGrantSettings
)

/**
 * A controller: decides the placement of models in the cells that it holds, grants tokens from the
 * rate shards that it holds, and serves operators.
 */
public class Controller(private val settings: ControllerSettings, vertx: Vertx) : Daemon {
    /** The components that a controller shares with routers. */
    public val core: NodeCore = NodeCore(settings.node, Role.CONTROLLER, vertx)

    private val isStopped = AtomicBoolean()
    private val cells = ConcurrentHashMap<String, CellManager>()
    private val runnerHttp = ConcurrentHashMap<HostPort, PlatformHttp>()
    private val buckets = BucketManager(settings.tokenGrants, core.clock)
    private val cellDependencies = CellDependencies(
        core.table(StorePurpose.CLAIM),
        core.clock,
        core.events,
        core.scope,
        CellMachine(settings.placement),
        ::controlOf
    )

    /** The cells that this process holds, by name. */
    public val heldCells: Map<String, CellManager> get() = cells.toMap()

    public suspend fun start() {
        val holder = HolderService(::cellFor, buckets, settings.tokenGrants, core.clock)
        OperatorRoutes(core, this).install()
        core.sessions.listen(HeldShardsListener())
        core.config.listen(::applyConfig)
        core.start(RoleService.None, listOf(holder))
        core.timers.subscribe("router-registry", REGISTRY_PERIOD_MILLIS) { updateRouterRegistry() }
        core.timers.subscribe("stale-sessions", STALE_CHECK_PERIOD_MILLIS) { removeStale() }
        core.timers.subscribe("vm-list", VM_LIST_PERIOD_MILLIS) { readVms() }
    }

    override suspend fun stop() {
        if (!isStopped.compareAndSet(false, true)) return
        core.beginStop()
        core.stop()
        runnerHttp.values.forEach { it.close() }
    }

    private fun applyConfig(config: FleetConfig) {
        buckets.configure(config)
        cells.values.forEach { it.configure(config) }
        core.sessions.setWantedShards(Shards.allRateShards + config.cells.map(Shards::ofCell))
    }

    private fun cellFor(model: String): CellManager? =
        core.config.current.cellOf(model)?.let { cells[it] }

    private fun controlOf(runner: RunnerSpec): RunnerControl {
        val address = HostPort(runner.host, runner.port)
        return HttpRunnerControl(runnerHttp.computeIfAbsent(address, core::http))
    }

    private fun updateRouterRegistry() {
        val readAt = core.sessions.readAtMillis ?: return
        val routers = core.sessions.members
            .filter { it.role == Role.ROUTER && !it.isLeaving }
            .mapTo(mutableSetOf()) { it.session }
        buckets.updateRouters(routers, readAt)
    }

    /** Only the holder of [CLEANUP_SHARD] removes the session rows of processes that crashed. */
    private suspend fun removeStale() {
        if (CLEANUP_SHARD in core.sessions.heldShards) core.sessions.removeStale(STALE_AGE_MILLIS)
    }

    private suspend fun readVms() {
        val leaving = core.vms.read()?.filter { it.leaving }?.mapTo(mutableSetOf()) { it.name }
        if (leaving.isNullOrEmpty()) return
        cells.values.forEach { it.markLeaving(leaving) }
    }

    private inner class HeldShardsListener : ShardListener {
        override fun onShardAcquired(shard: String, fence: Long) {
            val cell = Shards.cellOf(shard) ?: return buckets.onShardAcquired(shard, fence)
            val manager = CellManager(cell, fence, cellDependencies) {
                core.sessions.fenceOf(shard)
            }
            cells.put(cell, manager)?.stop()
            manager.start(core.config.current)
        }

        override fun onShardLost(shard: String, fence: Long) {
            val cell = Shards.cellOf(shard) ?: return buckets.onShardLost(shard)
            cells.remove(cell)?.stop()
        }
    }

    private companion object {
        const val REGISTRY_PERIOD_MILLIS = 1_000L
        const val STALE_CHECK_PERIOD_MILLIS = 30_000L
        const val STALE_AGE_MILLIS = 300_000L
        const val CLEANUP_SHARD = "rates/0"
        const val VM_LIST_PERIOD_MILLIS = 1_000L
    }
}
