package cactusfold.fleetmodel

/** Model of the weight store: more than [fullSpeedLoads] concurrent loads share its bandwidth. */
internal class WeightStoreModel(private val queue: EventQueue, private val fullSpeedLoads: Int) {
    private class Load(var leftMillis: Double, val onDone: () -> Unit)

    private val loads = mutableListOf<Load>()
    private var updatedAtMillis = 0.0
    private var generation = 0

    /** Starts a load that takes [fullSpeedMillis] at full speed; calls [onDone] at its end. */
    fun load(fullSpeedMillis: Double, onDone: () -> Unit) {
        advance()
        loads += Load(fullSpeedMillis, onDone)
        schedule()
    }

    private val speed: Double
        get() = if (loads.isEmpty()) 1.0 else minOf(1.0, fullSpeedLoads / loads.size.toDouble())

    private fun advance() {
        val passed = (queue.nowMillis - updatedAtMillis) * speed
        loads.forEach { it.leftMillis -= passed }
        updatedAtMillis = queue.nowMillis
    }

    private fun schedule() {
        val scheduledGeneration = ++generation
        val next = loads.minOfOrNull { it.leftMillis } ?: return
        queue.after(next / speed) {
            if (scheduledGeneration == generation) {
                advance()
                val (done, left) = loads.partition { it.leftMillis <= DONE_MILLIS }
                loads.clear()
                loads += left
                done.forEach { it.onDone() }
                schedule()
            }
        }
    }

    private companion object {
        /** Remaining time up to which a load is complete; exceeds accumulated rounding errors. */
        const val DONE_MILLIS = 1e-6
    }
}
