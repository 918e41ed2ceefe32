package cactusfold.entry.fleet

import cactusfold.ports.table.ReadResult
import cactusfold.ports.table.RowKey
import cactusfold.ports.table.RowWrite
import cactusfold.ports.table.TableStore
import cactusfold.ports.table.WriteResult
import cactusfold.protocol.entry.StoredMember
import kotlinx.coroutines.delay

/** Registers this process in the store's table of fleet members. */
public class MemberRegistration(private val table: TableStore, private val member: StoredMember) {
    private val key = RowKey(TABLE, member.vm)

    /** Writes the row, retrying until the store holds it. */
    public suspend fun register() {
        while (!tryRegister()) delay(RETRY_DELAY_MILLIS)
    }

    private suspend fun tryRegister(): Boolean {
        val value = member.toByteString()
        val inserted = table.write(listOf(RowWrite.Insert(key, value)))
        if (inserted is WriteResult.Written) return true
        val read = table.get(key) as? ReadResult.Found ?: return false
        val row = read.value ?: return false
        if (row.value == value) return true
        val write = RowWrite.Replace(key, row.version, value)
        return table.write(listOf(write)) is WriteResult.Written
    }

    public companion object {
        /** The table of members, keyed by VM name. */
        public const val TABLE: String = "members"
        private const val RETRY_DELAY_MILLIS = 300L
    }
}
