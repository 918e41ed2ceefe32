package cactusfold.entry.upstream

import cactusfold.decisions.rate.RateLimit
import cactusfold.decisions.rate.UpstreamLimit
import cactusfold.decisions.rate.UpstreamStart
import cactusfold.entry.process.EventLog
import cactusfold.node.time.MonotonicClock
import cactusfold.ports.serving.StatedLimit
import cactusfold.protocol.entry.UpstreamLimit as LimitMessage
import io.micrometer.core.instrument.MeterRegistry

/**
 * The limits on their requests that upstreams have stated, as far as this process knows from
 * answers and from other processes.
 *
 * @param onChange called with each upstream whose limit is named, changes or ends.
 * @param onLearned called if this process was the one to learn that from an answer.
 */
public class UpstreamLimits(
    private val clock: MonotonicClock,
    private val events: EventLog,
    meters: MeterRegistry,
    private val isRegistered: (UpstreamStart) -> Boolean,
    private val onChange: (UpstreamStart) -> Unit,
    private val onLearned: () -> Unit
) {
    private val limits = LinkedHashMap<UpstreamStart, UpstreamLimit>()
    private val unsent = LinkedHashSet<UpstreamStart>()
    private val unreadable = meters.counter("cactusfold.upstream.limits.unreadable")

    /** The upstreams that are limited because they are cold. */
    public val cold: ColdUpstreams = ColdUpstreams(clock, events, meters)

    /** The upstreams that fall over if they have to turn too many requests away. */
    public val brittle: BrittleUpstreams = BrittleUpstreams(clock, events, meters)

    init {
        brittle.onLearned = onLearned
        cold.onChange = onChange
        cold.onLearned = {
            unsent += it
            onLearned()
        }
        meters.gauge("cactusfold.upstream.limits", this) { it.inForce.size.toDouble() }
    }

    /** The limits in force. */
    public val inForce: Map<UpstreamStart, RateLimit>
        get() = (limits.keys + cold.cold).mapNotNull { start ->
            find(start)?.let { start to it }
        }.toMap()

    /** Returns the limit in force of [upstream], or null if it has none. */
    public fun find(upstream: UpstreamStart): RateLimit? {
        val stated = limits[upstream]?.requestsPerSecond?.let(RateLimit::ofRequests)
        val ofCold = cold.limitOf(upstream) ?: return stated
        return stated?.lowerOf(ofCold) ?: ofCold
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
        if (!update(upstream, known, next, "answer")) return
        unsent += upstream
        onLearned()
    }

    /** Records what another process has told, a member or the coordinator as named by [source]. */
    public fun heard(message: LimitMessage, source: String, isCoordinator: Boolean = false) {
        val start = message.start
        if (message.hasCold()) cold.heard(start, message.cold, source, isCoordinator)
        if (message.hasNoStatement) return
        val reported = if (message.hasRequestsPerSecond()) message.requestsPerSecond else null
        val nowMillis = clock.nowMillis()
        val known = limits[start]
        val next = UpstreamLimit.heard(known, reported, nowMillis - message.ageMillis, nowMillis)
        update(start, known, next, source)
    }

    /** Returns the message for other processes about [upstream], or null if nothing is known. */
    public fun message(upstream: UpstreamStart): LimitMessage? {
        val limit = limits[upstream]
        val ofCold = cold.message(upstream)
        if (limit == null && ofCold == null) return null
        val message = LimitMessage.newBuilder()
            .setUpstream(upstream.id)
            .setStartedAtEpochMillis(upstream.startedAtEpochMillis ?: 0)
            .setHasNoStatement(limit == null)
        ofCold?.let(message::setCold)
        if (limit != null) {
            message.setAgeMillis(clock.nowMillis() - limit.observedAtMillis)
            limit.requestsPerSecond?.let(message::setRequestsPerSecond)
        }
        return message.build()
    }

    /** Returns the messages about all upstreams that state a limit or are cold. */
    public fun messages(): List<LimitMessage> = (limits.keys + cold.cold).mapNotNull(::message)

    /** Returns what this process has learned since the last call. */
    public fun takeUnsent(): List<LimitMessage> {
        cold.expire()
        return unsent.mapNotNull(::message).also { unsent.clear() }
    }

    /** Has all that is known reported again, for instance to another coordinator. */
    public fun markUnsent() {
        unsent += limits.keys + cold.cold
    }

    /** Stores [next]; returns whether the limit differs from the [known] one, and reports it. */
    private fun update(
        upstream: UpstreamStart,
        known: UpstreamLimit?,
        next: UpstreamLimit?,
        source: String
    ): Boolean {
        if (next == null) return false
        limits[upstream] = next
        if (next.requestsPerSecond == known?.requestsPerSecond) return false
        forgetOld()
        events.write(
            "upstream-limit",
            "upstream" to upstream.id,
            "per_s" to next.requestsPerSecond,
            "before_per_s" to known?.requestsPerSecond,
            "before_ms" to known?.let { clock.nowMillis() - it.learnedAtMillis },
            "source" to source
        )
        onChange(upstream)
        return true
    }

    /** Forgets limits that ended, and upstreams that are gone, once no old message names them. */
    private fun forgetOld() {
        val beforeMillis = clock.nowMillis() - KEPT_MILLIS
        limits.entries.removeIf { (start, limit) ->
            limit.observedAtMillis < beforeMillis &&
                (limit.requestsPerSecond == null || !isRegistered(start))
        }
        unsent.retainAll(limits.keys + cold.cold)
    }

    public companion object {
        /** The start of an upstream that a message is about. */
        public val LimitMessage.start: UpstreamStart
            get() = UpstreamStart(upstream, startedAtEpochMillis.takeIf { it > 0 })

        /** Many times as long as a message between processes takes. */
        private const val KEPT_MILLIS = 60_000L
    }
}
