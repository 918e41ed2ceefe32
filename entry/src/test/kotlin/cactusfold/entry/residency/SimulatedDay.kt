package cactusfold.entry.residency

import cactusfold.ports.serving.UpstreamEntry
import cactusfold.protocol.entry.RunnerUse
import kotlin.random.Random

/** A day of a simulated fleet whose callers and faults [random] draws. */
class SimulatedDay(private val random: Random) {
    val fleet = SimulatedFleet(
        adapterSlots = random.nextInt(2, 9),
        modelMegabytes = if (random.nextBoolean()) 65_100.0 else 66_600.0
    )
    private val coordinators = listOf("vm1", "vm2").map { fleet.coordinator(it) }
    private var leading = 0
    private var fence = 1L
    private val lossShare = random.nextDouble(MAX_LOSS_SHARE)
    private val lateShare = random.nextDouble(MAX_LOSS_SHARE)
    private val oldRows = HashMap<String, ArrayDeque<UpstreamEntry>>()
    private val inUse = HashMap<Triple<String, String, String?>, Long>()

    init {
        fleet.runner("i-1", "m1", "m2", "m3")
        fleet.runner("i-2", "m4", "m5")
        fleet.runner("i-3", "m6")
        val lagMillis = random.nextLong(100, 800)
        fleet.runners.forEach { runner ->
            runner.adapterMillis = listOf(19L, 100L, 300L, 1_500L).random(random)
            runner.loadMillis = random.nextLong(300, 4_000)
            runner.drainMillis = random.nextLong(0, 2_000)
            runner.reportLagMillis = { random.nextLong(lagMillis + 1) }
            runner.checksCountFirst = random.nextBoolean()
            runner.isInUse = { (model, adapter) ->
                (inUse[Triple(runner.id, model, adapter)] ?: 0) > fleet.nowMillis
            }
        }
        coordinators.forEach { coordinator ->
            coordinator.orders.faultOf = { drawFault() }
            coordinator.orders.isReportLost = { random.nextDouble() < lossShare / 4 }
        }
    }

    private fun drawFault(): OrderFault {
        val drawn = random.nextDouble()
        return when {
            drawn < lossShare / 3 -> OrderFault.Lost
            drawn < lossShare * 2 / 3 -> OrderFault.ReplyLost
            drawn < lossShare -> OrderFault.Refused
            drawn < lossShare + lateShare -> OrderFault.Late(random.nextLong(2_000, 12_000))
            else -> OrderFault.None
        }
    }

    fun play() {
        coordinators.forEach { it.read() }
        coordinators[0].start(fence)
        repeat(TURNS) {
            coordinators[leading].run(random.nextLong(200, 12_000), ::step)
            if (random.nextInt(3) > 0) takeOver()
        }
        fleet.close()
    }

    private fun takeOver() {
        coordinators[leading].stop()
        if (random.nextInt(4) > 0) leading = 1 - leading
        coordinators[leading].start(++fence)
    }

    private fun step() {
        if (chance(0.15)) want()
        if (chance(0.02)) fleet.wantNothing()
        if (chance(0.10)) writeRow()
        if (chance(0.004)) lapse()
        if (chance(0.001)) restart()
        reportUses()
    }

    private fun chance(share: Double): Boolean = random.nextDouble() < share

    private fun want() {
        val model = "m${random.nextInt(1, 10)}"
        val adapter = if (random.nextBoolean()) "a${random.nextInt(1, 13)}" else null
        fleet.want(model, adapter, random.nextInt(1, 4))
        val runner = fleet.runners.firstOrNull { it.serves(model, adapter) } ?: return
        inUse[Triple(runner.id, model, adapter)] = fleet.nowMillis + random.nextLong(100, 2_000)
    }

    /** Has a process read the row of a runner, as it is or as it was up to some writes ago. */
    private fun writeRow() {
        val runner = fleet.runners.random(random)
        if (runner.isDown) return
        val written = oldRows.getOrPut(runner.id) { ArrayDeque() }
        if (written.lastOrNull()?.startedAtEpochMillis != runner.startedAtEpochMillis) {
            written.clear()
        }
        written += runner.entry()
        if (written.size > OLD_ROWS) written.removeFirst()
        val row = if (random.nextInt(3) == 0) written.random(random) else written.last()
        coordinators.filter { random.nextInt(4) > 0 }.forEach { it.read(listOf(row)) }
    }

    private fun lapse() {
        val runner = fleet.runners.random(random)
        coordinators.forEach { it.lapse(runner.id) }
        if (!runner.isDown) coordinators.forEach { it.read(listOf(runner.entry())) }
    }

    private fun restart() {
        fleet.runners.random(random).restart(random.nextLong(200, 2_000))
    }

    /** Reports most of the requests in flight: members are heard late, or not yet. */
    private fun reportUses() {
        inUse.values.removeIf { it <= fleet.nowMillis }
        fleet.uses = inUse.keys.filter { random.nextInt(4) > 0 }.map { (runner, model, adapter) ->
            RunnerUse.newBuilder().setRunner(runner).setModel(model)
                .setAdapter(adapter.orEmpty()).setInFlight(1).build()
        }
    }

    private companion object {
        const val MAX_LOSS_SHARE = 0.4
        const val TURNS = 8
        const val OLD_ROWS = 6
    }
}
