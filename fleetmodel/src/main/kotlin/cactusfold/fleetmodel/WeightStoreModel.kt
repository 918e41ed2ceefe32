package cactusfold.fleetmodel

/** Loads from the weight store: beyond [loadsAtOnce], all slow down together. */
internal class WeightStoreModel(private val queue: EventQueue, private val loadsAtOnce: Int) {
    private class Load(var leftMillis: Double, val done: () -> Unit)

    private val loads = mutableListOf<Load>()
    private var countedAtMillis = 0.0
    private var generation = 0

    /** Begins a load that takes [fullSpeedMillis] alone and calls [done] at its end. */
    fun load(fullSpeedMillis: Double, done: () -> Unit) {
        advance()
        loads += Load(fullSpeedMillis, done)
        schedule()
    }

    private val speed: Double
        get() = if (loads.isEmpty()) 1.0 else minOf(1.0, loadsAtOnce / loads.size.toDouble())

    private fun advance() {
        val passed = (queue.nowMillis - countedAtMillis) * speed
        loads.forEach { it.leftMillis -= passed }
        countedAtMillis = queue.nowMillis
    }

    private fun schedule() {
        val mine = ++generation
        val next = loads.minOfOrNull { it.leftMillis } ?: return
        queue.after(next / speed) {
            if (mine == generation) {
                advance()
                val (done, left) = loads.partition { it.leftMillis <= DONE_MILLIS }
                loads.clear()
                loads += left
                done.forEach { it.done() }
                schedule()
            }
        }
    }

    private companion object {
        /** Below what rounding leaves of a load that is done. */
        const val DONE_MILLIS = 1e-6
    }
}
