package cactusfold.entry.upstream

import cactusfold.decisions.rate.UpstreamLimit
import cactusfold.decisions.rate.UpstreamStart
import cactusfold.entry.process.EventLog
import cactusfold.node.time.MonotonicClock
import cactusfold.ports.serving.StatedLimit
import io.micrometer.core.instrument.MeterRegistry

/** The limits on their requests that upstreams have stated, as far as this process knows. */
public class UpstreamLimits(
    private val clock: MonotonicClock,
    private val events: EventLog,
    meters: MeterRegistry
) {
    private val limits = HashMap<UpstreamStart, UpstreamLimit>()
    private val unreadable = meters.counter("cactusfold.upstream.limits.unreadable")

    init {
        meters.gauge("cactusfold.upstream.limits", limits) { all ->
            all.values.count { it.requestsPerSecond != null }.toDouble()
        }
    }

    /** Records what an answer of [upstream] to a request sent at [sentAtMillis] states. */
    public fun answered(upstream: UpstreamStart, stated: StatedLimit, sentAtMillis: Long) {
        val requestsPerSecond = when (stated) {
            StatedLimit.None -> null
            is StatedLimit.Rate -> stated.requestsPerSecond
            is StatedLimit.Unreadable -> {
                unreadable.increment()
                events.write(
                    "upstream-limit-unreadable",
                    "upstream" to upstream.id,
                    "value" to stated.text
                )
                return
            }
        }
        val known = limits[upstream]
        val next = UpstreamLimit.answered(known, requestsPerSecond, sentAtMillis, clock.nowMillis())
        update(upstream, known, next, "answer")
    }

    private fun update(
        upstream: UpstreamStart,
        known: UpstreamLimit?,
        next: UpstreamLimit?,
        source: String
    ) {
        if (next == null) return
        limits[upstream] = next
        if (next.requestsPerSecond == known?.requestsPerSecond) return
        events.write(
            "upstream-limit",
            "upstream" to upstream.id,
            "per_s" to next.requestsPerSecond,
            "before_per_s" to known?.requestsPerSecond,
            "before_ms" to known?.let { clock.nowMillis() - it.learnedAtMillis },
            "source" to source
        )
    }
}
