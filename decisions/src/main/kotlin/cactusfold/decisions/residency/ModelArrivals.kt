package cactusfold.decisions.residency

/** Counts requests for models, lately and over a longer time. */
public class ModelArrivals {
    private val recent = DecayingRates(RECENT_MILLIS)
    private val longTerm = DecayingRates(LONG_TERM_MILLIS)

    /** Adds [count] requests for [model]. */
    public fun arrived(model: String, count: Int, nowMillis: Long) {
        recent.add(model, count, nowMillis)
        longTerm.add(model, count, nowMillis)
    }

    /** Returns requests a second lately, by model. */
    public fun recentPerSecond(nowMillis: Long): Map<String, Double> = recent.perSecond(nowMillis)

    /** Returns requests a second over a longer time, by model. */
    public fun longTermPerSecond(nowMillis: Long): Map<String, Double> =
        longTerm.perSecond(nowMillis)

    private companion object {
        /** Time over which arrivals are smoothed: shorter than demand takes to move on. */
        const val RECENT_MILLIS = 5_000.0

        /** Time over which demand that has fallen silent counts as likely to come back. */
        const val LONG_TERM_MILLIS = 60_000.0
    }
}
