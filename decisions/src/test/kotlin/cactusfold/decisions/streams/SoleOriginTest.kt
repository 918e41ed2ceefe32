package cactusfold.decisions.streams

import kotlin.test.assertEquals
import kotlin.test.assertNull
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

class SoleOriginTest {
    private val new = VersionRecord.unknownBefore(0)

    private fun VersionRecord.seen(nowMillis: Long, vararg serving: String): VersionRecord =
        seen(serving.toSet(), nowMillis, KEPT_MILLIS)

    private fun sole(nowMillis: Long, vararg records: VersionRecord): StreamOrigin? = soleOrigin(
        records.mapIndexed { index, record -> "s${index + 1}" to record }.toMap(),
        nowMillis,
        KEPT_MILLIS
    )

    @Nested
    inner class OneService {
        @Test
        fun `the only version is known once the record is older than any stream`() {
            val record = new.seen(0, "v1")
            assertNull(sole(KEPT_MILLIS - 1, record))
            assertEquals(StreamOrigin("s1", "v1"), sole(KEPT_MILLIS, record))
        }

        @Test
        fun `there is no only version while another one serves or has just left`() {
            val both = new.seen(0, "v1").seen(500, "v1", "v2")
            assertNull(sole(5_000, both))
            val one = both.seen(6_000, "v2")
            assertNull(sole(6_999, one))
            assertEquals(StreamOrigin("s1", "v2"), sole(7_000, one))
        }

        @Test
        fun `no version is known of a service that has none`() = assertNull(sole(5_000, new))
    }

    @Nested
    inner class SeveralServices {
        private val first = new.seen(0, "v1")

        @Test
        fun `there is no only origin while another service serves or has just left`() {
            val second = new.seen(0, "v1")
            assertNull(sole(5_000, first, second))
            val left = second.seen(6_000)
            assertNull(sole(6_999, first, left))
            assertEquals(StreamOrigin("s1", "v1"), sole(7_000, first, left))
        }

        @Test
        fun `there is no only origin while the record of another service may lack a version`() {
            val unknown = VersionRecord.unknownBefore(4_500)
            assertNull(sole(5_000, first, unknown))
            assertEquals(StreamOrigin("s1", "v1"), sole(5_500, first, unknown))
        }
    }

    private companion object {
        const val KEPT_MILLIS = 1_000L
    }
}
