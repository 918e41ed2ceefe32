package cactusfold.controller

import cactusfold.decisions.placement.PlacementSettings
import cactusfold.decisions.rate.TokenGrantSettings
import cactusfold.node.launch.Daemon
import cactusfold.node.launch.DaemonCommand
import cactusfold.node.launch.NodeSettings
import cactusfold.node.launch.nodeSections
import cactusfold.node.launch.runCommand
import cactusfold.settings.schema.Schema
import cactusfold.settings.schema.Settings
import cactusfold.settings.schema.schema
import io.vertx.core.Vertx
import picocli.CommandLine.Command

private const val DAY_MILLIS = 86_400_000L
private const val MAX_COUNT = 10_000L
private const val MAX_BYTES_PER_SECOND = 1L shl 40

/** The schema of the controller's settings. */
public val controllerSchema: Schema = schema("cactusfold-controller") {
    nodeSections()
    section("placement", "Loading and unloading of models.") {
        whole("max_remote_loads", "loads", 1L..MAX_COUNT, "Loads from the weight store at once.", 4)
        whole("max_adapter_loads", "loads", 1L..MAX_COUNT, "Adapter loads at once.", 32)
        whole(
            "disk_bytes_per_second",
            "bytes per second",
            1L..MAX_BYTES_PER_SECOND,
            "Speed of a load from a runner's disk.",
            2_000_000_000
        )
        whole(
            "remote_bytes_per_second",
            "bytes per second",
            1L..MAX_BYTES_PER_SECOND,
            "Speed of a load from the weight store.",
            500_000_000
        )
        millis("min_keep_alive_millis", 0L..DAY_MILLIS, "Least time an idle model stays.", 60_000)
        millis("max_keep_alive_millis", 0L..DAY_MILLIS, "Most time an idle model stays.", 3_600_000)
    }
    section("rates", "Fleet-wide rates.") {
        whole("router_slots", "routers", 1L..MAX_COUNT, "Routers that the fleet may have.", 16)
    }
}

/** Returns the settings of the controller from validated [settings]. */
public fun controllerSettings(settings: Settings): ControllerSettings {
    val placement = settings.section("placement")
    return ControllerSettings(
        NodeSettings.of(settings),
        PlacementSettings(
            maxRemoteLoads = placement.int("max_remote_loads"),
            maxAdapterLoads = placement.int("max_adapter_loads"),
            diskBytesPerSecond = placement.long("disk_bytes_per_second"),
            remoteBytesPerSecond = placement.long("remote_bytes_per_second"),
            minKeepAliveMillis = placement.long("min_keep_alive_millis"),
            maxKeepAliveMillis = placement.long("max_keep_alive_millis")
        ),
        TokenGrantSettings(routerSlots = settings.section("rates").int("router_slots"))
    )
}

/** Command line of the controller. */
@Command(
    name = "cactusfold-controller",
    description = ["Decides placement, rates and configuration; serves operators."]
)
public class ControllerCommand : DaemonCommand(controllerSchema) {
    override suspend fun launch(settings: Settings): Daemon {
        val controller = Controller(controllerSettings(settings), Vertx.vertx())
        controller.start()
        return controller
    }
}

/** Entry point of `bin/cactusfold-controller`. */
public fun main(args: Array<String>): Unit = runCommand(ControllerCommand(), args)
