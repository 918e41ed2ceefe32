package cactusfold.entry.fleet

import cactusfold.ports.table.ReadResult
import cactusfold.ports.table.RowKey
import cactusfold.ports.table.RowWrite
import cactusfold.ports.table.TableStore
import cactusfold.ports.table.WriteResult
import cactusfold.protocol.entry.StoredMember
import kotlinx.coroutines.delay

/** State of the fleet's membership when this process had registered. */
public class Registration(
    /** Whether the VM was registered before, so that a coordinator knows of it already. */
    public val wasRegistered: Boolean,

    /** Number of members, this one included; null if they could not be read. */
    public val memberCount: Int?
)

/** Registers this process in the store's table of fleet members. */
public class MemberRegistration(private val table: TableStore, private val member: StoredMember) {
    private val key = RowKey(TABLE, member.vm)

    /** Writes the row, retrying until the store holds it. */
    public suspend fun register(): Registration {
        while (true) {
            tryRegister()?.let { return it }
            delay(RETRY_DELAY_MILLIS)
        }
    }

    /** Reads the members, which is one call less for a VM that is registered already. */
    private suspend fun tryRegister(): Registration? {
        val value = member.toByteString()
        val read = table.list(TABLE) as? ReadResult.Found ?: return null
        val row = read.value.find { it.key == key }
        if (row?.value == value) return Registration(wasRegistered = true, read.value.size)
        val write = row?.let { RowWrite.Replace(key, it.version, value) }
            ?: RowWrite.Insert(key, value)
        if (table.write(listOf(write)) !is WriteResult.Written) return null
        val memberCount = if (row == null) read.value.size + 1 else read.value.size
        // All VMs of a new fleet register at once; their number is known only afterwards.
        return Registration(row != null, memberCount.takeIf { row != null })
    }

    public companion object {
        /** The table of members, keyed by VM name. */
        public const val TABLE: String = "members"
        private const val RETRY_DELAY_MILLIS = 300L
    }
}
