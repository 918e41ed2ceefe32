package cactusfold.entry.callers

import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import java.time.Duration
import java.util.concurrent.TimeUnit

/** Duration histograms of callers' requests by outcome, and of the first piece of streams. */
public class CallerMeters(private val registry: MeterRegistry) {
    private val timers = HashMap<String, Timer>()
    private val waits = HashMap<Pair<String, Int>, Timer>()
    private val firstPieces = timer(FIRST_PIECES).register(registry)

    /** Records a request that ended with [outcome]; text after a colon is left out of the label. */
    public fun recordRequest(outcome: String, tookMillis: Long) {
        val label = outcome.substringBefore(':')
        timers.getOrPut(label) { timer(REQUESTS).tag("outcome", label).register(registry) }
            .record(tookMillis, TimeUnit.MILLISECONDS)
    }

    /** Counts a request that a peer passed on to this process and that ended with [outcome]. */
    public fun recordTaken(outcome: String): Unit =
        registry.counter(TAKEN, "outcome", outcome.substringBefore(':')).increment()

    /** Counts a connection that this process closed for [reason] without a request in progress. */
    public fun recordClosed(reason: String): Unit =
        registry.counter(CLOSED, "reason", reason).increment()

    /** Records that the first piece of a stream was sent to its caller [millis] after arrival. */
    public fun recordFirstPiece(millis: Long): Unit =
        firstPieces.record(millis, TimeUnit.MILLISECONDS)

    /** Counts a request that was not sent to [upstream] for its limit, and [end]ed otherwise. */
    public fun recordLimited(upstream: String, end: String): Unit =
        registry.counter(LIMITED, "upstream", upstream, "end", end).increment()

    /** Counts a request that was permitted to be sent to [upstream] within its limit. */
    public fun recordPermitted(upstream: String): Unit = recordLimited(upstream, "granted")

    /** Removes the counters of [upstream], whose limit has ended. */
    public fun forgetLimited(upstream: String) {
        registry.find(LIMITED).tag("upstream", upstream).counters().forEach(registry::remove)
    }

    /** Records the wait of a request in a list: [kind] is what it waited for. */
    public fun recordQueued(kind: String, priority: Int, millis: Long) {
        waits.getOrPut(kind to priority) {
            timer(WAITS).tag("for", kind).tag("priority", priority.toString()).register(registry)
        }.record(millis, TimeUnit.MILLISECONDS)
    }

    /** Counts a request that was refused since it could not be served in time. */
    public fun recordRefused(kind: String, priority: Int, reason: String): Unit = registry
        .counter(REFUSALS, "for", kind, "priority", priority.toString(), "reason", reason)
        .increment()

    /** Counts a stream that a caller resumed: from where its version was known, or the refusal. */
    public fun recordResumption(outcome: String): Unit =
        registry.counter(RESUMPTIONS, "outcome", outcome).increment()

    /**
     * Records the time to the first data of an answer of a runner of [service], and the time that
     * was expected when the request was sent.
     */
    public fun recordExpected(service: String, expectedMillis: Double, tookMillis: Long) {
        firstData(service, "expected").record(expectedMillis.toLong(), TimeUnit.MILLISECONDS)
        firstData(service, "observed").record(tookMillis, TimeUnit.MILLISECONDS)
    }

    private fun firstData(service: String, figure: String): Timer =
        timers.getOrPut("$service $figure") {
            timer(FIRST_DATA).tags("service", service, "figure", figure).register(registry)
        }

    /** Counts a choice among the upstreams of [service], and its [reason]. */
    public fun recordChoice(service: String, reason: String): Unit =
        registry.counter(CHOICES, "service", service, "reason", reason).increment()

    private fun timer(name: String): Timer.Builder =
        Timer.builder(name).serviceLevelObjectives(*BUCKETS)

    private companion object {
        const val REQUESTS = "cactusfold.requests"
        const val TAKEN = "cactusfold.requests.taken"
        const val CLOSED = "cactusfold.connections.closed"
        const val LIMITED = "cactusfold.sends.limited"
        const val WAITS = "cactusfold.queue.wait"
        const val REFUSALS = "cactusfold.queue.refused"
        const val RESUMPTIONS = "cactusfold.streams.resumed"
        const val FIRST_DATA = "cactusfold.upstream.first.data"
        const val CHOICES = "cactusfold.upstream.choices"
        const val FIRST_PIECES = "cactusfold.stream.first.piece"

        /** Upper bounds of the histogram buckets, placed around the usual latency targets. */
        val BUCKETS: Array<Duration> = longArrayOf(50, 100, 200, 400, 1_000, 2_000, 4_000, 10_000)
            .map(Duration::ofMillis).toTypedArray()
    }
}
