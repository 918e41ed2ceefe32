package cactusfold.local

import cactusfold.controller.Controller
import cactusfold.controller.controllerSchema
import cactusfold.controller.controllerSettings
import cactusfold.router.Router
import cactusfold.router.routerSchema
import cactusfold.router.routerSettings
import cactusfold.settings.schema.HostPort
import cactusfold.settings.schema.Schema
import cactusfold.settings.schema.Settings
import cactusfold.settings.schema.SettingsResult
import cactusfold.settings.schema.readSettings
import cactusfold.standins.StandinFleet
import cactusfold.standins.StandinOptions
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket

/**
 * Size and settings of a [LocalFleet].
 *
 * @property callerPort port of the first router; 0 picks a free port, as for all other routers.
 * @property leaseSection INI text appended to the settings of every router and controller.
 * @property extraSections INI text appended to the settings of every controller.
 */
public data class FleetOptions(
    public val routers: Int = 1,
    public val controllers: Int = 1,
    public val standins: StandinOptions = StandinOptions(),
    public val zones: Int = 1,
    public val callerPort: Int = 0,
    public val leaseSection: String = "",
    public val extraSections: String = ""
)

/** A fleet of stand-ins, routers and controllers in one JVM on loopback. */
public class LocalFleet(private val options: FleetOptions) {
    private val vertx = Vertx.vertx()

    /** Fakes of the platform, runners and plain services. */
    public val standins: StandinFleet = StandinFleet(vertx, options.standins)

    private val routerList = mutableListOf<Router>()
    private val controllerList = mutableListOf<Controller>()
    private var startedNodes = 0

    /** The routers, in start order. */
    public val routers: List<Router> get() = routerList.toList()

    /** The controllers, in start order. */
    public val controllers: List<Controller> get() = controllerList.toList()

    /** Starts stand-ins, controllers and routers. */
    public suspend fun start() {
        standins.start()
        repeat(options.controllers) { addController() }
        repeat(options.routers) { addRouter(if (it == 0) options.callerPort else 0) }
    }

    /** Starts an additional controller. */
    public suspend fun addController(): Controller {
        val text = nodeSections("controller-${++startedNodes}") + options.extraSections
        val controller =
            Controller(controllerSettings(parseSettings(controllerSchema, text)), vertx)
        controller.start()
        controllerList += controller
        return controller
    }

    /**
     * Starts an additional router on [callerPort], or on a free port if 0. It can fetch the
     * configuration from [peers] during a store outage.
     */
    public suspend fun addRouter(callerPort: Int = 0, peers: List<HostPort> = emptyList()): Router {
        val port = if (callerPort == 0) freePort() else callerPort
        val callers = "[callers]\naddress = 127.0.0.1:$port\n"
        val text = nodeSections("router-${++startedNodes}", peers) + callers
        val router = Router(routerSettings(parseSettings(routerSchema, text)), vertx)
        router.start()
        routerList += router
        return router
    }

    /** Stops the routers first, so that their requests can complete, then everything else. */
    public suspend fun stop() {
        routerList.forEach { it.stop() }
        controllerList.forEach { it.stop() }
        standins.stop()
        vertx.close().coAwait()
    }

    private fun nodeSections(name: String, peers: List<HostPort> = emptyList()): String = """
        |[node]
        |name = $name
        |vm = vm-$startedNodes
        |zone = zone-${startedNodes % options.zones}
        |address = 127.0.0.1:${freePort()}
        |admin_address = 127.0.0.1:${freePort()}
        |peers = ${peers.joinToString()}
        |[platform]
        |table_address = 127.0.0.1:${standins.table.port}
        |objects_address = 127.0.0.1:${standins.objectStore.port}
        |vms_address = 127.0.0.1:${standins.vmList.port}
        |
    """.trimMargin() + options.leaseSection

    private fun parseSettings(schema: Schema, text: String): Settings =
        when (val result = readSettings(schema, text)) {
            is SettingsResult.Valid -> result.settings
            is SettingsResult.Invalid ->
                throw IOException(result.problems.joinToString { it.describe("local settings") })
        }

    private companion object {
        fun freePort(): Int =
            ServerSocket(0, 1, InetAddress.getByName("127.0.0.1")).use { it.localPort }
    }
}
