package cactusfold.entry.upstream

import cactusfold.decisions.fleet.RowsRead
import cactusfold.ports.serving.UpstreamEntry
import cactusfold.ports.table.RowChange

/** The row of a registered upstream, as it was read or passed on, and what it states. */
public class RegisteredRow(public val entry: UpstreamEntry, public val row: RowChange)

/** Is told by a process that reads the rows of upstreams itself what has changed. */
public interface UpstreamRowListener {
    /** The upstream has written its row. */
    public fun registered(row: RegisteredRow)

    /** The registration of [upstream] has ended. */
    public fun ended(upstream: String)

    /** A read has ended, and all that it contains was told. */
    public fun readCompleted()
}

/**
 * A read of the rows by this process.
 *
 * @property beganAtMillis when the read was sent.
 */
public class CompletedRead(public val read: RowsRead, public val beganAtMillis: Long)

/**
 * Rows that the coordinator has passed on.
 *
 * @property rows changed rows; all if [isFull].
 * @property read the coordinator's last read when it sent them.
 * @property beganAtMillis a time on this process's clock, no later than the sending of that read;
 *   null if it is not known.
 * @property isComplete whether no row was missing at the coordinator that may return.
 */
public class RowNews(
    public val rows: List<RowChange>,
    public val isFull: Boolean,
    public val read: RowsRead,
    public val beganAtMillis: Long?,
    public val isComplete: Boolean
)
