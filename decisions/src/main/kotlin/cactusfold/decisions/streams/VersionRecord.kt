package cactusfold.decisions.streams

import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toImmutableMap

/**
 * The software versions at which streams of one service may have begun. A version is recorded
 * before the first stream begins there. Times are those of the store's clock.
 *
 * @property goneSinceMillis for each version since when no upstream has it; null while one has.
 * @property completeSinceMillis since when the record has contained each version that served.
 */
public data class VersionRecord(
    public val goneSinceMillis: ImmutableMap<String, Long?>,
    public val completeSinceMillis: Long
) {
    /**
     * The versions at which streams may begin. One that is gone is not among them, also if it has
     * returned, before the record says so; else streams might begin there after it was dropped.
     */
    public val serving: Set<String> get() = goneSinceMillis.filterValues { it == null }.keys

    /**
     * Returns the record after upstreams of the versions [serving] were seen. Versions that have
     * been gone for [keptMillis], for which callers may return to a stream, are dropped.
     */
    public fun seen(serving: Set<String>, nowMillis: Long, keptMillis: Long): VersionRecord {
        val kept = keptVersions(nowMillis, keptMillis).associateWith { version ->
            if (version in serving) null else goneSinceMillis[version] ?: nowMillis
        }
        val all = kept + serving.associateWith { null }
        return if (all == goneSinceMillis) this else copy(goneSinceMillis = all.toImmutableMap())
    }

    /** Whether the record contains each version of streams to which callers may still return. */
    public fun isComplete(nowMillis: Long, keptMillis: Long): Boolean =
        nowMillis - completeSinceMillis >= keptMillis

    /** Returns the versions of streams to which callers may still return. */
    public fun keptVersions(nowMillis: Long, keptMillis: Long): List<String> =
        goneSinceMillis.filterValues { it == null || nowMillis - it < keptMillis }.keys.toList()

    public companion object {
        /** Returns the record of a service of whose past nothing is known. */
        public fun unknownBefore(nowMillis: Long): VersionRecord =
            VersionRecord(persistentMapOf(), nowMillis)
    }
}
