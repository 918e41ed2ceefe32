package cactusfold.standins

import cactusfold.standins.platform.ObjectStoreStandin
import cactusfold.standins.platform.TableStandin
import cactusfold.standins.platform.VmListStandin
import cactusfold.standins.platform.WeightStoreStandin
import cactusfold.standins.runner.RunnerOptions
import cactusfold.standins.runner.RunnerStandin
import cactusfold.standins.service.ServiceStandin
import io.vertx.core.Vertx

/** Ports and capacities of a [StandinFleet]; port 0 binds any free port. */
public data class StandinOptions(
    public val tablePort: Int = 0,
    public val objectsPort: Int = 0,
    public val vmsPort: Int = 0,
    public val vmLagMillis: Long = 1_000,
    public val loadsPerSecond: Double = 4.0,
    public val fullSpeedLoads: Int = 4,
    public val remoteBytesPerSecond: Long = 2_000_000_000,
    public val runners: List<RunnerOptions> = emptyList(),
    public val servicePorts: List<Int> = emptyList()
)

/** Fakes of the platform, weight store, runners and plain services, all on loopback. */
public class StandinFleet(vertx: Vertx, options: StandinOptions) {
    /** The table service. */
    public val table: TableStandin = TableStandin(vertx, options.tablePort)

    /** The object store. */
    public val objectStore: ObjectStoreStandin = ObjectStoreStandin(vertx, options.objectsPort)

    /** The platform's VM list. */
    public val vmList: VmListStandin = VmListStandin(vertx, options.vmsPort, options.vmLagMillis)

    /** The weight store. */
    public val weightStore: WeightStoreStandin =
        WeightStoreStandin(
            options.loadsPerSecond,
            options.fullSpeedLoads,
            options.remoteBytesPerSecond
        )

    /** The runners, by name. */
    public val runners: Map<String, RunnerStandin> =
        options.runners.associate { it.name to RunnerStandin(vertx, it, weightStore) }

    /** The plain services. */
    public val services: List<ServiceStandin> =
        options.servicePorts.map { ServiceStandin(vertx, it) }

    /** Starts all stand-ins. */
    public suspend fun start() {
        table.start()
        objectStore.start()
        vmList.start()
        runners.values.forEach { it.start() }
        services.forEach { it.start() }
    }

    /** Stops all stand-ins. */
    public suspend fun stop() {
        services.forEach { it.stop() }
        runners.values.forEach { it.stop() }
        vmList.stop()
        objectStore.stop()
        table.stop()
    }
}
