package cactusfold.entry.upstream

import cactusfold.decisions.rate.UpstreamLimit
import cactusfold.decisions.rate.UpstreamStart
import cactusfold.entry.process.EventLog
import cactusfold.node.time.MonotonicClock
import cactusfold.ports.serving.StatedLimit
import cactusfold.protocol.entry.BrittleUpstream
import io.micrometer.core.instrument.MeterRegistry

/**
 * The upstreams that fall over if they have to turn too many requests away, as far as this process
 * knows from answers and from other processes. A start that has stated nothing yet counts as brittle
 * while others of its service are.
 */
public class BrittleUpstreams(
    internal val clock: MonotonicClock,
    internal val events: EventLog,
    meters: MeterRegistry
) {
    private class Stated(val service: String, val limit: UpstreamLimit)

    private val stated = LinkedHashMap<UpstreamStart, Stated>()
    private var lowestByService: Map<String, Double> = emptyMap()
    private val unsent = LinkedHashSet<UpstreamStart>()
    private val unreadable = meters.counter("cactusfold.upstreams.brittle.unreadable")

    /** What this process uses of the places of brittle upstreams. */
    public val uses: BrittleUses = BrittleUses(clock, events, meters)

    /** Returns the service of a start that is registered; otherwise null. */
    public var serviceOf: (UpstreamStart) -> String? = { null }

    /** Called with each start that becomes brittle or is so no longer. */
    public var onChange: (UpstreamStart) -> Unit = {}

    /** Called when the coordinator has to be told something at once. */
    public var onLearned: () -> Unit = {}

    init {
        uses.onChange = {
            unsent += it
            onLearned()
        }
        meters.gauge("cactusfold.upstreams.brittle", this) { brittle ->
            brittle.stated.values.count { it.limit.requestsPerSecond != null }.toDouble()
        }
    }

    /** Returns how many requests a second [start] can turn away; null if it is not brittle. */
    public fun find(start: UpstreamStart): Double? {
        if (lowestByService.isEmpty()) return null
        stated[start]?.let { return it.limit.requestsPerSecond }
        return serviceOf(start)?.let(lowestByService::get)
    }

    /** Records what an answer of [start] to a request sent at [sentAtMillis] states. */
    public fun answered(start: UpstreamStart, value: StatedLimit, sentAtMillis: Long) {
        val perSecond = when (value) {
            StatedLimit.None -> null
            is StatedLimit.Rate -> value.requestsPerSecond
            is StatedLimit.Unreadable -> {
                unreadable.increment()
                events.write(
                    "upstream-brittle-unreadable",
                    "upstream" to start.id,
                    "value" to value.text
                )
                return
            }
        }
        val nowMillis = clock.nowMillis()
        val known = stated[start]?.limit ?: ofOthers(start)
        val next = UpstreamLimit.answered(known, perSecond, sentAtMillis, nowMillis)
        // Answers of before the others' statements do not show that this one is not brittle.
        if (next == null || next === known) return
        update(start, serviceOf(start), next, "answer")
    }

    /** Records what another process, named [source], reports. */
    public fun heard(message: BrittleUpstream, source: String) {
        if (message.hasNoStatement) return
        val reported = if (message.hasTurnAwaysPerSecond()) message.turnAwaysPerSecond else null
        val nowMillis = clock.nowMillis()
        val known = stated[message.start]?.limit
        val observedAtMillis = nowMillis - message.ageMillis
        val next = UpstreamLimit.heard(known, reported, observedAtMillis, nowMillis)
        update(message.start, message.service, next, source)
    }

    /** Returns what [start] has stated; null if nothing is known. */
    public fun statement(start: UpstreamStart): BrittleUpstream? {
        val known = stated[start] ?: return null
        val message = builder(start, known.service)
            .setAgeMillis(clock.nowMillis() - known.limit.observedAtMillis)
        known.limit.requestsPerSecond?.let(message::setTurnAwaysPerSecond)
        return message.build()
    }

    /** Returns what is known of [start], with what this process uses there. */
    public fun message(start: UpstreamStart): BrittleUpstream {
        val statement = statement(start)?.toBuilder()
            ?: builder(start, serviceOf(start).orEmpty()).setHasNoStatement(true)
        return statement.setUse(uses.message(start)).build()
    }

    /** Returns what all upstreams have stated. */
    public fun statements(): List<BrittleUpstream> = stated.keys.mapNotNull(::statement)

    /** Returns what the coordinator has to know; uses are stated again in each report. */
    public fun takeUnsent(): List<BrittleUpstream> {
        forgetOld()
        val starts = unsent + uses.held.filter { find(it) != null }
        unsent.clear()
        return starts.map(::message)
    }

    /** Has all that is known reported again, for instance to another coordinator. */
    public fun markUnsent() {
        unsent += stated.keys
    }

    /** Has the coordinator told at once what this process uses of [start]. */
    public fun stateUse(start: UpstreamStart) {
        unsent += start
        onLearned()
    }

    private fun builder(start: UpstreamStart, service: String) = BrittleUpstream.newBuilder()
        .setUpstream(start.id)
        .setStartedAtEpochMillis(start.startedAtEpochMillis ?: 0)
        .setService(service)

    /** Returns the statement of another start of the service that applies to [start] as well. */
    private fun ofOthers(start: UpstreamStart): UpstreamLimit? {
        val service = serviceOf(start)
        val lowest = lowestByService[service] ?: return null
        return stated.values.map { it.service to it.limit }
            .filter { (of, limit) -> of == service && limit.requestsPerSecond == lowest }
            .maxByOrNull { (_, limit) -> limit.learnedAtMillis }?.second
    }

    /** Stores [next], and reports what differs from what was known. */
    private fun update(
        start: UpstreamStart,
        service: String?,
        next: UpstreamLimit,
        source: String
    ) {
        val known = stated[start]
        val isChanged = known == null || known.limit.requestsPerSecond != next.requestsPerSecond
        stated[start] = Stated(service ?: known?.service ?: return, next)
        if (!isChanged) return
        forgetOld()
        val ended = next.requestsPerSecond == null
        events.write(
            if (ended) "upstream-brittle-ended" else "upstream-brittle",
            "upstream" to start.id,
            "turn_aways_per_s" to next.requestsPerSecond,
            "before_per_s" to known?.limit?.requestsPerSecond,
            "source" to source
        )
        onChange(start)
    }

    /** Forgets starts that are gone, and statements that ended, once no old message names them. */
    private fun forgetOld() {
        val nowMillis = clock.nowMillis()
        stated.entries.removeIf { (start, known) ->
            nowMillis - known.limit.observedAtMillis >= KEPT_MILLIS &&
                (known.limit.requestsPerSecond == null || serviceOf(start) == null)
        }
        lowestByService = stated.values.filter { it.limit.requestsPerSecond != null }
            .groupBy({ it.service }) { it.limit.requestsPerSecond!! }
            .mapValues { (_, values) -> values.min() }
        uses.retain { it in stated || serviceOf(it) != null }
        unsent.removeIf { it !in stated && serviceOf(it) == null }
    }

    public companion object {
        /** The start of an upstream that a message is about. */
        public val BrittleUpstream.start: UpstreamStart
            get() = UpstreamStart(upstream, startedAtEpochMillis.takeIf { it > 0 })

        /** Longer than an upstream that fell over takes to come back as another start. */
        private const val KEPT_MILLIS = 60_000L
    }
}
