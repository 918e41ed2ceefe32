package cactusfold.entry.process

import java.io.File
import java.nio.file.Path
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Test

class EntryLoggingTest {
    // Guards against a process without log lines, whose logging was collected as garbage before
    // its first logger was created.
    @Test
    fun `lines are written although memory is collected before the first logger is created`() {
        val output = File.createTempFile("logging", ".log")
        val process = program("LateLoggerKt")
            .redirectErrorStream(true).redirectOutput(output).start()
        assertEquals(0, process.waitFor())
        assertEquals(listOf(LATE_LOGGER_LINE), output.readLines())
        output.delete()
    }

    @Test
    fun `another configuration is reported once on standard error`() {
        val output = File.createTempFile("logging", ".log")
        val process = program("OtherConfigurationKt")
            .redirectErrorStream(true).redirectOutput(output).start()
        assertEquals(0, process.waitFor())
        val line = output.readLines().single()
        assertTrue(line.startsWith(EntryLogging.NOT_IN_FORCE), line)
        assertTrue(line.endsWith("DefaultConfiguration"), line)
        output.delete()
    }

    @Test
    fun `lines that are written and those that the full queue drops are counted`() {
        val process = program("BurstLoggerKt").start()
        val errors = process.errorStream.bufferedReader()
        // Nothing is read from standard output before, so that the queue fills.
        errors.lineSequence().first { it == BURST_LOGGED }
        val lines = process.inputStream.bufferedReader().readLines().size
        val counts = errors.lineSequence().first { it.startsWith(BURST_COUNTS) }
        val (written, dropped) = counts.removePrefix(BURST_COUNTS).trim().split(' ')
            .map(String::toInt)
        assertEquals(0, process.waitFor())
        assertEquals(lines, written)
        assertEquals(BURST_LINES, written + dropped)
        assertTrue(dropped > 0, counts)
    }

    private fun program(name: String): ProcessBuilder {
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        val classPath = System.getProperty("java.class.path")
        return ProcessBuilder(java, "-Xmx36m", "-cp", classPath, "$PACKAGE.$name")
    }

    private companion object {
        const val PACKAGE = "cactusfold.entry.process"
    }
}
