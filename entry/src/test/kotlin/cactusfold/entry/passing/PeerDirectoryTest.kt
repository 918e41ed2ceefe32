package cactusfold.entry.passing

import cactusfold.entry.idle.VirtualTime
import cactusfold.entry.process.EventLog
import cactusfold.entry.process.StoredRows
import cactusfold.ports.table.ReadResult
import cactusfold.ports.table.Row
import cactusfold.ports.table.RowKey
import cactusfold.protocol.entry.StoredMember
import com.google.protobuf.ByteString
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertSame
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

@OptIn(ExperimentalCoroutinesApi::class)
class PeerDirectoryTest {
    private val time = VirtualTime()
    private val scope = CoroutineScope(time)
    private val meters = SimpleMeterRegistry()
    private val storedRows = StoredRows(EventLog("vm1", time, linesPerSecond = 1), meters)
    private var rows = listOf(row("vm1", "127.0.0.1:1"), row("vm2", "127.0.0.1:2"))
    private var reads = 0
    private var isDown = false
    private val peers = PeerDirectory("vm1", scope, time, PeerChoice("z1", 64), storedRows) {
        reads++
        delay(READ_MILLIS)
        if (isDown) ReadResult.Unavailable("down") else ReadResult.Found(rows)
    }

    private fun row(vm: String, passingAddress: String) = Row(
        RowKey("members", vm),
        1,
        StoredMember.newBuilder().setVm(vm).setZone("z1").setPassingAddress(passingAddress)
            .build().toByteString()
    )

    private fun choose(tried: Set<String> = emptySet()): Peer? {
        val choosing = scope.async { peers.choose(tried, "s") }
        time.advance(READ_MILLIS)
        return choosing.getCompleted()
    }

    @Nested
    inner class Members {
        @Test
        fun `the first request waits for the members, of which this process is none`() {
            assertEquals("vm2", choose()?.vm)
            assertNull(choose(setOf("vm2")))
        }

        @Test
        fun `members that take no requests and rows that cannot be read name no peer`() {
            val broken = Row(RowKey("members", "x"), 1, ByteString.copyFromUtf8("\u00ff"))
            rows = listOf(row("vm3", ""), row("vm4", "nowhere"), broken)
            assertNull(choose())
            val counter = meters.counter("cactusfold.rows.unreadable", "table", "members")
            assertEquals(1.0, counter.count())
        }
    }

    @Nested
    inner class Reads {
        // Guards against a process that stops and waits for the store with each first request.
        @Test
        fun `members are read before the first request if none is known`() {
            peers.prepare()
            time.advance(READ_MILLIS)
            val choosing = scope.async { peers.choose(emptySet(), "s") }
            time.advance(READ_MILLIS - 1)
            assertEquals("vm2", choosing.getCompleted()?.vm)
            time.advance(60_000)
            peers.prepare()
            assertEquals(1, reads)
        }

        @Test
        fun `members are read only for requests, and at most every two seconds`() {
            time.advance(60_000)
            assertEquals(0, reads)
            repeat(40) {
                choose()
                time.advance(90)
            }
            assertEquals(2, reads)
        }

        @Test
        fun `requests that wait at once share a read`() {
            val choosing = List(5) { scope.async { peers.choose(emptySet(), "s") } }
            time.advance(READ_MILLIS)
            assertEquals(List(5) { "vm2" }, choosing.map { it.getCompleted()?.vm })
            assertEquals(1, reads)
        }

        @Test
        fun `a peer that is still registered keeps its count and its pause`() {
            val before = choose()
            time.advance(3_000)
            choose()
            time.advance(READ_MILLIS)
            assertSame(before, choose())
            assertEquals(2, reads)
        }

        @Test
        fun `the peers that were read last are used while the store is down`() {
            choose()
            isDown = true
            time.advance(3_000)
            assertEquals("vm2", choose()?.vm)
        }
    }

    private companion object {
        const val READ_MILLIS = 10L
    }
}
