package cactusfold.entry.upstream

import cactusfold.decisions.fleet.ReadPace

/**
 * State of the upstreams as one coordinator counts it.
 *
 * @property fence fencing token of the coordinator, within which [number] can be compared.
 */
public data class UpstreamsRevision(public val fence: Long, public val number: Long)

/** How often a process reads the upstreams' rows, by its role in the fleet. */
public sealed interface UpstreamPolling {
    /** How long the store waits for a change before it answers. */
    public val waitMillis: Long

    /** Number of processes that may read at the same time; null if it is not known. */
    public val members: Int? get() = null

    /** When the role has to be looked at again, if it may change without an event. */
    public val validUntilMillis: Long get() = Long.MAX_VALUE

    /** Returns when to read after a read at [readAtMillis]; [isOutdated] if rows have changed. */
    public fun nextReadMillis(readAtMillis: Long, isOutdated: Boolean): Long

    /** The coordinator notices changes for the whole fleet. */
    public data object Coordinator : UpstreamPolling {
        override val waitMillis: Long get() = COORDINATOR_WAIT_MILLIS

        override fun nextReadMillis(readAtMillis: Long, isOutdated: Boolean): Long =
            readAtMillis + COORDINATOR_MILLIS
    }

    /** The coordinator passes rows on, so that nothing is read before [untilMillis]. */
    public data class Following(public val untilMillis: Long) : UpstreamPolling {
        override val waitMillis: Long get() = 0

        override fun nextReadMillis(readAtMillis: Long, isOutdated: Boolean): Long = untilMillis
    }

    /**
     * The coordinator has not read the rows yet, or is of a version that only announces changes;
     * its members read the rows then.
     */
    public data class Member(
        override val validUntilMillis: Long,
        override val members: Int? = null
    ) : UpstreamPolling {
        override val waitMillis: Long get() = 0

        override fun nextReadMillis(readAtMillis: Long, isOutdated: Boolean): Long =
            readAtMillis + if (isOutdated) MIN_MEMBER_MILLIS else ReadPace.rowsMillis(members)
    }

    /**
     * Without a coordinator, or with one that cannot read the store, each process notices changes
     * itself.
     */
    public data class Detached(override val members: Int? = null) : UpstreamPolling {
        override val waitMillis: Long get() = DETACHED_WAIT_MILLIS

        override fun nextReadMillis(readAtMillis: Long, isOutdated: Boolean): Long =
            readAtMillis + ReadPace.rowsMillis(members)
    }

    private companion object {
        const val COORDINATOR_MILLIS = 400L

        /** A read proves the state at its beginning, so a long one confirms rows too late. */
        const val COORDINATOR_WAIT_MILLIS = 100L
        const val DETACHED_WAIT_MILLIS = 1_000L

        /** Many upstreams change together when a service is replaced; one read covers several. */
        const val MIN_MEMBER_MILLIS = 500L
    }
}
