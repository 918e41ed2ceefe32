package cactusfold.ports.table

/** A row that was written, or deleted if [value] is null. */
public data class RowChange(
    public val sort: String,
    public val version: Long,
    public val value: ByteArray?
) {
    override fun equals(other: Any?): Boolean =
        other is RowChange && sort == other.sort && version == other.version

    override fun hashCode(): Int = sort.hashCode() * HASH_FACTOR + version.hashCode()

    private companion object {
        const val HASH_FACTOR = 31
    }
}

/** The result of reading a table or its changes. */
public sealed interface FeedResult {
    /**
     * The rows or changes that were read.
     *
     * @property position from which the next call of [ChangeFeed.changes] continues.
     * @property era rises when the store loses recent writes; a position of an earlier era means
     *   nothing.
     * @property nowMillis the store's clock, which is steady; null if the store does not state it.
     */
    public data class Changes(
        public val rows: List<RowChange>,
        public val position: Long,
        public val era: Long = 0,
        public val nowMillis: Long? = null
    ) : FeedResult

    /** The changes after the position are no longer retained; a new snapshot is required. */
    public data object HistoryGone : FeedResult

    /** The store did not respond, or responded with an error. */
    public data class Unavailable(public val reason: String) : FeedResult
}

/** Change feed of the platform's store: a snapshot of a table and then its changes. */
public interface ChangeFeed {
    /**
     * Returns all rows of [table]. Together with the changes after the returned position, which may
     * repeat some of them, they amount to the current state.
     */
    public suspend fun snapshot(table: String): FeedResult

    /** Returns the changes of [table] after [position]; waits up to [waitMillis] for the first. */
    public suspend fun changes(table: String, position: Long, waitMillis: Long): FeedResult
}
