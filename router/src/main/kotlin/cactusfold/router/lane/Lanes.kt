package cactusfold.router.lane

import cactusfold.decisions.queue.QueueRefusal
import cactusfold.node.launch.NodeCore
import cactusfold.settings.fleet.FleetConfig
import cactusfold.settings.fleet.Route
import java.util.concurrent.ConcurrentHashMap

/** All lanes of a router: one for each model in use and one for each plain-service route. */
public class Lanes(
    private val core: NodeCore,
    private val dependencies: LaneDependencies,
    private val watchers: ModelWatchers
) {
    private val models = ConcurrentHashMap<String, Lane>()
    private val services = ConcurrentHashMap<String, Lane>()

    /** The lanes of the models in use. */
    public val modelLanes: Collection<Lane> get() = models.values

    /** Starts the timers that expire queued requests and remove unused lanes. */
    public fun start() {
        core.config.listen(::onConfigChanged)
        core.timers.subscribe("queue-expiry", EXPIRY_MILLIS) {
            (models.values + services.values).forEach {
                it.expire()
                it.dispatchWaiting()
            }
        }
        core.timers.subscribe("lane-cleanup", CLEANUP_MILLIS) { removeUnused() }
    }

    /** Returns the lane of [model], creating it if absent, and watches its placement. */
    public fun forModel(model: String): Lane {
        val lane = models.computeIfAbsent(model) { Lane(it, dependencies, watchers::reportIdle) }
        watchers.watch(lane)
        return lane
    }

    /** Returns the lane of the plain-service [route], creating it if absent. */
    public fun forService(route: Route): Lane = services.computeIfAbsent(route.name) {
        Lane(it, dependencies).also { lane ->
            lane.updateTargets(targetsOf(core.config.current, route))
        }
    }

    private fun onConfigChanged(config: FleetConfig) {
        for (route in config.routes) services[route.name]?.updateTargets(targetsOf(config, route))
        services.keys.filter { name -> config.routes.none { it.name == name } }
            .forEach { services.remove(it)?.refuseAll(QueueRefusal.CANCELLED) }
        models.keys.filter { it !in config.models }
            .forEach { models.remove(it)?.refuseAll(QueueRefusal.CANCELLED) }
    }

    private fun targetsOf(config: FleetConfig, route: Route): List<Target> =
        route.services.orEmpty().mapNotNull { config.services[it] }.map {
            Target(it.name, it.address, it.zone, it.slots)
        }

    private fun removeUnused() {
        val now = core.clock.nowMillis()
        models.values
            .filter { it.waiting + it.running == 0 && now - it.usedAtMillis > UNUSED_MILLIS }
            .forEach { models.remove(it.name, it) }
    }

    private companion object {
        const val EXPIRY_MILLIS = 20L
        const val CLEANUP_MILLIS = 5_000L
        const val UNUSED_MILLIS = 30_000L
    }
}
