package cactusfold.entry.places

import cactusfold.decisions.places.EvacuationRevision
import cactusfold.entry.places.ZoneEvacuations.Companion.revision
import cactusfold.entry.process.EventLog
import cactusfold.platform.EvacuationRows
import cactusfold.ports.table.ReadResult
import cactusfold.ports.table.RowKey
import cactusfold.ports.table.RowWrite
import cactusfold.ports.table.TableStore
import cactusfold.ports.table.WriteResult
import cactusfold.protocol.entry.MemberReport
import com.google.protobuf.ByteString
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Confirms evacuations to the operator, while this process is the coordinator: a row for each zone
 * to which every member in contact sends nothing any more. It is removed when the evacuation ends.
 */
public class EvacuationStatus(
    private val store: TableStore,
    private val evacuations: ZoneEvacuations,
    private val events: EventLog,
    private val isCoordinator: () -> Boolean
) {
    private val wake = Channel<Unit>(Channel.CONFLATED)
    private val appliedByMember = HashMap<String, EvacuationRevision>()

    /** Versions of the rows in the store; null if they have to be read first. */
    private var written: MutableMap<String, Long>? = null

    /** Has the rows of an earlier coordinator read. */
    public fun leaseAcquired() {
        appliedByMember.clear()
        written = null
        wake.trySend(Unit)
    }

    /** Records what a member, or this process itself, applies. */
    public fun reported(report: MemberReport) {
        if (!report.hasEvacuations()) return
        evacuations.reported(report.evacuations, report.vm)
        val revision = report.evacuations.revision
        if (appliedByMember.put(report.vm, revision) == revision) return
        if (pending().isNotEmpty()) wake.trySend(Unit)
    }

    /** Records that a member has lost contact, which an evacuation does not wait for. */
    public fun left(member: String) {
        appliedByMember -= member
        changed()
    }

    /** Has the rows written or removed, as the evacuated zones have changed. */
    public fun changed() {
        if (isCoordinator()) wake.trySend(Unit)
    }

    /** Writes and removes rows until cancelled. */
    public suspend fun run() {
        var failures = 0
        while (true) {
            if (failures == 0) {
                wake.receive()
            } else {
                // A confirmation is worth one call now and then while the store takes no writes.
                val pauseMillis = RETRY_MILLIS shl (failures - 1).coerceAtMost(MAX_DOUBLINGS)
                withTimeoutOrNull(pauseMillis) { wake.receive() }
            }
            failures = if (!isCoordinator() || isWritten()) 0 else failures + 1
        }
    }

    private fun confirmed(): Set<String> = evacuations.zones.filterValues { since ->
        appliedByMember.isNotEmpty() && appliedByMember.values.all { it >= since }
    }.keys

    private fun pending(): Set<String> {
        val rows = written?.keys ?: return confirmed()
        return confirmed() - rows
    }

    private suspend fun isWritten(): Boolean {
        val rows = written ?: readRows()?.also { written = it } ?: return false
        for (zone in confirmed() - rows.keys) {
            val value = ByteString.copyFrom(EvacuationRows.confirmation(appliedByMember.size))
            if (!write(RowWrite.Insert(keyOf(zone), value))) return false
            events.write("zone-evacuation-confirmed", "zone" to zone)
        }
        for (zone in rows.keys - evacuations.zones.keys) {
            if (!write(RowWrite.Delete(keyOf(zone), rows.getValue(zone)))) return false
        }
        return true
    }

    private suspend fun readRows(): MutableMap<String, Long>? =
        when (val read = store.list(EvacuationRows.STATUS_TABLE)) {
            is ReadResult.Found -> read.value.mapNotNull { row ->
                EvacuationRows.zoneOf(row.key.sort)?.let { it to row.version }
            }.toMap(mutableMapOf())
            is ReadResult.Unavailable -> null
        }

    private suspend fun write(write: RowWrite): Boolean =
        when (val result = store.write(listOf(write))) {
            is WriteResult.Written -> {
                val version = result.version
                val zone = EvacuationRows.zoneOf(write.key.sort).orEmpty()
                when {
                    write is RowWrite.Delete -> written?.remove(zone)
                    version != null -> written?.put(zone, version)
                    else -> written = null
                }
                version != null || write is RowWrite.Delete
            }
            is WriteResult.Conflict, is WriteResult.NotWritten, is WriteResult.Unknown -> {
                // The row may be there by now, or another coordinator may have written it.
                written = null
                events.write(
                    "zone-status-unwritten",
                    "row" to write.key.sort,
                    "end" to result.toString()
                )
                false
            }
        }

    private fun keyOf(zone: String) =
        RowKey(EvacuationRows.STATUS_TABLE, EvacuationRows.keyOf(zone))

    private companion object {
        const val RETRY_MILLIS = 200L
        const val MAX_DOUBLINGS = 8
    }
}
