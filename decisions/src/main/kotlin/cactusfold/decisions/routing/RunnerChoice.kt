package cactusfold.decisions.routing

/** Why a runner was chosen; the label is for logs and metrics. */
public enum class ChoiceReason(public val label: String) {
    /** No other runner was available. */
    ONLY("only"),

    /** It is expected to be the fastest since it probably has the prompt's prefix cached. */
    PREFIX("prefix"),

    /** It is expected to be the fastest of those that were compared. */
    FASTEST("fastest")
}

/** The runner to which a request is sent. */
public data class ChosenRunner(public val upstream: String, public val reason: ChoiceReason)

/**
 * The circumstances of a choice.
 *
 * @property zone availability zone of the process that chooses.
 * @property vmCount VMs that choose among the same runners, this one included.
 * @property calibration learned for the service of the runners.
 */
public data class ChoiceContext(
    public val zone: String,
    public val vmCount: Int,
    public val nowMillis: Long,
    public val calibration: SpeedCalibration = SpeedCalibration.START
)

/**
 * Chooses the runner of a model engine for a request: the one at which it is expected to cost the
 * least time, out of a random sample. Processes that all took the best of all runners by the same
 * figures would send their requests to the same one until the figures change. Thus the sample is
 * smaller, the more requests of other VMs may have started since.
 */
public class RunnerChoice(private val times: ExpectedTimes) {
    /**
     * Returns one of [views], or null if all of them are excluded or full.
     *
     * @param random returns a uniformly distributed integer from 0 until its argument.
     */
    public fun choose(
        views: List<RunnerView>,
        work: RequestWork,
        cached: CachedPrefixes,
        context: ChoiceContext,
        random: (Int) -> Int
    ): ChosenRunner? {
        val open = views.filter {
            it.excludedUntilMillis <= context.nowMillis && it.inFlight < it.slots
        }
        if (open.isEmpty()) return null
        val prior = RunnerPrior.of(open, context.calibration)
        val all = open.map { view ->
            val tokens = cached.tokensAt(view.upstream)
            val time = times.estimate(view, work, tokens, context.zone, prior)
            Candidate(view.upstream, time, tokens)
        }
        if (all.size == 1) return ChosenRunner(all[0].upstream, ChoiceReason.ONLY)
        val ready = all.filter { it.time.waitMillis <= 0 }.ifEmpty { all }
        val size = sampleSize(context.vmCount, ready.size, meanAgeMillis(open))
        val holders = ready.filter { it.upstream in cached.holders }
        val sample = sample(ready, size, random).toMutableList()
        // Where most runners are holders, the sample contains some.
        if (holders.size * 2 <= ready.size) sample += sample(holders, HOLDERS_SAMPLED, random)
        val best = sample.minBy { it.time.cost }
        val isPrefix = best.upstream in cached.holders &&
            sample.any {
                it.cachedTokens < best.cachedTokens
            }
        return ChosenRunner(
            best.upstream,
            if (isPrefix) ChoiceReason.PREFIX else ChoiceReason.FASTEST
        )
    }

    private class Candidate(val upstream: String, val time: ExpectedTime, val cachedTokens: Double)

    /**
     * Draws with replacement: else all processes would send to the same of two runners, and one
     * that was slow once would not be tried again.
     */
    private fun sample(from: List<Candidate>, size: Int, random: (Int) -> Int): List<Candidate> =
        if (from.isEmpty()) emptyList() else List(size) { from[random(from.size)] }

    private fun meanAgeMillis(views: List<RunnerView>): Double = views
        .map { view ->
            minOf(
                view.stated?.ageMillis ?: MAX_AGE_MILLIS,
                view.others?.ageMillis ?: MAX_AGE_MILLIS,
                MAX_AGE_MILLIS
            )
        }
        .average()

    public companion object {
        /** Holders of the prompt's prefix that are compared in addition to the sample. */
        private const val HOLDERS_SAMPLED = 2

        /** Requests rarely take longer, so older figures say nothing. */
        private const val MAX_AGE_MILLIS = 2_000L

        /** With two choices the best runner gets at most twice the mean until figures change. */
        private const val MIN_SAMPLE = 2

        /** More than four choices are hardly better, even by figures that are right. */
        private const val ADDED_SAMPLE = 2

        /** Age of figures at which one other VM for each runner halves the added sample. */
        private const val HALVING_MILLIS = 50.0

        /** Returns how many of [runnerCount] runners are compared by figures of [ageMillis]. */
        public fun sampleSize(vmCount: Int, runnerCount: Int, ageMillis: Double): Int {
            val unseen = (vmCount - 1).coerceAtLeast(0) * ageMillis / HALVING_MILLIS / runnerCount
            return MIN_SAMPLE + (ADDED_SAMPLE / (1 + unseen)).toInt()
        }
    }
}
