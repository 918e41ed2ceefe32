package cactusfold.decisions.residency

/** Counts requests for models, lately and over a longer time. */
public class ModelArrivals {
    private val lately = DecayingCounts(LATELY_MILLIS)
    private val habitually = DecayingCounts(HABIT_MILLIS)

    /** Adds [count] requests for [model]. */
    public fun arrived(model: String, count: Int, nowMillis: Long) {
        lately.add(model, count, nowMillis)
        habitually.add(model, count, nowMillis)
    }

    /** Returns requests a second lately, by model. */
    public fun latelyPerSecond(nowMillis: Long): Map<String, Double> = lately.perSecond(nowMillis)

    /** Returns requests a second over a longer time, by model. */
    public fun habituallyPerSecond(nowMillis: Long): Map<String, Double> =
        habitually.perSecond(nowMillis)

    private companion object {
        /** Time over which arrivals are smoothed: shorter than demand takes to move on. */
        const val LATELY_MILLIS = 5_000.0

        /** Time over which demand that has fallen silent counts as likely to come back. */
        const val HABIT_MILLIS = 60_000.0
    }
}
