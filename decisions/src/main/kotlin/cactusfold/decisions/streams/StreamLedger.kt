package cactusfold.decisions.streams

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * A stream, which is known until no caller can return to it.
 *
 * @property origin where it began; null if that is uncertain, so that it cannot go on.
 */
public data class KnownStream(public val origin: StreamOrigin?, public val expiresAtMillis: Long)

/** The streams whose origin is known, by the id of the request that brought their first event. */
public data class StreamLedger(
    private val streams: PersistentMap<String, KnownStream> = persistentMapOf()
) {
    /** Number of streams. */
    public val size: Int get() = streams.size

    /** The ids of all streams. */
    public val ids: Set<String> get() = streams.keys

    /** Returns the stream that began with request [id], or null. */
    public fun find(id: String): KnownStream? = streams[id]

    /** Adds [stream]. One that is known already with another origin, or with none, is uncertain. */
    public fun with(id: String, stream: KnownStream): StreamLedger {
        val known = streams[id] ?: return StreamLedger(streams.put(id, stream))
        val merged = KnownStream(
            known.origin.takeIf { it == stream.origin },
            maxOf(known.expiresAtMillis, stream.expiresAtMillis)
        )
        return if (merged == known) this else StreamLedger(streams.put(id, merged))
    }

    /** Removes the streams to which no caller can return any more. */
    public fun withoutExpired(nowMillis: Long): StreamLedger {
        val expired = streams.filterValues { it.expiresAtMillis <= nowMillis }.keys
        if (expired.isEmpty()) return this
        return StreamLedger(streams.mutate { it -= expired })
    }

    private fun PersistentMap<String, KnownStream>.mutate(
        change: (MutableMap<String, KnownStream>) -> Unit
    ): PersistentMap<String, KnownStream> = builder().also(change).build()
}
