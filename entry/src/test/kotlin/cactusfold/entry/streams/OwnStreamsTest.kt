package cactusfold.entry.streams

import cactusfold.decisions.streams.StreamOrigin
import cactusfold.entry.process.EventLog
import kotlin.test.assertEquals
import org.junit.jupiter.api.Test

class OwnStreamsTest {
    private var nowMillis = 0L
    private val own = OwnStreams({ nowMillis }, RecordedVersions(EventLog("vm", { 0 }, 10))) {}

    // Guards against growth while no coordinator takes reports.
    @Test
    fun `streams to which no caller can return are forgotten, also if not reported`() {
        for (i in 1..100) {
            nowMillis = i * 1_000L
            own.began("stream$i", StreamOrigin("s", "v1"), keptMillis = 5_000)
        }
        assertEquals(5, own.count)
        assertEquals(5, own.unsentCount)
    }
}
