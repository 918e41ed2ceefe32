package cactusfold.entry.upstream

import cactusfold.decisions.fleet.RowsRead
import cactusfold.entry.process.EventLog
import cactusfold.node.time.MonotonicClock
import cactusfold.ports.table.RowChange
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test

class RelayedUpstreamsTest {
    private var nowMillis = 10_000L
    private var polling: UpstreamPolling = UpstreamPolling.Following(Long.MAX_VALUE)
    private val clock = MonotonicClock { nowMillis }
    private val feed = FakeFeed()
    private val directory =
        UpstreamDirectory(feed, clock, EventLog("vm", clock, linesPerSecond = 9), "z") { polling }

    private fun row(id: String, version: Long, state: String = "ready"): RowChange {
        val json = JsonObject().put("service", "s").put("address", "127.0.0.1:1").put("zone", "z")
            .put("version", "v1").put("slots", 4).put("state", state).put("warmup-ms", 0)
            .put("seq", 1).put("born", START).put("models", JsonArray())
        return RowChange(id, version, json.toBuffer().bytes)
    }

    private fun relay(
        vararg rows: RowChange,
        position: Long,
        isFull: Boolean = false,
        beganAtMillis: Long = nowMillis,
        isComplete: Boolean = true,
        era: Long = 0
    ): Boolean {
        val read = RowsRead(era, position)
        return directory.relayed(RowNews(rows.asList(), isFull, read, beganAtMillis, isComplete))
    }

    private fun usable(): List<String> = directory.usable.map { it.entry.id }

    /** Has the directory read the store [reads] times, as a process without a coordinator does. */
    private fun readItself(reads: Int) = runBlocking {
        polling = UpstreamPolling.Detached()
        val end = feed.reads + reads
        val running = launch { directory.run() }
        while (feed.reads < end) {
            nowMillis += 1_300
            directory.roleChanged()
            delay(1)
        }
        running.cancel()
    }

    // Guards against a registration that ended and counts as there, by a read begun before that.
    @Test
    fun `only a coordinator's read begun after the end was heard of confirms a registration`() {
        relay(row("u", 1), position = 1, isFull = true)
        val departure = directory.find("u")!!.departure.toBuilder().setIsUnregistered(true)
        directory.recordDeparture(departure.build())
        relay(position = 2, beganAtMillis = nowMillis)
        assertEquals(emptyList(), usable())
        relay(position = 3, beganAtMillis = nowMillis + 1, isComplete = false)
        assertEquals(emptyList(), usable())
        relay(position = 4, beganAtMillis = nowMillis + 1)
        assertEquals(listOf("u"), usable())
    }

    // Guards against calls of each member to the store for changes that notices contain.
    @Test
    fun `a member that is passed rows reads nothing, also not after a 421`() = runBlocking {
        val running = launch { directory.run() }
        relay(row("u", 1), position = 1, isFull = true)
        repeat(5) {
            directory.markOutdated()
            delay(10)
        }
        running.cancel()
        assertEquals(0, feed.reads)
        assertEquals(listOf("u"), usable())
        assertEquals(nowMillis + 1_500, directory.relayedUntilMillis)
    }

    @Test
    fun `a draining row and the end of one are applied, and a complete set drops the rest`() {
        relay(row("a", 1), row("b", 2), row("c", 3), position = 3, isFull = true)
        relay(row("a", 4, "draining"), RowChange("b", 5, null), position = 5)
        assertEquals(listOf("c"), usable())
        relay(row("d", 6), position = 6, isFull = true)
        assertEquals(listOf("d"), usable())
    }

    // Guards against a coordinator that is behind what a member has read itself meanwhile.
    @Test
    fun `an older complete set neither brings back nor drops what was read since`() {
        feed.put("gone", row("gone", 1).value)
        feed.put("gone", null)
        feed.put("new", row("new", 3).value)
        readItself(2)
        relay(row("gone", 1), position = 1, isFull = true)
        assertEquals(listOf("new"), usable())
        relay(row("new", 3), row("w", 4), position = 4, isFull = true)
        assertEquals(listOf("new", "w"), usable())
    }

    // Guards against versions of a store that came back from an older copy.
    @Test
    fun `rows of an earlier era are not applied`() {
        relay(row("u", 9), position = 9, isFull = true, era = 2)
        feed.put("u", row("u", 1).value)
        readItself(3)
        assertFalse(relay(RowChange("u", 10, null), position = 10, era = -1))
        assertEquals(listOf("u"), usable())
    }

    // Guards against the state being read anew, or missed, after the coordinator is lost.
    @Test
    fun `a member that loses its coordinator continues from the coordinator's last read`() {
        feed.put("u", row("u", 1).value)
        relay(row("u", 1), position = 1, isFull = true)
        feed.put("u", null)
        readItself(1)
        assertEquals(emptyList(), usable())
        assertEquals(0, feed.snapshots)
    }

    private companion object {
        const val START = 1_700_000_000_000
    }
}
