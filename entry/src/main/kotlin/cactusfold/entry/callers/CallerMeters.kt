package cactusfold.entry.callers

import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import java.time.Duration
import java.util.concurrent.TimeUnit

/** Counts and times callers' requests by outcome. */
public class CallerMeters(private val registry: MeterRegistry) {
    private val timers = HashMap<String, Timer>()
    private val firstPieces = timer(FIRST_PIECES).register(registry)

    /** Books a request that ended with [outcome] after [tookMillis]. */
    public fun recordRequest(outcome: String, tookMillis: Long) {
        val label = outcome.substringBefore(':')
        timers.getOrPut(label) { timer(REQUESTS).tag("outcome", label).register(registry) }
            .record(tookMillis, TimeUnit.MILLISECONDS)
    }

    /** Books that the first piece of a stream went to its caller after [millis]. */
    public fun recordFirstPiece(millis: Long): Unit =
        firstPieces.record(millis, TimeUnit.MILLISECONDS)

    private fun timer(name: String): Timer.Builder =
        Timer.builder(name).serviceLevelObjectives(*BUCKETS)

    private companion object {
        const val REQUESTS = "cactusfold.requests"
        const val FIRST_PIECES = "cactusfold.stream.first.piece"

        /** Upper bounds of the histograms' buckets, around the usual latency targets. */
        val BUCKETS: Array<Duration> = longArrayOf(50, 100, 200, 400, 1_000, 2_000, 4_000, 10_000)
            .map(Duration::ofMillis).toTypedArray()
    }
}
