package cactusfold.decisions.suspect

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * How likely a request is a poison request, one that crashes the upstreams that process it.
 *
 * @property weight sum of 1/(in-flight requests of the crashed upstream) over all crashes.
 * @property crashes number of upstreams that crashed while the request was in flight on them.
 * @property lastAtMillis time of the last crash.
 */
public data class Suspicion(
    public val weight: Double,
    public val crashes: Int,
    public val lastAtMillis: Long
)

/** How a request may be processed. */
public enum class SuspectVerdict { CLEAR, RUN_ALONE, REFUSE }

/** Suspected poison requests by fingerprint, bounded in number. */
public data class SuspectState(
    public val suspects: PersistentMap<String, Suspicion> = persistentMapOf()
)

/**
 * Tracks suspects: requests that were in flight on an upstream when it crashed. Peers share them by
 * fingerprint.
 *
 * A suspect is run alone, so that a further crash can be attributed to it. It is refused after at
 * least two crashes whose weights add up to one or more, for example if one of them happened while
 * it ran alone. A request that only shared upstreams with a poison request continues to be served.
 */
public class SuspectTracker(private val retentionMillis: Long, private val maxSuspects: Int) {

    /** Records the crash of an upstream with [inFlight] requests, including [fingerprint]. */
    public fun crashed(
        state: SuspectState,
        fingerprint: String,
        inFlight: Int,
        nowMillis: Long
    ): SuspectState {
        val before = state.suspects[fingerprint] ?: Suspicion(0.0, 0, nowMillis)
        val weight = before.weight + 1.0 / inFlight.coerceAtLeast(1)
        val after = Suspicion(weight, before.crashes + 1, nowMillis)
        return evict(SuspectState(state.suspects.put(fingerprint, after)), nowMillis)
    }

    /** Removes [fingerprint] from the suspects because the request completed. */
    public fun finished(state: SuspectState, fingerprint: String): SuspectState =
        if (fingerprint in state.suspects) {
            SuspectState(state.suspects.remove(fingerprint))
        } else {
            state
        }

    /** Returns how a request with [fingerprint] may be processed. */
    public fun judge(state: SuspectState, fingerprint: String, nowMillis: Long): SuspectVerdict {
        val suspicion = state.suspects[fingerprint] ?: return SuspectVerdict.CLEAR
        return when {
            nowMillis - suspicion.lastAtMillis >= retentionMillis -> SuspectVerdict.CLEAR
            suspicion.crashes >= MIN_CRASHES && suspicion.weight >= MIN_WEIGHT ->
                SuspectVerdict.REFUSE
            else -> SuspectVerdict.RUN_ALONE
        }
    }

    private fun evict(state: SuspectState, nowMillis: Long): SuspectState {
        if (state.suspects.size <= maxSuspects) return state
        val oldest = state.suspects.entries.minBy { it.value.lastAtMillis }.key
        val expired = state.suspects.filterValues {
            nowMillis - it.lastAtMillis >= retentionMillis
        }.keys
        return SuspectState((expired + oldest).fold(state.suspects) { map, key -> map.remove(key) })
    }

    private companion object {
        const val MIN_CRASHES = 2
        const val MIN_WEIGHT = 1.0
    }
}
