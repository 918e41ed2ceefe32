package cactusfold.entry.process

import com.google.protobuf.InvalidProtocolBufferException
import io.micrometer.core.instrument.MeterRegistry

/**
 * Decodes rows that processes of any build have written. Fields that this build does not know are
 * kept in the message. A row that cannot be decoded is left out and counted, and logged once for
 * each of its versions.
 */
public class StoredRows(private val events: EventLog, private val meters: MeterRegistry) {
    private val logged = HashMap<Pair<String, String>, Long>()

    /** Returns [value] of the row [key] of [table] as decoded by [parse], or null. */
    public fun <A> decode(
        table: String,
        key: String,
        version: Long,
        value: ByteArray,
        parse: (ByteArray) -> A
    ): A? = try {
        parse(value)
    } catch (e: InvalidProtocolBufferException) {
        unreadable(table, key, version, e.message)
        null
    }

    /** Records that the row [key] of [table], or a field of it, cannot be used for [reason]. */
    public fun unreadable(table: String, key: String, version: Long, reason: String?) {
        meters.counter(UNREADABLE, "table", table).increment()
        if (logged.size >= MAX_LOGGED) logged.clear()
        if (logged.put(table to key, version) == version) return
        events.write("row-unreadable", "table" to table, "row" to key, "reason" to reason)
    }

    private companion object {
        const val UNREADABLE = "cactusfold.rows.unreadable"

        /** More rows than the members of the largest deployment write. */
        const val MAX_LOGGED = 1_000
    }
}
