package cactusfold.decisions.suspect

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * The end of an upstream under a request.
 *
 * @property weight 1/(in-flight requests of the upstream), the share of the request in it.
 * @property isProved whether the upstream has ended, rather than fallen silent.
 * @property atMillis when it was observed first.
 */
public data class SuspectEnd(
    public val weight: Double,
    public val isProved: Boolean,
    public val atMillis: Long
)

/**
 * How likely a request is a poison request, one that crashes the upstreams that process it.
 *
 * @property ends upstreams that ended while the request was in flight on them, since it was last
 *   completed.
 */
public data class Suspicion(public val ends: PersistentMap<CrashId, SuspectEnd>) {
    /** Sum of the weights of all ends. */
    public val weight: Double get() = ends.values.sumOf { it.weight }

    /** Time of the last end. */
    public val lastAtMillis: Long get() = ends.values.maxOf { it.atMillis }
}

/** How a request may be processed. */
public enum class SuspectVerdict { CLEAR, RUN_ALONE, REFUSE }

/** Suspected poison requests by fingerprint, bounded in number. */
public data class SuspectState(
    public val suspects: PersistentMap<String, Suspicion> = persistentMapOf()
)

/**
 * Tracks suspects: requests that were in flight on an upstream when it ended. Peers share them by
 * fingerprint, and the end of one start of an upstream counts once.
 *
 * A suspect is refused after at least two ends whose weights add up to one or more, for example if
 * one of them happened while it ran alone; and after [maxEnds] whatever else ran, since it was
 * completed nowhere in between. A request that only shared upstreams with a poison request is
 * completed by the others, which clears it. The refusal lasts for [retentionMillis], and twice as
 * long after each further end.
 *
 * @param maxEnds null if suspects are run alone, so that a further end can be attributed to them.
 */
public class SuspectTracker(
    private val retentionMillis: Long,
    private val maxSuspects: Int,
    private val maxEnds: Int? = null
) {

    /** Records the end [id] of an upstream with [inFlight] requests, including [fingerprint]. */
    public fun crashed(
        state: SuspectState,
        fingerprint: String,
        id: CrashId,
        inFlight: Int,
        nowMillis: Long,
        isProved: Boolean = true
    ): SuspectState {
        val before = state.suspects[fingerprint]?.ends ?: persistentMapOf()
        val known = before[id]
        val end = SuspectEnd(
            weight = minOf(1.0 / inFlight.coerceAtLeast(1), known?.weight ?: 1.0),
            isProved = isProved || known?.isProved ?: false,
            atMillis = known?.atMillis ?: nowMillis
        )
        val suspicion = Suspicion(before.put(id, end))
        return evict(SuspectState(state.suspects.put(fingerprint, suspicion)), nowMillis)
    }

    /** Removes [fingerprint] from the suspects because the request completed. */
    public fun finished(state: SuspectState, fingerprint: String): SuspectState =
        if (fingerprint in state.suspects) {
            SuspectState(state.suspects.remove(fingerprint))
        } else {
            state
        }

    /** Takes back that [id] ended before [sentAtMillis], as it answered what was sent then. */
    public fun heard(state: SuspectState, id: CrashId, sentAtMillis: Long): SuspectState {
        val wrong = state.suspects.filterValues { suspicion ->
            suspicion.ends[id]?.let { !it.isProved && it.atMillis < sentAtMillis } ?: false
        }
        return SuspectState(
            wrong.entries.fold(state.suspects) { map, (fingerprint, suspicion) ->
                val ends = suspicion.ends.remove(id)
                if (ends.isEmpty()) {
                    map.remove(
                        fingerprint
                    )
                } else {
                    map.put(fingerprint, Suspicion(ends))
                }
            }
        )
    }

    /** Returns how a request with [fingerprint] may be processed. */
    public fun judge(state: SuspectState, fingerprint: String, nowMillis: Long): SuspectVerdict {
        val suspicion = state.suspects[fingerprint] ?: return SuspectVerdict.CLEAR
        val ageMillis = nowMillis - suspicion.lastAtMillis
        val count = suspicion.ends.size
        return when {
            isRefusable(suspicion) && ageMillis < refusedMillis(count) -> SuspectVerdict.REFUSE
            ageMillis >= retentionMillis -> SuspectVerdict.CLEAR
            else -> SuspectVerdict.RUN_ALONE
        }
    }

    private fun isRefusable(suspicion: Suspicion): Boolean {
        val count = suspicion.ends.size
        return maxEnds != null &&
            count >= maxEnds ||
            count >= MIN_CRASHES &&
            suspicion.weight >= MIN_WEIGHT
    }

    private fun refusedMillis(ends: Int): Long {
        val further = ends - (maxEnds ?: return retentionMillis)
        return retentionMillis shl further.coerceIn(0, MAX_DOUBLINGS)
    }

    private fun evict(state: SuspectState, nowMillis: Long): SuspectState {
        if (state.suspects.size <= maxSuspects) return state
        val oldest = state.suspects.entries.minBy { it.value.lastAtMillis }.key
        val expired = state.suspects.filterValues {
            nowMillis - it.lastAtMillis >= retentionMillis shl MAX_DOUBLINGS
        }.keys
        return SuspectState((expired + oldest).fold(state.suspects) { map, key -> map.remove(key) })
    }

    private companion object {
        const val MIN_CRASHES = 2
        const val MIN_WEIGHT = 1.0
        const val MAX_DOUBLINGS = 3
    }
}
