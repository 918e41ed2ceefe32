package cactusfold.router.callers

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import java.time.Duration
import java.util.concurrent.ConcurrentHashMap

/** Metrics of caller requests, tagged by work class and refusal code, both of low cardinality. */
internal class CallerMeters(private val registry: MeterRegistry) {
    private val answers = ConcurrentHashMap<String, Timer>()
    private val refusals = ConcurrentHashMap<String, Counter>()

    fun recordAnswer(workClass: String, tookMillis: Long) {
        answers.computeIfAbsent(workClass) {
            Timer.builder("cactusfold.request.duration")
                .tag("class", it)
                .publishPercentileHistogram()
                .register(registry)
        }.record(Duration.ofMillis(tookMillis))
    }

    fun recordRefusal(code: String) {
        refusals.computeIfAbsent(code) {
            Counter.builder("cactusfold.request.refusals").tag("code", it).register(registry)
        }.increment()
    }
}
