package cactusfold.decisions.routing

/**
 * When a request is expected to progress if it is sent now.
 *
 * @property waitMillis time until a slot and memory are free.
 * @property firstEventMillis time until the first event.
 * @property endMillis time until the last event.
 * @property speed learned factor by which work takes longer there, relative to the service, which
 *   the times contain.
 */
public data class ExpectedTime(
    public val waitMillis: Double,
    public val firstEventMillis: Double,
    public val endMillis: Double,
    public val speed: Double
) {
    /**
     * The cost by which runners are compared. Targets apply to the first event; the rest counts
     * half, since a fuller batch also delays the other streams at the runner.
     */
    public val cost: Double get() = firstEventMillis + (endMillis - firstEventMillis) * REST_WEIGHT

    private companion object {
        const val REST_WEIGHT = 0.5
    }
}

/**
 * Estimates how long requests take at the runners of a model engine.
 *
 * @property zoneCrossingMillis added for a runner in another availability zone.
 */
public class ExpectedTimes(private val zoneCrossingMillis: Double) {
    /**
     * Returns the expected time of [work] at [view] for a sender in [zone].
     *
     * @param cachedTokens expected number of prompt tokens that are in the runner's prefix cache.
     */
    public fun estimate(
        view: RunnerView,
        work: RequestWork,
        cachedTokens: Double,
        zone: String,
        prior: RunnerPrior
    ): ExpectedTime {
        val requests = requestsAt(view, prior)
        // Requests in a batch share the engine, so each of them slows the others down.
        val batch = 1 + minOf(requests / view.slots, 1.0)
        val readMillis = (work.promptTokens - cachedTokens).coerceAtLeast(0.0) / READ_TOKENS_PER_MS
        val firstMillis = (readMillis + STEP_MILLIS) * batch
        val restMillis = work.outputTokens * STEP_MILLIS * batch
        val serviceMillis = firstMillis + restMillis
        val waitMillis = serviceMillis * (
            (requests + 1 - view.slots).coerceAtLeast(0.0) / view.slots +
                memoryWait(view, work, requests)
            )
        val speed = prior.calibration * speedOf(view, prior)
        val crossing = if (view.zone == zone) 0.0 else zoneCrossingMillis
        val readyMillis = slowed((waitMillis + firstMillis) * speed, view)
        val overdueMillis = (view.silentMillis - readyMillis).coerceAtLeast(0.0)
        val added = crossing + overdueMillis
        return ExpectedTime(
            waitMillis,
            readyMillis + added,
            slowed((waitMillis + serviceMillis) * speed, view) + added,
            speedOf(view, prior)
        )
    }

    /** Returns the expected number of requests of all VMs at [view]; old figures fade. */
    internal fun requestsAt(view: RunnerView, prior: RunnerPrior): Double {
        val announced = view.others?.let {
            val weight = freshness(it.ageMillis, COUNT_HALF_LIFE_MILLIS)
            weight * it.requests + (1 - weight) * prior.otherRequests
        } ?: prior.otherRequests
        val expected = view.inFlight + announced
        val stated = view.stated ?: return expected
        val weight = freshness(stated.ageMillis, COUNT_HALF_LIFE_MILLIS)
        return maxOf(
            view.inFlight.toDouble(),
            weight * stated.requests + (1 - weight) * expected
        )
    }

    /** Returns the share of a request's time after which enough memory for [work] is free. */
    private fun memoryWait(view: RunnerView, work: RequestWork, requests: Double): Double {
        val memoryTokens = view.memoryTokens ?: return 0.0
        val otherRequests = (requests - view.inFlight).coerceAtLeast(0.0)
        // Requests that nobody has described are taken to be like this one.
        val tokensEach = view.others?.takeIf { it.requests > 0 }
            ?.let { it.tokens.toDouble() / it.requests }
            ?: work.tokens.toDouble()
        val heldTokens = view.inFlightTokens + otherRequests * tokensEach
        val missingTokens = heldTokens + work.tokens - memoryTokens
        return if (missingTokens <= 0) 0.0 else missingTokens / maxOf(heldTokens, 1.0)
    }

    private fun speedOf(view: RunnerView, prior: RunnerPrior): Double {
        val learned = view.speed ?: return prior.speed
        val weight = freshness(learned.ageMillis, SPEED_HALF_LIFE_MILLIS)
        return weight * learned.factor + (1 - weight) * prior.speed
    }

    /**
     * Returns how long work takes that takes [millis] at normal speed. A slowdown is expected to
     * last for a limited time, so it delays a short request by a larger factor than a long one.
     */
    private fun slowed(millis: Double, view: RunnerView): Double {
        val stated = view.stated ?: return millis
        val weight = freshness(stated.ageMillis, SLOWDOWN_HALF_LIFE_MILLIS)
        val slowMillis = millis * stated.slowdown
        val left = SLOWDOWN_LEFT_MILLIS
        val slowed = if (slowMillis <= left) slowMillis else left + millis - left / stated.slowdown
        return millis + weight * (slowed - millis)
    }

    public companion object {
        /**
         * Half-life of the weight of counted requests: they take a second or more, so a count
         * that is a few hundred milliseconds old is still mostly right.
         */
        public const val COUNT_HALF_LIFE_MILLIS: Double = 1_000.0

        /**
         * Half-life of a stated slowdown, which changes several times a second; the mean time that
         * is left of it follows (half-life / ln 2).
         */
        private const val SLOWDOWN_HALF_LIFE_MILLIS = 300.0
        private const val SLOWDOWN_LEFT_MILLIS = 433.0

        /** Half-life of a learned speed, so that a runner that was once slow is tried again. */
        private const val SPEED_HALF_LIFE_MILLIS = 30_000.0

        /** Engines read 19 to 20 prompt tokens in a millisecond; a step takes 8.9 to 10.1 ms. */
        private const val READ_TOKENS_PER_MS = 19.5
        private const val STEP_MILLIS = 9.5
    }
}
