package cactusfold.entry.upstream

import cactusfold.decisions.rate.RowReading
import cactusfold.ports.serving.UpstreamEntry

/** Follows the reads of the upstreams' rows. */
public interface UpstreamRowListener {
    /** A read begins. */
    public fun readBegun()

    /** The row of [entry] was read, after the directory has applied it. */
    public fun rowRead(entry: UpstreamEntry, row: RowReading)

    /** All rows are known as of a read that began at [begunAtMillis]. */
    public fun allRead(begunAtMillis: Long)
}
