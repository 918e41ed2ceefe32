package cactusfold.entry.upstream

import cactusfold.decisions.fleet.RowsRead
import cactusfold.decisions.rate.RowReading
import cactusfold.decisions.rate.RowVersion
import cactusfold.ports.serving.UpstreamEntry
import cactusfold.ports.table.RowChange

/** Follows what reads of the upstreams' rows show, by this process or the coordinator. */
public interface RowReadListener {
    /** This process is running; called at least as often as rows are read or passed on. */
    public fun active()

    /** The row of [entry] was read, after the directory has applied it. */
    public fun rowRead(entry: UpstreamEntry, row: RowReading)

    /** All rows are known as of a read that began at [begunAtMillis]. */
    public fun allRead(begunAtMillis: Long)
}

/** Since when each read of the rows would have shown a change. */
internal class RowReadings {
    private var era: Long? = null

    /** When the last read began that showed all rows of this era. */
    private var shownAtMillis = Long.MIN_VALUE / 2

    /**
     * Returns the reading of [row] by [read], which began at [begunAtMillis] or later; null if that
     * is not known.
     */
    fun of(row: RowChange, read: RowsRead, begunAtMillis: Long?): RowReading {
        enter(read.era)
        return RowReading(
            RowVersion(read.era, row.version),
            begunAtMillis ?: (Long.MIN_VALUE / 2),
            shownAtMillis
        )
    }

    /** Records that all rows are known as of [read], which began at [begunAtMillis] or later. */
    fun completed(read: RowsRead, begunAtMillis: Long) {
        enter(read.era)
        shownAtMillis = maxOf(shownAtMillis, begunAtMillis)
    }

    private fun enter(readEra: Long) {
        if (readEra == era) return
        era = readEra
        shownAtMillis = Long.MIN_VALUE / 2
    }
}
