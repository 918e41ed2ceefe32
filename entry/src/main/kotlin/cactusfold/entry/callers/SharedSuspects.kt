package cactusfold.entry.callers

import cactusfold.decisions.rate.UpstreamStart
import cactusfold.decisions.suspect.CrashId
import cactusfold.decisions.suspect.SuspectState
import cactusfold.decisions.suspect.SuspectTracker
import cactusfold.decisions.suspect.SuspectVerdict
import cactusfold.entry.process.EventLog
import cactusfold.node.time.MonotonicClock
import cactusfold.ports.serving.ServingWorkspace
import cactusfold.protocol.SuspectReport
import com.google.common.hash.Hashing

/**
 * A send of a request to an upstream.
 *
 * @property inFlight requests of this process at the upstream when it was sent, this one included.
 */
public class SuspectSend(
    public val fingerprint: String,
    public val start: UpstreamStart,
    public val sentAtMillis: Long,
    public val inFlight: Int
)

/**
 * Tracks suspects: requests that were in flight when an upstream ended, and so may be poison
 * requests that crash every upstream they run on. Entry processes exchange their observations.
 *
 * docs/design/upstream-ends.md lists how upstreams end, and what is concluded.
 */
public class SharedSuspects(
    private val clock: MonotonicClock,
    private val events: EventLog,
    private val wake: () -> Unit
) {
    private val tracker = SuspectTracker(SUSPECT_RETENTION_MILLIS, MAX_SUSPECTS, MAX_ENDS)
    private var state = SuspectState()
    private val unsent = mutableListOf<SuspectReport>()
    private val unsentCleared = linkedSetOf<String>()

    /** Sends without an answer, oldest first; evidence if their upstream turns out to have ended. */
    private val broken = ArrayDeque<BrokenSend>()

    /** Starts that have ended, and how many requests of this process were in flight there. */
    private val ended = LinkedHashMap<UpstreamStart, Ended>()

    private class BrokenSend(val send: SuspectSend, val atMillis: Long)

    private class Ended(val inFlight: Int, val atMillis: Long)

    /** Returns a hash that is the same for all repetitions of a request by the same workspace. */
    public fun fingerprint(request: CallerRequest, workspace: ServingWorkspace?): String =
        hash.newHasher()
            .putUnencodedChars(workspace?.name.orEmpty())
            .putChar('\n')
            .putUnencodedChars(request.uri)
            .putChar('\n')
            .putBytes(request.body.bytes)
            .hash().toString()

    /** Returns how requests with [fingerprint] may be processed. */
    public fun verdict(fingerprint: String): SuspectVerdict = if (state.suspects.isEmpty()) {
        SuspectVerdict.CLEAR
    } else {
        tracker.judge(state, fingerprint, clock.nowMillis())
    }

    /** Whether an upstream has ended under [fingerprint], so that another end would tell more. */
    public fun isSuspect(fingerprint: String): Boolean = fingerprint in state.suspects

    /**
     * Records that the upstream closed the connection of [send], or was silent for long, without an
     * answer. This alone may be a fault of that one answer; the request becomes a suspect if the
     * upstream turns out to have ended.
     */
    public fun recordBroken(send: SuspectSend) {
        val nowMillis = clock.nowMillis()
        val known = ended[send.start]
        if (known != null && send.sentAtMillis <= known.atMillis) {
            return suspect(send, maxOf(known.inFlight, send.inFlight))
        }
        forgetOld(nowMillis)
        broken += BrokenSend(send, nowMillis)
        if (broken.size > MAX_BROKEN_SENDS) broken.removeFirst()
    }

    /**
     * Records that the upstream of [send], and not others of its service, has been silent since. It
     * counts as ended until it answers what is sent to it later.
     */
    public fun recordSilent(send: SuspectSend) {
        if (send.start in ended) return recordBroken(send)
        recordBroken(send)
        suspect(send, send.inFlight, isProved = false)
    }

    /**
     * Records that [start] has ended: it refuses connections, or another start has taken its place.
     * The requests that it did not answer become suspects.
     */
    public fun recordEnded(start: UpstreamStart) {
        if (start in ended) return
        val nowMillis = clock.nowMillis()
        forgetOld(nowMillis)
        val sends = broken.filter { it.send.start == start }.map { it.send }
        // They were in flight together, though their ends were noticed one after the other.
        val inFlight = maxOf(sends.size, sends.maxOfOrNull { it.inFlight } ?: 0)
        ended[start] = Ended(inFlight, nowMillis)
        broken.removeAll { it.send.start == start }
        sends.forEach { suspect(it, inFlight) }
    }

    /** Records that [start] has answered a request that was sent at [sentAtMillis]. */
    public fun recordAnswer(start: UpstreamStart, sentAtMillis: Long) {
        if (broken.isNotEmpty()) {
            broken.removeAll { it.send.start == start && it.atMillis < sentAtMillis }
        }
        if (state.suspects.isEmpty()) return
        state = tracker.heard(state, start.crashId, sentAtMillis)
    }

    /** Records that a request with [fingerprint] was completed. */
    public fun recordCompleted(fingerprint: String) {
        if (fingerprint !in state.suspects) return
        cleared(fingerprint)
        unsent.removeAll { it.fingerprint == fingerprint }
        unsentCleared += fingerprint
        wake()
    }

    /** Records an end that another entry process has reported. */
    public fun reported(report: SuspectReport) {
        val id = CrashId(report.upstream, report.startedAtEpochMillis)
        val atMillis = clock.nowMillis() - report.ageMillis
        record(report.fingerprint, id, report.inFlight, atMillis, !report.isUnproved)
    }

    /** Records that another entry process has seen a request with [fingerprint] completed. */
    public fun cleared(fingerprint: String) {
        state = tracker.finished(state, fingerprint)
    }

    /** Returns and clears the reports that the other entry processes have not received yet. */
    public fun takeUnsent(): List<SuspectReport> = unsent.toList().also { unsent.clear() }

    /** Returns and clears the fingerprints that other processes do not know to be completed. */
    public fun takeUnsentCleared(): List<String> =
        unsentCleared.toList().also { unsentCleared.clear() }

    /** Returns reports of all requests that are refused, or nearly so, for a process that joins. */
    public fun known(): List<SuspectReport> = state.suspects
        .filterValues { it.ends.size >= MIN_KNOWN_ENDS }
        .flatMap { (fingerprint, suspicion) ->
            suspicion.ends.map { (id, end) ->
                val inFlight = (1 / end.weight).toInt()
                message(fingerprint, id, inFlight, end.isProved, end.atMillis)
            }
        }

    /** Has all that [known] returns returned by the next [takeUnsent]. */
    public fun markUnsent() {
        unsent += known()
    }

    private fun suspect(send: SuspectSend, inFlight: Int, isProved: Boolean = true) {
        val nowMillis = clock.nowMillis()
        val id = send.start.crashId
        record(send.fingerprint, id, inFlight, nowMillis, isProved)
        unsent += message(send.fingerprint, id, inFlight, isProved, nowMillis)
        wake()
    }

    private fun record(
        fingerprint: String,
        id: CrashId,
        inFlight: Int,
        atMillis: Long,
        isProved: Boolean
    ) {
        val wasRefused = verdict(fingerprint) == SuspectVerdict.REFUSE
        state = tracker.crashed(state, fingerprint, id, inFlight, atMillis, isProved)
        if (wasRefused || verdict(fingerprint) != SuspectVerdict.REFUSE) return
        val suspicion = state.suspects.getValue(fingerprint)
        events.write(
            "request-blamed",
            "fingerprint" to fingerprint,
            "upstreams" to suspicion.ends.keys.joinToString(",") { it.upstream },
            "unproved" to suspicion.ends.values.count { !it.isProved },
            "weight" to suspicion.weight
        )
    }

    private fun message(
        fingerprint: String,
        id: CrashId,
        inFlight: Int,
        isProved: Boolean,
        atMillis: Long
    ): SuspectReport = SuspectReport.newBuilder().setFingerprint(fingerprint)
        .setUpstream(id.upstream).setStartedAtEpochMillis(id.startedAtEpochMillis)
        .setInFlight(inFlight).setIsUnproved(!isProved)
        .setAgeMillis(clock.nowMillis() - atMillis).build()

    private fun forgetOld(nowMillis: Long) {
        while (broken.isNotEmpty() &&
            nowMillis - broken.first().atMillis > BROKEN_RETENTION_MILLIS
        ) {
            broken.removeFirst()
        }
        ended.values.removeIf { nowMillis - it.atMillis > ENDED_RETENTION_MILLIS }
    }

    private val UpstreamStart.crashId: CrashId get() = CrashId(id, startedAtEpochMillis ?: 0)

    private companion object {
        const val SUSPECT_RETENTION_MILLIS = 60_000L

        /** An upstream that ended is back, as another start, well within this time. */
        const val BROKEN_RETENTION_MILLIS = 30_000L
        const val ENDED_RETENTION_MILLIS = 60_000L
        const val MAX_SUSPECTS = 2_000
        const val MAX_BROKEN_SENDS = 4_000

        /** The ends that the users allow before their bound on further sends holds. */
        const val MAX_ENDS = 3

        /** A single end is news that any later one repeats. */
        const val MIN_KNOWN_ENDS = 2
        val hash = Hashing.murmur3_128()
    }
}
