package cactusfold.node.process

import java.io.File
import java.nio.file.Path
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Test

class LoggingTest {
    // Guards against a process without log lines, whose logging was collected as garbage before
    // its first logger was created.
    @Test
    fun `lines are written although memory is collected before the first logger is created`() {
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        val classPath = System.getProperty("java.class.path")
        val output = File.createTempFile("logging", ".log")
        // Soft references are cleared too, as when memory is short.
        val process =
            ProcessBuilder(java, "-XX:SoftRefLRUPolicyMSPerMB=0", "-cp", classPath, PROGRAM)
                .redirectErrorStream(true).redirectOutput(output).start()
        assertEquals(0, process.waitFor())
        val line = output.readLines().single()
        assertTrue(line.endsWith(LATE_MESSAGE), line)
        output.delete()
    }

    private companion object {
        const val PROGRAM = "cactusfold.node.process.LateLoggerKt"
    }
}
