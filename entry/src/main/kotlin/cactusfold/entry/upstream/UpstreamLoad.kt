package cactusfold.entry.upstream

import cactusfold.decisions.routing.ExpectedTimes
import cactusfold.decisions.routing.LearnedSpeed
import cactusfold.decisions.routing.SpeedLearning
import cactusfold.decisions.routing.StatedLoad
import cactusfold.ports.serving.ReportedLoad
import kotlin.math.pow
import kotlin.math.roundToInt

/** Load and speed of one start of an upstream, as counted and learned by this process. */
public class UpstreamLoad {
    private class Stated(val load: ReportedLoad, val atMillis: Long, val inFlight: Int)

    private val tokensByUse = HashMap<ModelUse, Long>()
    private var stated: Stated? = null
    private var speedFactor: Double? = null
    private var speedLearnedAtMillis = 0L

    /** Number of requests that this process has in flight at the upstream. */
    public var inFlight: Int = 0
        private set

    /** Tokens that these requests may hold in the upstream's memory. */
    public var inFlightTokens: Long = 0
        private set

    /** [inFlight] as of the last report to the coordinator. */
    public var reportedInFlight: Int = 0
        private set

    /** [inFlightTokens] as of the last report to the coordinator. */
    public var reportedTokens: Long = 0
        private set

    /** Returns the tokens of the in-flight requests with [use]. */
    public fun tokensOf(use: ModelUse): Long = tokensByUse[use] ?: 0

    internal fun requestStarted(use: ModelUse?, tokens: Long) {
        inFlight++
        inFlightTokens += tokens
        if (use != null && tokens > 0) tokensByUse.merge(use, tokens, Long::plus)
    }

    internal fun requestEnded(use: ModelUse?, tokens: Long) {
        inFlight--
        inFlightTokens -= tokens
        if (use == null) return
        val left = tokensOf(use) - tokens
        if (left > 0) tokensByUse[use] = left else tokensByUse.remove(use)
    }

    /** Records that the present counts were put into a report to the coordinator. */
    public fun recordReported() {
        reportedInFlight = inFlight
        reportedTokens = inFlightTokens
    }

    /** Records the load that an answer stated. */
    public fun recordStated(load: ReportedLoad, nowMillis: Long) {
        stated = Stated(load, nowMillis, inFlight)
    }

    /** Learns from a request that took [ratio] times as long as expected at factor [speed]. */
    public fun learn(speed: Double, ratio: Double, nowMillis: Long) {
        speedFactor = SpeedLearning.learned(speedFactor ?: speed, ratio)
        speedLearnedAtMillis = nowMillis
    }

    /** Returns the learned speed, or null before anything was observed. */
    public fun speed(nowMillis: Long): LearnedSpeed? =
        speedFactor?.let { LearnedSpeed(it, nowMillis - speedLearnedAtMillis) }

    /** Returns the stated load, corrected by this process's own changes since, or null. */
    public fun stated(nowMillis: Long): StatedLoad? = stated?.let {
        StatedLoad(
            (it.load.running + it.load.waiting + inFlight - it.inFlight).coerceAtLeast(0),
            (it.load.slowdownPercent ?: NORMAL_PERCENT) / NORMAL_PERCENT,
            nowMillis - it.atMillis
        )
    }

    /** Returns the stated running requests; an old figure fades. */
    public fun running(nowMillis: Long): Int = faded(nowMillis) { it.running }

    /** Returns the stated waiting requests; an old figure fades. */
    public fun waiting(nowMillis: Long): Int = faded(nowMillis) { it.waiting }

    private fun faded(nowMillis: Long, figure: (ReportedLoad) -> Int): Int {
        val last = stated ?: return 0
        val ageMillis = (nowMillis - last.atMillis).coerceAtLeast(0)
        val weight = 0.5.pow(ageMillis / ExpectedTimes.COUNT_HALF_LIFE_MILLIS)
        return (figure(last.load) * weight).roundToInt()
    }

    private companion object {
        const val NORMAL_PERCENT = 100.0
    }
}
