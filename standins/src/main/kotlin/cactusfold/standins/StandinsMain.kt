package cactusfold.standins

import cactusfold.node.launch.Daemon
import cactusfold.node.launch.DaemonCommand
import cactusfold.node.launch.runCommand
import cactusfold.settings.schema.Schema
import cactusfold.settings.schema.Settings
import cactusfold.settings.schema.ValueType
import cactusfold.settings.schema.schema
import cactusfold.standins.runner.RunnerOptions
import io.vertx.core.Vertx
import picocli.CommandLine.Command

private const val MAX_PORT = 65_535L
private const val MAX_MILLIS = 3_600_000L
private const val MAX_BYTES = 1L shl 50
private const val MAX_SLOTS = 4_096L

/** Settings schema of the stand-ins process. */
public val standinsSchema: Schema = schema("cactusfold-standins") {
    section("platform", "Table service, object store, list of VMs and weight store.") {
        whole("table_port", "port numbers", 1L..MAX_PORT, "Port of the table service.", 7_100)
        whole("objects_port", "port numbers", 1L..MAX_PORT, "Port of the object store.", 7_101)
        whole("vms_port", "port numbers", 1L..MAX_PORT, "Port of the list of VMs.", 7_102)
        whole("faults_port", "port numbers", 1L..MAX_PORT, "Port of the fault switches.", 7_103)
        millis("vm_lag_millis", 0L..MAX_MILLIS, "How late the list of VMs is.", 1_000)
        key(
            "loads_per_second",
            ValueType.Decimal("loads per second"),
            "Loads that the weight store begins a second.",
            "4"
        )
        whole("full_speed_loads", "loads", 1L..MAX_SLOTS, "Loads at full speed.", 4)
        whole(
            "remote_bytes_per_second",
            "bytes per second",
            1L..MAX_BYTES,
            "Speed of the weight store.",
            2_000_000_000
        )
    }
    namedSection("runner", "A model engine.") {
        whole("port", "port numbers", 1L..MAX_PORT, "Its port.")
        whole("memory_bytes", "bytes", 1L..MAX_BYTES, "Its accelerator memory.")
        whole("slots", "requests", 1L..MAX_SLOTS, "Requests that it batches.", 8)
        flag("checks_fence", "Whether it refuses orders with an old fence.", false)
        key("on_disk", ValueType.Names, "Models on its disk.", "")
        millis("token_millis", 0L..MAX_MILLIS, "Time between two tokens.", 5)
        millis("report_lag_millis", 0L..MAX_MILLIS, "How old its reported load is.", 200)
    }
    namedSection("service", "A plain service.") {
        whole("port", "port numbers", 1L..MAX_PORT, "Its port.")
    }
    section("log", "Logging, to standard error.") {
        key("format", ValueType.OneOf(setOf("plain", "json")), "Form of the lines.", "plain")
        key(
            "level",
            ValueType.OneOf(setOf("error", "warn", "info", "debug")),
            "Lowest level that is written.",
            "info"
        )
    }
}

/** Converts validated [settings] to [StandinOptions]. */
public fun standinOptions(settings: Settings): StandinOptions {
    val platform = settings.section("platform")
    return StandinOptions(
        platform.int("table_port"),
        platform.int("objects_port"),
        platform.int("vms_port"),
        platform.long("vm_lag_millis"),
        platform.double("loads_per_second"),
        platform.int("full_speed_loads"),
        platform.long("remote_bytes_per_second"),
        settings.names("runner").map { runnerOptions(settings, it) },
        settings.names("service").map { settings.section("service $it").int("port") }
    )
}

private fun runnerOptions(settings: Settings, name: String): RunnerOptions {
    val runner = settings.section("runner $name")
    return RunnerOptions(
        name,
        runner.int("port"),
        runner.long("memory_bytes"),
        runner.int("slots"),
        runner.flag("checks_fence"),
        runner.names("on_disk").toSet(),
        tokenMillis = runner.long("token_millis"),
        reportLagMillis = runner.long("report_lag_millis")
    )
}

/** Command that runs a [StandinFleet] with its fault injection interface. */
@Command(
    name = "cactusfold-standins",
    description = ["Simulates platform, weight store, runners and plain services for tests."]
)
public class StandinsCommand : DaemonCommand(standinsSchema) {
    override suspend fun launch(settings: Settings): Daemon {
        val vertx = Vertx.vertx()
        val fleet = StandinFleet(vertx, standinOptions(settings))
        fleet.start()
        val faults = FaultServer(vertx, settings.section("platform").int("faults_port"), fleet)
        faults.start()
        return object : Daemon {
            override suspend fun stop() {
                faults.stop()
                fleet.stop()
            }
        }
    }
}

/** Entry point of `bin/cactusfold-standins`. */
public fun main(args: Array<String>): Unit = runCommand(StandinsCommand(), args)
