package cactusfold.cli

import java.io.PrintWriter
import java.io.StringWriter
import kotlin.test.assertContains
import kotlin.test.assertEquals
import org.junit.jupiter.api.Test
import picocli.CommandLine

class HelpTest {
    @Test
    fun `every command and subcommand answers --help`() {
        val paths = paths(CommandLine(CactusfoldCommand()), emptyList())
        assertContains(paths, listOf("timeline"))
        assertContains(paths, listOf("config", "apply"))
        for (path in paths) {
            val out = StringWriter()
            val line = CommandLine(CactusfoldCommand())
                .setOut(PrintWriter(out)).setErr(PrintWriter(out))
            val args = (path + "--help").toTypedArray()
            assertEquals(0, line.execute(*args), "${path.joinToString(" ")}: $out")
            assertContains(out.toString(), "Usage: cactusfold")
        }
    }

    private fun paths(line: CommandLine, path: List<String>): List<List<String>> =
        listOf(path) + line.subcommands.flatMap { (name, sub) -> paths(sub, path + name) }
}
