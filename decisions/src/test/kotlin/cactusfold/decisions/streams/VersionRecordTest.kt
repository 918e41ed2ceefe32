package cactusfold.decisions.streams

import kotlin.test.assertEquals
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

class VersionRecordTest {
    private val new = VersionRecord.unknownBefore(0)

    private fun VersionRecord.seen(nowMillis: Long, vararg serving: String): VersionRecord =
        seen(serving.toSet(), nowMillis, KEPT_MILLIS)

    @Nested
    inner class Serving {
        @Test
        fun `streams do not begin at a version that is gone`() {
            val record = new.seen(0, "v1", "v2").seen(100, "v1")
            assertEquals(setOf("v1"), record.serving)
            assertEquals(setOf("v1", "v2"), record.seen(200, "v1", "v2").serving)
        }
    }

    @Nested
    inner class Seen {
        @Test
        fun `a version that returns counts as never gone`() {
            val record = new.seen(0, "v1", "v2").seen(100, "v1").seen(200, "v1", "v2")
            assertEquals(mapOf<String, Long?>("v1" to null, "v2" to null), record.goneSinceMillis)
        }

        @Test
        fun `a version keeps the time at which it went until it is dropped`() {
            val gone = new.seen(0, "v1", "v2").seen(100, "v1").seen(300, "v1")
            assertEquals(mapOf<String, Long?>("v1" to null, "v2" to 100L), gone.goneSinceMillis)
            assertEquals(setOf("v1"), gone.seen(1_100, "v1").goneSinceMillis.keys)
        }
    }

    private companion object {
        const val KEPT_MILLIS = 1_000L
    }
}
