package cactusfold.entry.places

import cactusfold.entry.process.EventLog
import cactusfold.ports.table.FeedResult
import cactusfold.ports.table.ReadResult
import cactusfold.ports.table.Row
import cactusfold.ports.table.RowChange
import cactusfold.ports.table.RowKey
import cactusfold.ports.table.RowWrite
import cactusfold.ports.table.TableStore
import cactusfold.ports.table.WriteResult
import cactusfold.protocol.entry.MemberReport
import com.google.protobuf.ByteString
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlin.test.assertEquals
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.yield
import org.junit.jupiter.api.Test

class EvacuationStatusTest {
    private var nowMillis = 10_000L
    private val clock = { nowMillis }
    private var memberCount = 2
    private val events = EventLog("vm", clock, linesPerSecond = 100)
    private var position = 0L

    private class FakeStore : TableStore {
        val rows = sortedMapOf<String, Long>()
        var isDown = false

        override suspend fun get(key: RowKey): ReadResult<Row?> = ReadResult.Found(null)

        override suspend fun list(partition: String, after: String, limit: Int) = ReadResult.Found(
            rows.map {
                Row(RowKey(partition, it.key), it.value, ByteString.EMPTY)
            }
        )

        override suspend fun write(writes: List<RowWrite>): WriteResult {
            if (isDown) return WriteResult.NotWritten("down")
            val write = writes.single()
            if (write is RowWrite.Delete) rows.remove(write.key.sort) else rows[write.key.sort] = 7
            return WriteResult.Written(7)
        }
    }

    private val store = FakeStore()
    private val coordinator = evacuations()
    private val status =
        EvacuationStatus(store, coordinator, events, clock, 5_000, { memberCount }) { true }

    private fun evacuations() = ZoneEvacuations(clock, events, SimpleMeterRegistry())

    private fun read(zone: String, isEvacuated: Boolean) {
        val value = if (isEvacuated) "{}".toByteArray() else null
        val rows = listOf(RowChange("evacuate/$zone", ++position, value))
        coordinator.read(FeedResult.Changes(rows, position, era = 1), isSnapshot = false)
        status.changed()
    }

    private fun report(vm: String, applied: ZoneEvacuations) = status.reported(
        MemberReport.newBuilder().setVm(vm).setEvacuations(applied.report()!!).build()
    )

    private fun running(test: suspend () -> Unit) = runBlocking {
        val job = launch(start = CoroutineStart.UNDISPATCHED) { status.run() }
        status.leaseAcquired()
        test()
        job.cancel()
    }

    // Guards against a confirmation while a member still sends to the zone.
    @Test
    fun `the row is written once every member in contact applies the evacuation`() = running {
        val member = evacuations()
        read("y", isEvacuated = false)
        member.heard(coordinator.message()!!, "coordinator")
        report("vm1", coordinator)
        report("vm2", member)
        read("z", isEvacuated = true)
        report("vm1", coordinator)
        yield()
        assertEquals(emptySet(), store.rows.keys)
        member.heard(coordinator.message()!!, "coordinator")
        assertEquals(setOf("z"), member.zones.keys)
        report("vm2", member)
        yield()
        assertEquals(setOf("evacuate/z"), store.rows.keys)
        read("z", isEvacuated = false)
        yield()
        assertEquals(emptySet(), store.rows.keys)
    }

    @Test
    fun `a member that has lost contact is waited for until it has read the row itself`() =
        running {
            report("vm1", coordinator.also { read("y", isEvacuated = false) })
            report("vm2", coordinator)
            read("z", isEvacuated = true)
            report("vm1", coordinator)
            status.left("vm2")
            yield()
            assertEquals(emptySet(), store.rows.keys, "it may still send")
            nowMillis += 5_000
            status.changed()
            yield()
            assertEquals(setOf("evacuate/z"), store.rows.keys)
        }

    // Guards against a confirmation that outlasts its evacuation when the coordinator changes.
    @Test
    fun `a row of an earlier coordinator is removed if its zone is not evacuated`() {
        store.rows["evacuate/old"] = 3
        running { yield() }
        assertEquals(emptySet(), store.rows.keys)
    }
}
