package cactusfold.entry.callers

import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import java.util.concurrent.TimeUnit

/** Counts and times callers' requests by outcome. */
public class CallerMeters(private val registry: MeterRegistry) {
    private val timers = HashMap<String, Timer>()

    /** Books a request that ended with [outcome] after [tookMillis]. */
    public fun ended(outcome: String, tookMillis: Long) {
        val label = outcome.substringBefore(':')
        timers.getOrPut(label) { Timer.builder(REQUESTS).tag("outcome", label).register(registry) }
            .record(tookMillis, TimeUnit.MILLISECONDS)
    }

    private companion object {
        const val REQUESTS = "cactusfold.requests"
    }
}
