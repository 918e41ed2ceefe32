package cactusfold.ports.table

import com.google.protobuf.ByteString

/** The place of a row: rows of one [partition] are ordered by [sort]. */
public data class RowKey(public val partition: String, public val sort: String)

/** A row. [version] begins at 1 and rises with each write. */
public data class Row(
    public val key: RowKey,
    public val version: Long,
    public val value: ByteString
)

/** One write of a transaction, with its condition. */
public sealed interface RowWrite {
    public val key: RowKey

    /** Creates the row, on condition that there is none. */
    public data class Insert(override val key: RowKey, public val value: ByteString) : RowWrite

    /** Replaces the row, on condition of its version. */
    public data class Replace(
        override val key: RowKey,
        public val expectedVersion: Long,
        public val value: ByteString
    ) : RowWrite

    /** Deletes the row, on condition of its version. */
    public data class Delete(override val key: RowKey, public val expectedVersion: Long) : RowWrite

    /** Writes nothing; the transaction fails unless the row has the version. */
    public data class Check(override val key: RowKey, public val expectedVersion: Long) : RowWrite
}

/** The outcome of a read. */
public sealed interface ReadResult<out A> {
    /** The store answered. */
    public data class Found<A>(public val value: A) : ReadResult<A>

    /** The store did not answer, or refused for now. */
    public data class Unavailable(public val reason: String) : ReadResult<Nothing>
}

/** The outcome of a transaction. */
public sealed interface WriteResult {
    /** All of it took effect; [version] is that of the rows, where the store tells it. */
    public data class Written(public val version: Long? = null) : WriteResult

    /** None of it took effect: the condition of write number [index] did not hold. */
    public data class Conflict(public val index: Int) : WriteResult

    /** None of it took effect, and it never will. */
    public data class NotWritten(public val reason: String) : WriteResult

    /** It may have taken effect, or may yet. Only reading back tells. */
    public data class Unknown(public val reason: String) : WriteResult
}

/** The platform's transactional table service. Reads are consistent. */
public interface TableStore {
    /** Returns the row at [key], or null. */
    public suspend fun get(key: RowKey): ReadResult<Row?>

    /** Returns up to [limit] rows of [partition] after [after], in order. */
    public suspend fun list(
        partition: String,
        after: String = "",
        limit: Int = DEFAULT_LIMIT
    ): ReadResult<List<Row>>

    /** Carries out all of [writes] or none. */
    public suspend fun write(writes: List<RowWrite>): WriteResult

    public companion object {
        /** Rows that [list] returns at most when nothing else is said. */
        public const val DEFAULT_LIMIT: Int = 1_000
    }
}
