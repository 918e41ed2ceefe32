package cactusfold.entry.upstream

import cactusfold.decisions.rate.RowReading
import cactusfold.decisions.rate.RowVersion
import cactusfold.decisions.rate.UpstreamStart
import cactusfold.entry.process.EventLog
import cactusfold.ports.serving.UpstreamEntry
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.junit.jupiter.api.Test

class ColdUpstreamsTest {
    private var nowMillis = 100_000L
    private val clock = { nowMillis }
    private val first = UpstreamStart("i-1", 1)
    private val second = UpstreamStart("i-1", 2)
    private var coldPerSecond: Double? = 5.7

    private inner class Process {
        var registered = first
        val cold = ColdUpstreams(clock, EventLog("vm", clock, 100), SimpleMeterRegistry()).also {
            it.requestsPerSecondOf = { start -> coldPerSecond.takeIf { start == registered } }
            it.registeredStart = { registered }
        }

        fun readRow(version: Long, warmupMillis: Long = 0, start: UpstreamStart = first) {
            val entry = UpstreamEntry(
                start.id, "s", "127.0.0.1", 1, "z", 4, false, start.startedAtEpochMillis, null,
                persistentMapOf(), persistentSetOf(), persistentSetOf(), "v1", warmupMillis
            )
            registered = start
            val reading = RowReading(RowVersion(1, version), nowMillis, nowMillis - READ_MILLIS)
            cold.rowRead(entry, reading)
            cold.allRead(nowMillis)
        }

        fun tell(other: Process, start: UpstreamStart = first) =
            other.cold.heard(start, assertNotNull(cold.message(start)), "other", true)
    }

    private val process = Process()

    @Test
    fun `a cold start is limited until its time is over, and others hear of it`() {
        val other = Process().apply { readRow(1) }
        process.readRow(1, warmupMillis = 2_000)
        assertEquals(5.7, process.cold.limitOf(first)?.rateTokensPerSecond)
        process.tell(other)
        assertNotNull(other.cold.limitOf(first))
        nowMillis += 2_000
        assertNull(process.cold.limitOf(first))
    }

    @Test
    fun `without a cold rate in the configuration nothing is limited`() {
        coldPerSecond = null
        process.readRow(1, warmupMillis = 2_000)
        process.cold.suspect(first, "connection")
        assertNull(process.cold.limitOf(first))
    }

    // Guards against a VM that wakes up and sends to runners that became cold meanwhile.
    @Test
    fun `after a suspension all may be cold until the rows have been read`() {
        process.readRow(1)
        assertNull(process.cold.limitOf(first))
        nowMillis += 10_000
        assertNotNull(process.cold.limitOf(first))
        process.cold.allRead(begunAtMillis = nowMillis - 1)
        assertNotNull(process.cold.limitOf(first), "that read began before")
        nowMillis += READ_MILLIS
        process.readRow(1)
        assertNull(process.cold.limitOf(first))
    }

    // Guards against a member that has not read the row of the start that followed.
    @Test
    fun `a start is limited when another one under its id is heard of`() {
        val coordinator = Process()
        process.readRow(1)
        coordinator.readRow(2, warmupMillis = 30_000, start = second)
        coordinator.tell(process, second)
        assertNotNull(process.cold.limitOf(first))
        assertEquals(second, coordinator.cold.current(first), "both share one limit")
    }

    @Test
    fun `a failed connection limits the start everywhere until its row is written again`() {
        val other = Process().apply { readRow(1) }
        process.readRow(1)
        process.cold.suspect(first, "connection")
        process.tell(other)
        assertNotNull(other.cold.limitOf(first))
        nowMillis += READ_MILLIS
        process.readRow(1)
        assertNotNull(process.cold.limitOf(first))
        nowMillis += READ_MILLIS
        process.readRow(2)
        process.tell(other)
        assertEquals(listOf(null, null), listOf(process, other).map { it.cold.limitOf(first) })
    }

    private companion object {
        const val READ_MILLIS = 400L
    }
}
