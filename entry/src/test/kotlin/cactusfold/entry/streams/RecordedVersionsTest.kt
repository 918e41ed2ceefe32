package cactusfold.entry.streams

import cactusfold.decisions.streams.VersionRecord
import cactusfold.entry.process.EventLog
import cactusfold.protocol.entry.ServiceVersions
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test

class RecordedVersionsTest {
    private val versions = RecordedVersions(EventLog("vm", { 0 }, linesPerSecond = 10))
    private val stored =
        mapOf("s" to StoredRecord(VersionRecord.unknownBefore(0).seen(setOf("v1"), 0, 1_000), 1))

    private fun announce(vararg serving: String) = versions.heard(
        ServiceVersions.newBuilder().setService("s").addAllSoftwareVersions(serving.toList())
            .build()
    )

    @Test
    fun `streams begin at the versions that the store holds`() = runBlocking {
        versions.read { stored }
        assertTrue(versions.contains("s", "v1"))
        assertFalse(versions.contains("s", "v2"))
    }

    // Guards against a slow read that takes back what the coordinator has announced meanwhile.
    @Test
    fun `a read does not replace what is announced while it runs`() = runBlocking {
        versions.read {
            announce("v1", "v2")
            stored
        }
        assertTrue(versions.contains("s", "v2"))
    }
}
