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
 * Size and times of a fleet in one JVM.
 *
 * @property settings added to each process's settings, as INI text.
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

/** Stand-ins, routers and controllers in one JVM on loopback. */
public class LocalFleet(private val options: FleetOptions) {
    private val vertx = Vertx.vertx()

    /** What plays the platform, the runners and the services. */
    public val standins: StandinFleet = StandinFleet(vertx, options.standins)

    private val routerList = mutableListOf<Router>()
    private val controllerList = mutableListOf<Controller>()
    private var startedNodes = 0

    /** The routers, in order of their start. */
    public val routers: List<Router> get() = routerList.toList()

    /** The controllers, in order of their start. */
    public val controllers: List<Controller> get() = controllerList.toList()

    /** Starts stand-ins, controllers and routers. */
    public suspend fun start() {
        standins.start()
        repeat(options.controllers) { addController() }
        repeat(options.routers) { addRouter(if (it == 0) options.callerPort else 0) }
    }

    /** Starts one more controller. */
    public suspend fun addController(): Controller {
        val text = nodeSections("controller-${++startedNodes}") + options.extraSections
        val controller =
            Controller(controllerSettings(parseSettings(controllerSchema, text)), vertx)
        controller.start()
        controllerList += controller
        return controller
    }

    /** Starts one more router, on [callerPort] or any free port; it may ask [peers] in an outage. */
    public suspend fun addRouter(callerPort: Int = 0, peers: List<HostPort> = emptyList()): Router {
        val port = if (callerPort == 0) freePort() else callerPort
        val callers = "[callers]\naddress = 127.0.0.1:$port\n"
        val text = nodeSections("router-${++startedNodes}", peers) + callers
        val router = Router(routerSettings(parseSettings(routerSchema, text)), vertx)
        router.start()
        routerList += router
        return router
    }

    /** Stops all, requests first. */
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
