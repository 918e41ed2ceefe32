package cactusfold.entry.upstream

import cactusfold.decisions.reach.ReachEffect
import cactusfold.decisions.reach.ReachEvent
import cactusfold.decisions.reach.ReachFailureKind
import cactusfold.decisions.reach.ReachMachine
import cactusfold.decisions.reach.ReachPhase
import cactusfold.decisions.reach.ReachSettings
import cactusfold.decisions.reach.ReachState
import cactusfold.entry.process.EventLog
import cactusfold.node.time.MonotonicClock
import cactusfold.ports.serving.ReachProbeEnd
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/**
 * Knows from which services this VM is cut off, because it reaches none of their upstreams.
 *
 * Data on a connection that lives on counts as reach, so a service is not cut off while that is all
 * that works and new connections are refused.
 *
 * @param usable returns the upstreams to which requests may be sent.
 * @param probe finds out whether an upstream is reached, within a short time.
 */
public class ServiceReach(
    private val scope: CoroutineScope,
    private val clock: MonotonicClock,
    private val events: EventLog,
    private val usable: () -> List<Upstream>,
    private val probe: suspend (Upstream) -> ReachProbeEnd
) {
    private class Service(val name: String) {
        var state = ReachState()

        val isCalm: Boolean get() = state.phase == ReachPhase.REACHED && state.failures.isEmpty()
    }

    private val settings = ReachSettings()
    private val machine = ReachMachine(settings)
    private val services = HashMap<String, Service>()
    private val listeners = mutableListOf<(String) -> Unit>()
    private val wake = Channel<Unit>(Channel.CONFLATED)

    /** Number of services from which this VM is cut off. */
    public val cutCount: Int get() = services.values.count { it.state.phase == ReachPhase.CUT }

    /** Whether this VM reaches no upstream of [service]. */
    public fun isCut(service: String): Boolean = services[service]?.state?.phase == ReachPhase.CUT

    /** Registers [listener], called with a service that was cut off, or is reached again. */
    public fun onChange(listener: (service: String) -> Unit) {
        listeners += listener
    }

    /** Records that data arrived from [upstream]. */
    public fun dataReceived(upstream: Upstream) {
        val nowMillis = clock.nowMillis()
        val service = serviceOf(upstream)
        val sinceMillis = nowMillis - service.state.lastSignMillis
        if (service.isCalm && sinceMillis < SIGN_RESOLUTION_MILLIS) return
        val wasCut = service.state.phase == ReachPhase.CUT
        apply(service, ReachEvent.Data(upstream.start))
        if (wasCut) check(service)
    }

    /** Records that no connection to [upstream] could be established. */
    public fun connectionFailed(upstream: Upstream): Unit =
        failed(upstream, ReachFailureKind.NOT_CONNECTED)

    /** Records that a connection to [upstream] was closed before the end of an answer. */
    public fun connectionClosed(upstream: Upstream): Unit = failed(upstream, ReachFailureKind.RESET)

    /**
     * Records which of [all] upstreams owe an answer and send no data; [nowMillis] is null if this
     * process was suspended, and may have data to read.
     */
    public fun silenceChecked(all: List<Upstream>, nowMillis: Long?) {
        if (nowMillis == null) return suspended()
        for (upstream in all) {
            if (upstream.silence.silentMillis(nowMillis) < settings.silentMillis) continue
            val service = serviceOf(upstream)
            if (service.isCalm && upstream.isUsable) check(service)
        }
    }

    private fun suspended() {
        services.values.forEach { apply(it, ReachEvent.Suspended) }
    }

    /** Judges suspected and cut services from time to time until cancelled. */
    public suspend fun run() {
        while (true) {
            if (services.values.all { it.isCalm }) wake.receive()
            val checkedAtMillis = clock.nowMillis()
            delay(CHECK_MILLIS)
            if (clock.nowMillis() - checkedAtMillis > CHECK_MILLIS + MIN_SUSPENSION_MILLIS) {
                suspended()
            }
            services.values.filterNot { it.isCalm }.forEach(::check)
        }
    }

    private fun serviceOf(upstream: Upstream): Service =
        services.getOrPut(upstream.entry.service) { Service(upstream.entry.service) }

    private fun failed(upstream: Upstream, kind: ReachFailureKind) {
        val service = serviceOf(upstream)
        apply(service, ReachEvent.Failed(upstream.start, kind))
        check(service)
    }

    private fun check(service: Service) {
        val nowMillis = clock.nowMillis()
        val upstreams = usable().filter { it.entry.service == service.name }
        val silentMillis = upstreams.maxOfOrNull { it.silence.silentMillis(nowMillis) } ?: 0
        val starts = upstreams.map { it.start }
        for (effect in apply(service, ReachEvent.Check(starts, silentMillis))) {
            perform(service, effect, upstreams)
        }
        if (!service.isCalm) wake.trySend(Unit)
    }

    private fun apply(service: Service, event: ReachEvent): List<ReachEffect> {
        val step = machine.step(service.state, event, clock.nowMillis())
        service.state = step.state
        return step.effects
    }

    private fun perform(service: Service, effect: ReachEffect, upstreams: List<Upstream>) {
        when (effect) {
            is ReachEffect.Probe ->
                upstreams.find { it.start == effect.upstream }?.let { probe(service, it) }
            is ReachEffect.Cut -> {
                events.write(
                    "service-cut",
                    "service" to service.name,
                    "failed" to effect.failed.joinToString(",") { it.id },
                    "quiet_ms" to effect.quietMillis
                )
                listeners.forEach { it(service.name) }
            }
            is ReachEffect.Reached -> {
                events.write(
                    "service-reached",
                    "service" to service.name,
                    "cut_ms" to effect.cutMillis
                )
                listeners.forEach { it(service.name) }
            }
        }
    }

    private fun probe(service: Service, upstream: Upstream) {
        scope.launch {
            val failure = when (probe(upstream)) {
                ReachProbeEnd.ANSWERED -> null
                ReachProbeEnd.REFUSED -> ReachFailureKind.PROBE_REFUSED
                ReachProbeEnd.SILENT -> ReachFailureKind.PROBE_SILENT
            }
            apply(service, ReachEvent.Probed(upstream.start, failure))
            check(service)
        }
    }

    public companion object {
        /** Runners normally answer a probe within milliseconds. */
        public const val PROBE_TIMEOUT_MILLIS: Long = 300

        private const val CHECK_MILLIS = 100L

        /** A delay that is longer by this is more than scheduling explains. */
        private const val MIN_SUSPENSION_MILLIS = 400L

        /** Data that arrives this soon after other data changes nothing. */
        private const val SIGN_RESOLUTION_MILLIS = 50L
    }
}
