package cactusfold.ports.table

/** A row that was written, or deleted when [value] is null. */
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

/** The outcome of reading a table or what changed in it. */
public sealed interface FeedResult {
    /**
     * The store answered.
     *
     * @property position where the next call goes on.
     */
    public data class Changes(public val rows: List<RowChange>, public val position: Long) :
        FeedResult

    /** The changes after the position are no longer kept; the table has to be read anew. */
    public data object HistoryGone : FeedResult

    /** The store did not answer, or refused for now. */
    public data class Unavailable(public val reason: String) : FeedResult
}

/** Tables of the platform's store, read whole once and then followed. */
public interface ChangeFeed {
    /** Returns all rows of [table] as of one moment. */
    public suspend fun snapshot(table: String): FeedResult

    /** Returns what changed in [table] after [position], waiting up to [waitMillis] for a change. */
    public suspend fun changes(table: String, position: Long, waitMillis: Long): FeedResult
}
