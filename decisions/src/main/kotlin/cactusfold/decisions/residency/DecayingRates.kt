package cactusfold.decisions.residency

import kotlin.math.exp

/**
 * Event rates by name, smoothed by exponential decay.
 *
 * @param timeConstantMillis time in which an event's weight falls to 1/e.
 */
public class DecayingRates(private val timeConstantMillis: Double) {
    private val rates = HashMap<String, Double>()
    private var decayedAtMillis = 0L

    /** Adds [count] events of [name]. */
    public fun add(name: String, count: Int, nowMillis: Long) {
        applyDecay(nowMillis)
        rates.merge(name, count * MILLIS_PER_SECOND / timeConstantMillis, Double::plus)
    }

    /** Returns the events per second by name. */
    public fun perSecond(nowMillis: Long): Map<String, Double> {
        applyDecay(nowMillis)
        return rates.toMap()
    }

    private fun applyDecay(nowMillis: Long) {
        val factor = exp(-(nowMillis - decayedAtMillis) / timeConstantMillis)
        decayedAtMillis = nowMillis
        rates.entries.forEach { it.setValue(it.value * factor) }
        rates.values.removeIf { it < NEGLIGIBLE_PER_SECOND }
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
        const val NEGLIGIBLE_PER_SECOND = 0.0005
    }
}
