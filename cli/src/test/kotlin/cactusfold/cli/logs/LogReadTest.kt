package cactusfold.cli.logs

import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.assertEquals
import kotlin.test.assertIs
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir

class LogReadTest {
    @TempDir
    lateinit var folder: Path

    @Test
    fun `a missing file is reported by name`() {
        val missing = folder.resolve("none.log")
        assertEquals(
            "$missing: no such file",
            assertIs<LogRead.Failed>(readLogs(listOf(missing))).reason
        )
    }

    @Test
    fun `events of several files are merged and other lines counted`() {
        val first = Files.writeString(
            folder.resolve("a.log"),
            "WARNING: incubator\n" + logLine("a", 1_000, 10, "first").encode() + "\n"
        )
        val second =
            Files.writeString(folder.resolve("b.log"), logLine("b", 900, 70, "before").encode())
        val read = assertIs<LogRead.Ok>(readLogs(listOf(first, second)))
        assertEquals(listOf("before", "first"), read.log.lines.map { it.line.event })
        assertEquals(1, read.skippedLines)
    }
}
