package cactusfold.entry.process

import java.io.File
import java.nio.file.Path
import kotlin.test.assertEquals
import org.junit.jupiter.api.Test

class EntryLoggingTest {
    // Guards against a process without log lines, whose logging was collected as garbage before
    // its first logger was created.
    @Test
    fun `lines are written although memory is collected before the first logger is created`() {
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        val classPath = System.getProperty("java.class.path")
        val output = File.createTempFile("logging", ".log")
        val process = ProcessBuilder(java, "-Xmx36m", "-cp", classPath, PROGRAM)
            .redirectErrorStream(true).redirectOutput(output).start()
        assertEquals(0, process.waitFor())
        assertEquals(listOf(LATE_LOGGER_LINE), output.readLines())
        output.delete()
    }

    private companion object {
        const val PROGRAM = "cactusfold.entry.process.LateLoggerKt"
    }
}
