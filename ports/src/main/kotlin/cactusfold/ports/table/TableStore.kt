package cactusfold.ports.table

import com.google.protobuf.ByteString

/** The key of a row. The rows of a [partition] are ordered by [sort]. */
public data class RowKey(public val partition: String, public val sort: String)

/** A row. [version] starts at 1 and increases with each write. */
public data class Row(
    public val key: RowKey,
    public val version: Long,
    public val value: ByteString
)

/** A conditional write of a transaction. */
public sealed interface RowWrite {
    public val key: RowKey

    /** Creates the row if it does not exist. */
    public data class Insert(override val key: RowKey, public val value: ByteString) : RowWrite

    /** Replaces the row if it has the expected version. */
    public data class Replace(
        override val key: RowKey,
        public val expectedVersion: Long,
        public val value: ByteString
    ) : RowWrite

    /** Deletes the row if it has the expected version. */
    public data class Delete(override val key: RowKey, public val expectedVersion: Long) : RowWrite

    /** Writes nothing, but fails the transaction unless the row has the expected version. */
    public data class Check(override val key: RowKey, public val expectedVersion: Long) : RowWrite
}

/** The result of a read. */
public sealed interface ReadResult<out A> {
    /**
     * The read succeeded.
     *
     * @property era rises when the store loses recent writes, and versions are then given out
     *   again; a version of an earlier era means nothing. Always 0 with stores that lose nothing.
     */
    public data class Found<A>(public val value: A, public val era: Long = 0) : ReadResult<A>

    /** The store did not respond, or responded with an error. */
    public data class Unavailable(public val reason: String) : ReadResult<Nothing>
}

/** The result of a transaction. */
public sealed interface WriteResult {
    /**
     * All writes took effect. [version] is that of the rows; null if the store does not report it.
     * The conditions were met in [era], perhaps by other writes than the caller has read.
     */
    public data class Written(public val version: Long? = null, public val era: Long = 0) :
        WriteResult

    /** No write took effect: the condition of the write at [index] was not met. */
    public data class Conflict(public val index: Int) : WriteResult

    /** No write took effect or ever will. */
    public data class NotWritten(public val reason: String) : WriteResult

    /** The writes may have taken effect or may still do so. Only a read of the rows can tell. */
    public data class Unknown(public val reason: String) : WriteResult
}

/** A transactional table store with consistent reads. */
public interface TableStore {
    /** Returns the row at [key], or null if there is none. */
    public suspend fun get(key: RowKey): ReadResult<Row?>

    /** Returns up to [limit] rows of [partition] whose sort key is after [after], in order. */
    public suspend fun list(
        partition: String,
        after: String = "",
        limit: Int = DEFAULT_LIMIT
    ): ReadResult<List<Row>>

    /** Performs all of [writes] in one transaction, or none. */
    public suspend fun write(writes: List<RowWrite>): WriteResult

    public companion object {
        /** Default maximum number of rows that [list] returns. */
        public const val DEFAULT_LIMIT: Int = 1_000
    }
}
