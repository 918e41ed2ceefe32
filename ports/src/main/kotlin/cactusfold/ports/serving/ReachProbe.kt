package cactusfold.ports.serving

/** Finds out whether an upstream is reached. */
public fun interface ReachProbe {
    /**
     * Connects to [upstream], without the use of a kept connection, and waits for data.
     *
     * @param asks whether the upstream may be asked for data; if not, a connection that stays open
     *   for a moment is enough.
     */
    public suspend fun probe(upstream: UpstreamEntry, asks: Boolean): ReachProbeEnd
}

/** How a probe ended. */
public enum class ReachProbeEnd {
    /** The upstream sent data, or kept the connection open if it was not asked for any. */
    ANSWERED,

    /** The connection was refused, or closed before any data. */
    REFUSED,

    /** Nothing happened in time. */
    SILENT
}
