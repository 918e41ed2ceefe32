package cactusfold.decisions.routing

import kotlin.math.pow

/** The weight of a figure that is [ageMillis] old, and whose weight halves in [halfLifeMillis]. */
internal fun freshness(ageMillis: Long, halfLifeMillis: Double): Double =
    0.5.pow(ageMillis.coerceAtLeast(0) / halfLifeMillis)

/**
 * The load that a runner stated in an answer.
 *
 * @property requests running and waiting requests, corrected by what this process has started and
 *   ended there since.
 * @property slowdown how many times longer than normal work takes there; 1 is normal.
 * @property ageMillis time since the answer.
 */
public data class StatedLoad(
    public val requests: Int,
    public val slowdown: Double,
    public val ageMillis: Long
)

/**
 * Requests of other VMs at a runner, as announced by the coordinator.
 *
 * @property tokens tokens that these requests may hold in the runner's memory.
 * @property ageMillis time since the coordinator was known to hold this figure.
 */
public data class OtherUse(
    public val requests: Int,
    public val tokens: Long,
    public val ageMillis: Long
)

/**
 * The [factor] by which work at a runner takes longer than at the others of its service, learned
 * [ageMillis] ago.
 */
public data class LearnedSpeed(public val factor: Double, public val ageMillis: Long)

/**
 * The state of a runner as known to one process.
 *
 * @property slots requests that the runner processes concurrently.
 * @property memoryTokens tokens that fit into the runner's memory; null if not known.
 * @property inFlight requests of this process at the runner, which hold [inFlightTokens] tokens.
 * @property silentMillis time for which the runner has sent nothing although it owes answers.
 * @property excludedUntilMillis until when the runner is not selected because of failures.
 */
public data class RunnerView(
    public val upstream: String,
    public val zone: String,
    public val slots: Int,
    public val memoryTokens: Long? = null,
    public val inFlight: Int = 0,
    public val inFlightTokens: Long = 0,
    public val stated: StatedLoad? = null,
    public val others: OtherUse? = null,
    public val speed: LearnedSpeed? = null,
    public val silentMillis: Long = 0,
    public val excludedUntilMillis: Long = Long.MIN_VALUE / 2
)

/**
 * What is assumed of a runner of which nothing is known, or nothing recent.
 *
 * @property otherRequests requests of other VMs.
 * @property speed factor by which work takes longer than at the others.
 * @property calibration factor by which work at all runners takes longer than estimated.
 */
public data class RunnerPrior(
    public val otherRequests: Double,
    public val speed: Double,
    public val calibration: Double
) {
    public companion object {
        /** The prior of an idle runner of the usual speed. */
        public val IDLE: RunnerPrior = RunnerPrior(0.0, 1.0, 1.0)

        /** The mean of what is known of [views], which belong to the same service. */
        public fun of(
            views: List<RunnerView>,
            calibration: SpeedCalibration = SpeedCalibration.START
        ): RunnerPrior {
            var requests = 0.0
            var weights = 0.0
            for (view in views) {
                val stated = view.stated ?: continue
                val weight = freshness(stated.ageMillis, ExpectedTimes.COUNT_HALF_LIFE_MILLIS)
                requests += weight * (stated.requests - view.inFlight).coerceAtLeast(0)
                weights += weight
            }
            val speeds = views.mapNotNull { it.speed?.factor }
            return RunnerPrior(
                // Without recent figures the mean fades as well.
                requests / weights.coerceAtLeast(1.0),
                if (speeds.isEmpty()) 1.0 else speeds.average(),
                calibration.factor
            )
        }
    }
}
