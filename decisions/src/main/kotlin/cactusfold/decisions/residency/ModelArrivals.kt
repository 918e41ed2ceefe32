package cactusfold.decisions.residency

/** Arrival rates of requests by model, over a short and a long time. */
public class ModelArrivals {
    private val recent = DecayingRates(RECENT_MILLIS)
    private val longTerm = DecayingRates(LONG_TERM_MILLIS)
    private val longTermByPriority = HashMap<Int, DecayingRates>()

    /** Adds [count] requests for [model]. */
    public fun arrived(model: String, count: Int, nowMillis: Long) {
        recent.add(model, count, nowMillis)
        longTerm.add(model, count, nowMillis)
    }

    /** Adds the [priority] of [count] requests that [arrived]. */
    public fun arrivedAt(priority: Int, model: String, count: Int, nowMillis: Long) {
        longTermByPriority.getOrPut(priority) { DecayingRates(LONG_TERM_MILLIS) }
            .add(model, count, nowMillis)
    }

    /** Returns the recent requests per second by model. */
    public fun recentPerSecond(nowMillis: Long): Map<String, Double> = recent.perSecond(nowMillis)

    /** Returns the long-term requests per second by model. */
    public fun longTermPerSecond(nowMillis: Long): Map<String, Double> =
        longTerm.perSecond(nowMillis)

    /** Returns the long-term requests per second by model and priority. */
    public fun longTermByPriority(nowMillis: Long): Map<String, Map<Int, Double>> {
        val byModel = HashMap<String, MutableMap<Int, Double>>()
        for ((priority, rates) in longTermByPriority) {
            for ((model, perSecond) in rates.perSecond(nowMillis)) {
                byModel.getOrPut(model) { HashMap() }[priority] = perSecond
            }
        }
        return byModel
    }

    private companion object {
        /** Time constant of the recent rate: shorter than demand takes to shift to other models. */
        const val RECENT_MILLIS = 5_000.0

        /**
         * Time constant of the long-term rate: how long demand that stopped is expected to return.
         */
        const val LONG_TERM_MILLIS = 60_000.0
    }
}
