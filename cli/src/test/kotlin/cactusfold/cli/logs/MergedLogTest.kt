package cactusfold.cli.logs

import kotlin.test.assertEquals
import kotlin.test.assertNull
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

class MergedLogTest {
    @Nested
    inner class Lines {
        @Test
        fun `lines that are not events are skipped`() {
            assertNull(LogLine.parse("WARNING: Using incubator modules"))
            assertNull(LogLine.parse("""{"time":1,"level":"WARN","message":"x"}"""))
            assertNull(LogLine.parse("""{"time":1,"steady_ms":1,"vm":"a","eve"""))
        }
    }

    @Nested
    inner class Clocks {
        @Test
        fun `lines of VMs with different monotonic clocks are ordered by time`() {
            val log = MergedLog.of(
                listOf(
                    logLine("a", 1_000, 50, "first"),
                    logLine("a", 1_020, 70, "third"),
                    logLine("b", 1_010, 900_000, "second")
                )
            )
            assertEquals(listOf("first", "second", "third"), log.lines.map { it.line.event })
            assertEquals(emptyMap(), log.clockJumpMillisByVm)
        }

        @Test
        fun `a jump of the wall clock moves no line and is reported`() {
            val log = MergedLog.of(
                listOf(
                    logLine("a", 1_000, 0, "first"),
                    logLine("a", 3_410, 10, "second"),
                    logLine("a", 1_020, 20, "third"),
                    logLine("a", 1_030, 30, "fourth")
                )
            )
            assertEquals(listOf(1_000L, 1_010, 1_020, 1_030), log.lines.map { it.atMillis })
            assertEquals(mapOf("a" to 2_400L), log.clockJumpMillisByVm)
        }

        @Test
        fun `a monotonic clock that restarted at a reboot is placed anew`() {
            val log = MergedLog.of(
                listOf(
                    logLine("a", 1_000, 800_000, "before"),
                    logLine("a", 5_000, 20, "after")
                )
            )
            assertEquals(listOf(1_000L, 5_000L), log.lines.map { it.atMillis })
        }

        @Test
        fun `a reboot with a larger monotonic clock is not reported as a clock jump`() {
            val log = MergedLog.of(
                listOf(
                    logLine("a", 1_000, 20, "before"),
                    logLine("a", 3_000, 900_000, "process-start"),
                    logLine("a", 3_500, 900_500, "after")
                )
            )
            assertEquals(listOf(1_000L, 3_000, 3_500), log.lines.map { it.atMillis })
            assertEquals(emptyMap(), log.clockJumpMillisByVm)
        }
    }
}
