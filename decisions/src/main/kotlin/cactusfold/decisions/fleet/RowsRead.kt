package cactusfold.decisions.fleet

/**
 * How far a reader has followed the changes of a table.
 *
 * @property era the store's era; positions of two eras cannot be compared.
 * @property position the version up to which changes are contained.
 */
public data class RowsRead(public val era: Long, public val position: Long) {
    /** Whether this read contains all that [other] contains. */
    public fun covers(other: RowsRead): Boolean = if (era == other.era) {
        position >= other.position
    } else {
        era > other.era
    }
}

/**
 * Decides which of the rows that the coordinator passes on a member applies. The member may have
 * read the table itself before, and then the coordinator may be behind.
 */
public object RelayedRows {
    /** Whether rows of the coordinator's read [relayed] may be used by a reader that has [own]. */
    public fun isUsable(own: RowsRead?, relayed: RowsRead): Boolean =
        own == null || relayed.era >= own.era

    /** Whether the row, or its end, at [version] is not contained in [own] already. */
    public fun applies(own: RowsRead?, relayed: RowsRead, version: Long): Boolean =
        own == null || relayed.era > own.era || version > own.position

    /** Whether upstreams without a row in the complete set of [relayed] have no registration. */
    public fun provesAbsence(own: RowsRead?, relayed: RowsRead): Boolean =
        own == null || relayed.covers(own)

    /**
     * Returns from where the member continues when it reads the changes itself; null if it needs a
     * snapshot, since rows of [relayed] were missing that may return.
     */
    public fun continuation(own: RowsRead?, relayed: RowsRead, isComplete: Boolean): RowsRead? =
        when {
            own != null && own.covers(relayed) -> own
            isComplete -> relayed
            else -> null
        }
}
