package cactusfold.decisions.reach

import cactusfold.decisions.rate.UpstreamStart
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** Whether the upstreams of a service are reached from here. */
public enum class ReachPhase {
    /** Nothing speaks against it. */
    REACHED,

    /** Upstreams failed, and probes find out whether others are reached. */
    SUSPECTED,

    /** No upstream is reached. */
    CUT
}

/** How an upstream failed. */
public enum class ReachFailureKind {
    /** A request could not be sent because there was no connection. */
    NOT_CONNECTED,

    /** A connection was closed with a request on it, which a crash explains as well. */
    RESET,

    /** A probe was refused, or its connection closed before any answer. */
    PROBE_REFUSED,

    /** A probe got no answer in time. */
    PROBE_SILENT;

    /** Whether a probe failed. */
    public val isProbe: Boolean get() = this == PROBE_REFUSED || this == PROBE_SILENT
}

/** The last failure of an upstream. */
public data class ReachFailure(public val kind: ReachFailureKind, public val atMillis: Long)

/** The first and the last of the signs that an upstream is reached, since a service is cut off. */
public data class ReachSigns(public val firstMillis: Long, public val lastMillis: Long)

/**
 * What is known of the reach of a service.
 *
 * @property sinceMillis when the phase began.
 * @property lastSignMillis when data last arrived from any upstream, or a probe was answered.
 * @property lastSigned the upstream that this came from; null if there was none.
 * @property failures last failures of upstreams since the last sign.
 * @property signs signs from upstreams since the service is cut off.
 * @property probing upstreams with a probe in progress.
 * @property probedAtMillis when upstreams were last probed.
 * @property calmUntilMillis until when silence raises no suspicion, since a probe was answered.
 * @property lastRoundMillis when the last probes of a cut service began.
 */
public data class ReachState(
    public val phase: ReachPhase = ReachPhase.REACHED,
    public val sinceMillis: Long = NEVER_MILLIS,
    public val lastSignMillis: Long = NEVER_MILLIS,
    public val lastSigned: UpstreamStart? = null,
    public val failures: PersistentMap<UpstreamStart, ReachFailure> = persistentMapOf(),
    public val signs: PersistentMap<UpstreamStart, ReachSigns> = persistentMapOf(),
    public val probing: PersistentMap<UpstreamStart, Long> = persistentMapOf(),
    public val probedAtMillis: PersistentMap<UpstreamStart, Long> = persistentMapOf(),
    public val calmUntilMillis: Long = NEVER_MILLIS,
    public val lastRoundMillis: Long = NEVER_MILLIS
) {
    public companion object {
        internal const val NEVER_MILLIS: Long = Long.MIN_VALUE / 2
    }
}

/** What was observed of the upstreams of a service. */
public sealed interface ReachEvent {
    /** Data arrived from [upstream] on any connection. */
    public data class Data(public val upstream: UpstreamStart) : ReachEvent

    /** A request at [upstream] failed; [kind] is not that of a probe. */
    public data class Failed(
        public val upstream: UpstreamStart,
        public val kind: ReachFailureKind
    ) : ReachEvent

    /** A probe of [upstream] ended; [failure] is null if it was answered. */
    public data class Probed(
        public val upstream: UpstreamStart,
        public val failure: ReachFailureKind?
    ) : ReachEvent

    /**
     * The state is to be judged.
     *
     * @property usable the upstreams of the service to which requests may be sent.
     * @property silentMillis the longest time without data from one of them that owes an answer.
     */
    public data class Check(public val usable: List<UpstreamStart>, public val silentMillis: Long) :
        ReachEvent

    /** The process was suspended, so that data may be unread and time limits passed unnoticed. */
    public data object Suspended : ReachEvent
}

/** What is to be done about the reach of a service. */
public sealed interface ReachEffect {
    /** [upstream] is to be probed, and the result to be passed on as [ReachEvent.Probed]. */
    public data class Probe(public val upstream: UpstreamStart) : ReachEffect

    /** The service counts as cut off, since [failed] failed; there was no sign for [quietMillis]. */
    public data class Cut(public val failed: List<UpstreamStart>, public val quietMillis: Long) :
        ReachEffect

    /** The service is reached again, or has no upstreams left, after [cutMillis]. */
    public data class Reached(public val cutMillis: Long) : ReachEffect
}

/**
 * Limits of the detection.
 *
 * @property minQuietMillis how long no data must have arrived from any upstream before a cut.
 * @property minSuspectedMillis how long a suspicion must last before a cut.
 * @property minSilentOnlyMillis the same for a service whose only upstream is silent.
 * @property silentMillis silence of an upstream that owes an answer which raises a suspicion.
 * @property calmMillis how long silence raises no suspicion after a probe was answered.
 * @property probeQuietMillis how long no data must have arrived before probes begin.
 * @property freshMillis how long a failure counts.
 * @property maxNeeded number of upstreams that must have failed if there are more.
 * @property suspectedProbes probes in progress at a time while a service is suspected.
 * @property cutProbes probes that begin together while a service is cut off.
 * @property probeIntervalMillis interval between probes of a cut service, or of one upstream.
 * @property signApartMillis how far apart two signs of one upstream must be to end a cut.
 * @property signMillis how long a sign counts.
 */
public data class ReachSettings(
    public val minQuietMillis: Long = 400,
    public val minSuspectedMillis: Long = 200,
    public val minSilentOnlyMillis: Long = 1_300,
    public val silentMillis: Long = 500,
    public val calmMillis: Long = 1_500,
    public val probeQuietMillis: Long = 150,
    public val freshMillis: Long = 2_500,
    public val maxNeeded: Int = 8,
    public val suspectedProbes: Int = 4,
    public val cutProbes: Int = 2,
    public val probeIntervalMillis: Long = 300,
    public val signApartMillis: Long = 250,
    public val signMillis: Long = 1_500
)
