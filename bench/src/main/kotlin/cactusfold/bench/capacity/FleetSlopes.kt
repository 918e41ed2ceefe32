package cactusfold.bench.capacity

import cactusfold.bench.Meter
import cactusfold.bench.Point
import cactusfold.local.DemoConfig
import cactusfold.local.FleetOptions
import cactusfold.local.LocalFleet
import cactusfold.local.applyDocument
import cactusfold.router.callers.RequestReader
import cactusfold.standins.StandinOptions
import cactusfold.standins.runner.RunnerOptions
import kotlinx.coroutines.delay

/** Costs of an idle fleet of [nodes] nodes with a router and a controller each. */
public data class FleetCost(
    public val nodes: Int,
    public val readsPerSecond: Double,
    public val writesPerSecond: Double,
    public val storeBytesPerNodeSecond: Double,
    public val cpuPercent: Double
)

/** Costs of idle routers and controllers by fleet size, with platform stand-ins in one JVM. */
public object FleetSlopes {
    private val SIZES = listOf(2, 4, 8, 15)
    private const val NODES = 430.0
    private const val SETTLE_MILLIS = 8_000L
    private const val MEASURE_MILLIS = 10_000L
    private const val GIB = 1L shl 30
    private const val MILLIS_PER_SECOND = 1_000.0
    private const val PERCENT = 100.0

    /** Measures fleets of each size, after a warm-up with the largest one. */
    public suspend fun costs(): List<FleetCost> {
        measure(SIZES.last())
        return SIZES.map { measure(it) }
    }

    /** Returns the table rows of [costs]. */
    public fun slopes(costs: List<FleetCost>): List<Slope> = listOf(
        slope("store: reads a second of the whole fleet", "reads/s", costs) { it.readsPerSecond },
        slope("store: writes a second of the whole fleet", "writes/s", costs) {
            it.writesPerSecond
        },
        slope("store: bytes a second of one node", "bytes/s", costs) { it.storeBytesPerNodeSecond },
        slope(
            "control: processor time of all idle nodes, stand-ins included",
            "% of a core",
            costs
        ) {
            it.cpuPercent
        }
    )

    private fun slope(
        name: String,
        unit: String,
        costs: List<FleetCost>,
        value: (FleetCost) -> Double
    ): Slope = Slope(
        name,
        unit,
        "nodes",
        NODES,
        costs.map {
            Point(it.nodes.toDouble(), value(it))
        }
    )

    private suspend fun measure(nodes: Int): FleetCost {
        val runners = listOf(
            RunnerOptions("runner-1", 0, 40 * GIB),
            RunnerOptions(
                "runner-2",
                0,
                40 * GIB
            )
        )
        val fleet = LocalFleet(
            FleetOptions(
                nodes,
                nodes,
                StandinOptions(runners = runners, servicePorts = listOf(0))
            )
        )
        fleet.start()
        val ports = fleet.standins.runners.values.map { it.port }
        val digest = RequestReader.digestOf(DemoConfig.KEY)
        fleet.applyDocument(
            DemoConfig.document(ports, fleet.standins.services.first().port, digest)
        )
        delay(SETTLE_MILLIS)
        val table = fleet.standins.table
        val reads = table.reads.get()
        val writes = table.writes.get()
        val bytes = table.bytes.get()
        val cpu = Meter.processCpuNanos()
        val began = System.nanoTime()
        delay(MEASURE_MILLIS)
        val nanos = (System.nanoTime() - began).toDouble()
        val seconds = nanos / 1e9
        val cost = FleetCost(
            nodes,
            (table.reads.get() - reads) / seconds,
            (table.writes.get() - writes) / seconds,
            (table.bytes.get() - bytes) / seconds / nodes,
            (Meter.processCpuNanos() - cpu) / nanos * PERCENT
        )
        fleet.routers.forEach { it.core.halt() }
        fleet.controllers.forEach { it.core.halt() }
        fleet.standins.stop()
        return cost
    }
}
