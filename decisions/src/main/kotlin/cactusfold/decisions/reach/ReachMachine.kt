package cactusfold.decisions.reach

import cactusfold.decisions.Step
import cactusfold.decisions.rate.UpstreamStart
import cactusfold.decisions.unchanged
import cactusfold.decisions.with
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap

/**
 * Finds out whether this VM is cut off from all upstreams of a service.
 *
 * Failures and silence raise a suspicion, and probes decide: a service is cut off when all of its
 * upstreams have failed, or [ReachSettings.maxNeeded] of them, and not one has sent data meanwhile.
 * One upstream that is reached clears the suspicion. A cut ends with signs of reach from two
 * upstreams, or with two from one that are some time apart; if there is only one, with one sign.
 */
public class ReachMachine(private val settings: ReachSettings = ReachSettings()) {

    /** Returns the step that [event] causes at [nowMillis]. */
    public fun step(
        state: ReachState,
        event: ReachEvent,
        nowMillis: Long
    ): Step<ReachState, ReachEffect> = when (event) {
        is ReachEvent.Data -> signed(state, event.upstream, nowMillis).unchanged()
        is ReachEvent.Failed -> failed(state, event.upstream, event.kind, nowMillis).unchanged()
        is ReachEvent.Probed -> probed(state, event, nowMillis).unchanged()
        is ReachEvent.Check -> check(state, event, nowMillis)
        ReachEvent.Suspended -> suspended(state, nowMillis).unchanged()
    }

    private fun signed(state: ReachState, upstream: UpstreamStart, nowMillis: Long): ReachState {
        val next = state.copy(
            lastSignMillis = nowMillis,
            lastSigned = upstream,
            failures = persistentMapOf()
        )
        return when (state.phase) {
            ReachPhase.REACHED -> next
            ReachPhase.SUSPECTED -> next.copy(phase = ReachPhase.REACHED, sinceMillis = nowMillis)
            ReachPhase.CUT -> {
                val firstMillis = state.signs[upstream]?.firstMillis ?: nowMillis
                val signs = ReachSigns(firstMillis, nowMillis)
                next.copy(signs = state.signs.put(upstream, signs))
            }
        }
    }

    private fun failed(
        state: ReachState,
        upstream: UpstreamStart,
        kind: ReachFailureKind,
        nowMillis: Long
    ): ReachState {
        val known = state.failures[upstream]
        // What a probe has shown says more than a further failure of a request.
        val keepsKnown = known != null && known.kind.isProbe && !kind.isProbe
        return state.copy(
            failures = if (keepsKnown) {
                state.failures
            } else {
                state.failures.put(upstream, ReachFailure(kind, nowMillis))
            },
            signs = state.signs.remove(upstream)
        )
    }

    private fun probed(state: ReachState, event: ReachEvent.Probed, nowMillis: Long): ReachState {
        val startedAtMillis = state.probing[event.upstream] ?: return state
        val ended = state.copy(probing = state.probing.remove(event.upstream))
        val failure = event.failure
        return when {
            failure == null ->
                signed(ended, event.upstream, nowMillis)
                    .copy(calmUntilMillis = nowMillis + settings.calmMillis)
            // The upstream, or another one, was reached after the probe had begun.
            ended.phase == ReachPhase.REACHED || startedAtMillis < ended.lastSignMillis -> ended
            else -> failed(ended, event.upstream, failure, nowMillis)
        }
    }

    private fun suspended(state: ReachState, nowMillis: Long): ReachState {
        val next = state.copy(
            lastSignMillis = nowMillis,
            failures = persistentMapOf(),
            probing = persistentMapOf(),
            signs = persistentMapOf()
        )
        if (state.phase != ReachPhase.SUSPECTED) return next
        return next.copy(phase = ReachPhase.REACHED, sinceMillis = nowMillis)
    }

    private fun check(
        state: ReachState,
        event: ReachEvent.Check,
        nowMillis: Long
    ): Step<ReachState, ReachEffect> {
        val current = pruned(state, event.usable, nowMillis)
        return when (current.phase) {
            ReachPhase.REACHED -> checkReached(current, event, nowMillis)
            ReachPhase.SUSPECTED -> checkSuspected(current, event, nowMillis)
            ReachPhase.CUT -> checkCut(current, event.usable, nowMillis)
        }
    }

    /** Forgets what is too old to count, and what is known of upstreams that are gone. */
    private fun pruned(
        state: ReachState,
        usable: List<UpstreamStart>,
        nowMillis: Long
    ): ReachState {
        val present = usable.toSet()
        return state.copy(
            failures = state.failures.filter { (upstream, failure) ->
                upstream in present && nowMillis - failure.atMillis <= settings.freshMillis
            }.toPersistentMap(),
            signs = state.signs.filter { (upstream, signs) ->
                upstream in present && nowMillis - signs.lastMillis <= settings.signMillis
            }.toPersistentMap(),
            probing = state.probing.filter { (upstream, beganMillis) ->
                upstream in present && nowMillis - beganMillis <= settings.freshMillis
            }.toPersistentMap(),
            probedAtMillis = state.probedAtMillis.filterKeys { it in present }.toPersistentMap()
        )
    }

    private fun checkReached(
        state: ReachState,
        event: ReachEvent.Check,
        nowMillis: Long
    ): Step<ReachState, ReachEffect> {
        if (state.failures.isEmpty() && !isSilent(state, event, nowMillis)) return state.unchanged()
        val suspected = state.copy(phase = ReachPhase.SUSPECTED, sinceMillis = nowMillis)
        return checkSuspected(suspected, event, nowMillis)
    }

    private fun isSilent(state: ReachState, event: ReachEvent.Check, nowMillis: Long): Boolean =
        event.silentMillis >= settings.silentMillis &&
            nowMillis - state.lastSignMillis >= settings.silentMillis &&
            nowMillis >= state.calmUntilMillis

    private fun checkSuspected(
        state: ReachState,
        event: ReachEvent.Check,
        nowMillis: Long
    ): Step<ReachState, ReachEffect> {
        val isOver = state.failures.isEmpty() &&
            state.probing.isEmpty() &&
            !isSilent(state, event, nowMillis)
        return when {
            isOver || event.usable.isEmpty() ->
                state.copy(phase = ReachPhase.REACHED, sinceMillis = nowMillis).unchanged()
            isCut(state, event.usable, nowMillis) -> {
                val quietSinceMillis = quietSinceMillis(state)
                val cut = state.copy(
                    phase = ReachPhase.CUT,
                    sinceMillis = nowMillis,
                    signs = persistentMapOf(),
                    lastRoundMillis = nowMillis
                )
                cut.with(
                    ReachEffect.Cut(state.failures.keys.toList(), nowMillis - quietSinceMillis)
                )
            }
            nowMillis - state.lastSignMillis < settings.probeQuietMillis -> state.unchanged()
            else -> probing(state, suspects(state, event.usable, nowMillis), nowMillis)
        }
    }

    /** Since when there was no sign of reach; since the suspicion began if there never was one. */
    private fun quietSinceMillis(state: ReachState): Long =
        if (state.lastSigned == null) state.sinceMillis else state.lastSignMillis

    private fun isCut(state: ReachState, usable: List<UpstreamStart>, nowMillis: Long): Boolean {
        val failures = state.failures.values.filter { it.kind != ReachFailureKind.RESET }
        val probed = failures.count { it.kind.isProbe }
        // A sound upstream may fall silent for a second.
        val isOnlySilent = usable.size == 1 &&
            failures.all { it.kind == ReachFailureKind.PROBE_SILENT }
        val minSuspectedMillis =
            if (isOnlySilent) settings.minSilentOnlyMillis else settings.minSuspectedMillis
        return failures.size >= minOf(usable.size, settings.maxNeeded) &&
            probed >= minOf(usable.size, MIN_PROBED) &&
            nowMillis - state.lastSignMillis >= settings.minQuietMillis &&
            nowMillis - state.sinceMillis >= minSuspectedMillis
    }

    /** Returns the upstreams to be probed next while the service is suspected. */
    private fun suspects(
        state: ReachState,
        usable: List<UpstreamStart>,
        nowMillis: Long
    ): List<UpstreamStart> = usable
        .filter { it !in state.probing && isProbeDue(state.failures[it], nowMillis) }
        .sortedWith(
            compareBy(
                { it != state.lastSigned },
                { it in state.failures },
                { state.probedAtMillis[it] ?: ReachState.NEVER_MILLIS }
            )
        )
        .take((probesAtOnce(state) - state.probing.size).coerceAtLeast(0))

    /** Most suspicions end with the first probe, so more follow only after one has failed. */
    private fun probesAtOnce(state: ReachState): Int = when {
        state.failures.isEmpty() -> 1
        state.failures.values.none { it.kind.isProbe } -> MIN_PROBED
        else -> settings.suspectedProbes
    }

    private fun isProbeDue(failure: ReachFailure?, nowMillis: Long): Boolean = failure == null ||
        !failure.kind.isProbe ||
        nowMillis - failure.atMillis >= settings.probeIntervalMillis

    private fun checkCut(
        state: ReachState,
        usable: List<UpstreamStart>,
        nowMillis: Long
    ): Step<ReachState, ReachEffect> {
        if (isReached(state, usable)) {
            val reached = state.copy(
                phase = ReachPhase.REACHED,
                sinceMillis = nowMillis,
                failures = persistentMapOf(),
                signs = persistentMapOf()
            )
            return reached.with(ReachEffect.Reached(nowMillis - state.sinceMillis))
        }
        if (nowMillis - state.lastRoundMillis < settings.probeIntervalMillis) {
            return state.unchanged()
        }
        val next = usable.filter { it !in state.probing }
            .sortedWith(
                compareBy(
                    { it !in state.signs },
                    { state.probedAtMillis[it] ?: ReachState.NEVER_MILLIS }
                )
            )
            .take(settings.cutProbes)
        return probing(state.copy(lastRoundMillis = nowMillis), next, nowMillis)
    }

    private fun isReached(state: ReachState, usable: List<UpstreamStart>): Boolean =
        state.signs.size >= minOf(usable.size, MIN_SIGNED) ||
            state.signs.values.any {
                it.lastMillis - it.firstMillis >= settings.signApartMillis
            }

    private fun probing(
        state: ReachState,
        upstreams: List<UpstreamStart>,
        nowMillis: Long
    ): Step<ReachState, ReachEffect> {
        if (upstreams.isEmpty()) return state.unchanged()
        val begun = upstreams.associateWith { nowMillis }
        val next = state.copy(
            probing = state.probing.putAll(begun),
            probedAtMillis = state.probedAtMillis.putAll(begun)
        )
        return Step(next, upstreams.map { ReachEffect.Probe(it) })
    }

    private companion object {
        /** Probes that must have failed; failures of requests alone may be those of one moment. */
        const val MIN_PROBED = 2

        /** Upstreams that must have shown that they are reached, so that chance ends no cut. */
        const val MIN_SIGNED = 2
    }
}
