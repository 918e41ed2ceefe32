package cactusfold.entry.upstream

/**
 * State of the upstreams as one coordinator counts it.
 *
 * @property fence fencing token of the coordinator, within which [number] can be compared.
 */
public data class UpstreamsRevision(public val fence: Long, public val number: Long)

/** How often a process reads the upstreams' rows, by its role in the fleet. */
public sealed interface UpstreamPolling {
    /** Returns the interval between two reads; [isOutdated] if the rows are known to differ. */
    public fun intervalMillis(isOutdated: Boolean): Long

    /** The coordinator notices changes for the whole fleet. */
    public data object Coordinator : UpstreamPolling {
        override fun intervalMillis(isOutdated: Boolean): Long = COORDINATOR_MILLIS
    }

    /** The coordinator announces changes to its members, which read the rows then. */
    public data object Member : UpstreamPolling {
        override fun intervalMillis(isOutdated: Boolean): Long =
            if (isOutdated) MIN_MEMBER_MILLIS else MAX_MEMBER_MILLIS
    }

    /**
     * Without a coordinator, or with one that cannot read the store, each process notices changes
     * itself.
     */
    public data object Detached : UpstreamPolling {
        override fun intervalMillis(isOutdated: Boolean): Long = DETACHED_MILLIS
    }

    private companion object {
        const val COORDINATOR_MILLIS = 400L
        const val DETACHED_MILLIS = 800L

        /** Many upstreams change together when a service is replaced; one read covers several. */
        const val MIN_MEMBER_MILLIS = 500L
        const val MAX_MEMBER_MILLIS = 10_000L
    }
}
