package cactusfold.entry.places

import cactusfold.decisions.places.EvacuationRevision
import cactusfold.entry.places.ZoneEvacuations.Companion.revision
import cactusfold.entry.process.EventLog
import cactusfold.node.time.MonotonicClock
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
 *
 * Registered members that do not report are waited for until they have read the row themselves.
 *
 * @param evacuateMillis by when a member without contact has read it.
 * @param memberCount number of registered members; null if it is not known.
 */
public class EvacuationStatus(
    private val store: TableStore,
    private val evacuations: ZoneEvacuations,
    private val events: EventLog,
    private val clock: MonotonicClock,
    private val evacuateMillis: Long,
    private val memberCount: () -> Int?,
    private val isCoordinator: () -> Boolean
) {
    private val wake = Channel<Unit>(Channel.CONFLATED)
    private val appliedByMember = HashMap<String, EvacuationRevision>()

    /** Since when this process is the coordinator, and since when it knows of each evacuation. */
    private var leasedAtMillis = clock.nowMillis()
    private val knownAtMillis = HashMap<String, Long>()

    /** Versions of the rows in the store; null if they have to be read first. */
    private var written: MutableMap<String, Long>? = null

    /** Has the rows of an earlier coordinator read. */
    public fun leaseAcquired() {
        appliedByMember.clear()
        leasedAtMillis = clock.nowMillis()
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
            // A confirmation is worth one call now and then while the store takes no writes.
            val retryMillis = (RETRY_MILLIS shl (failures - 1).coerceIn(0, MAX_DOUBLINGS))
                .takeIf { failures > 0 }
            val pauseMillis = listOfNotNull(retryMillis, waitMillis()).minOrNull()
            if (pauseMillis == null) {
                wake.receive()
            } else {
                withTimeoutOrNull(pauseMillis) { wake.receive() }
            }
            failures = if (!isCoordinator() || isWritten()) 0 else failures + 1
        }
    }

    private fun confirmed(): Set<String> = evacuations.zones.filter { (zone, since) ->
        appliedByMember.isNotEmpty() &&
            appliedByMember.values.all { it >= since } &&
            (areAllInContact() || dueAtMillis(zone) <= clock.nowMillis())
    }.keys

    private fun areAllInContact(): Boolean =
        memberCount()?.let { appliedByMember.size >= it } ?: false

    /** Returns by when members without contact have read the row of [zone]. */
    private fun dueAtMillis(zone: String): Long {
        knownAtMillis.keys.retainAll(evacuations.zones.keys)
        val knownMillis = knownAtMillis.getOrPut(zone) { clock.nowMillis() }
        return maxOf(knownMillis, leasedAtMillis) + evacuateMillis
    }

    /** Returns how long a zone waits for members without contact; null if none does. */
    private fun waitMillis(): Long? {
        if (!isCoordinator() || areAllInContact()) return null
        val rows = written?.keys.orEmpty()
        val nowMillis = clock.nowMillis()
        return (evacuations.zones.keys - rows).map { dueAtMillis(it) - nowMillis }
            .filter { it > 0 }.minOrNull()
    }

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
