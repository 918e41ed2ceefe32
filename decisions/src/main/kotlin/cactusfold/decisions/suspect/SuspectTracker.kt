package cactusfold.decisions.suspect

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * How strongly one request is suspected of crashing upstreams.
 *
 * @property weight sum over crashes of 1/(requests in flight on the crashed upstream).
 * @property crashes upstreams lost while the request was in flight on them.
 */
public data class Suspicion(
    public val weight: Double,
    public val crashes: Int,
    public val lastAtMillis: Long
)

/** What may be done with a request. */
public enum class SuspectVerdict { CLEAR, RUN_ALONE, REFUSE }

/** Fingerprints of requests that were in flight when an upstream crashed, bounded in number. */
public data class SuspectState(
    public val suspects: PersistentMap<String, Suspicion> = persistentMapOf()
)

/** Judges requests by the crashes that they were part of; shared between peers by fingerprint. */
public class SuspectTracker(private val retentionMillis: Long, private val maxSuspects: Int) {

    /** Books a crash with [inFlight] requests, [fingerprint] among them. */
    public fun crashed(
        state: SuspectState,
        fingerprint: String,
        inFlight: Int,
        nowMillis: Long
    ): SuspectState {
        val before = state.suspects[fingerprint] ?: Suspicion(0.0, 0, nowMillis)
        val weight = before.weight + 1.0 / inFlight.coerceAtLeast(1)
        val after = Suspicion(weight, before.crashes + 1, nowMillis)
        return forget(SuspectState(state.suspects.put(fingerprint, after)), nowMillis)
    }

    /** Clears [fingerprint]: it ran to its end. */
    public fun finished(state: SuspectState, fingerprint: String): SuspectState =
        if (fingerprint in state.suspects) {
            SuspectState(state.suspects.remove(fingerprint))
        } else {
            state
        }

    /** Returns what may be done with a request of [fingerprint]. */
    public fun judge(state: SuspectState, fingerprint: String, nowMillis: Long): SuspectVerdict {
        val suspicion = state.suspects[fingerprint] ?: return SuspectVerdict.CLEAR
        return when {
            nowMillis - suspicion.lastAtMillis >= retentionMillis -> SuspectVerdict.CLEAR
            suspicion.crashes >= MAX_CRASHES && suspicion.weight >= CERTAIN -> SuspectVerdict.REFUSE
            else -> SuspectVerdict.RUN_ALONE
        }
    }

    private fun forget(state: SuspectState, nowMillis: Long): SuspectState {
        if (state.suspects.size <= maxSuspects) return state
        val oldest = state.suspects.entries.minBy { it.value.lastAtMillis }.key
        val expired = state.suspects.filterValues {
            nowMillis - it.lastAtMillis >= retentionMillis
        }.keys
        return SuspectState((expired + oldest).fold(state.suspects) { map, key -> map.remove(key) })
    }

    private companion object {
        const val MAX_CRASHES = 2
        const val CERTAIN = 1.0
    }
}
