package cactusfold.cli

import cactusfold.node.launch.ExitCode
import cactusfold.platform.standin.ConfigDocuments
import io.vertx.core.json.JsonObject
import java.io.PrintWriter
import java.io.StringWriter
import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import picocli.CommandLine

class ConfigCheckCommandTest {
    @TempDir
    lateinit var directory: Path

    private val out = StringWriter()

    private fun file(
        name: String,
        version: Int,
        keys: List<String> = listOf("k"),
        service: String = "s"
    ): String {
        val text = ConfigDocuments.plain(version, keys, service).encode()
        return Files.writeString(directory.resolve(name), text).toString()
    }

    private fun run(vararg args: String): Int = CommandLine(CactusfoldCommand())
        .setOut(PrintWriter(out)).execute("config", "check", *args)

    /** Guards against scripts that write a faulty configuration because the check passed. */
    @Test
    fun `the exit code tells errors, and with --strict warnings, from success`() {
        assertEquals(ExitCode.OK, run(file("a", 1)))
        assertEquals(ExitCode.DATA, run(file("b", 1, service = "x")))
        assertEquals(ExitCode.OK, run(file("c", 1, emptyList())))
        assertEquals(ExitCode.DATA, run("--strict", file("c", 1, emptyList())))
        assertEquals(ExitCode.DATA, run(directory.resolve("absent").toString()))
        assertEquals(ExitCode.DATA, run(file("a", 1), "--against", "$directory/absent"))
    }

    /** Guards against API keys in the logs of scripts, and against output that is not JSON. */
    @Test
    fun `--json lists the findings and changes without API keys`() {
        val next = file("next", 1, listOf("secret2"))
        val code = run("--json", "--against", file("current", 1, listOf("secret1")), next)
        assertEquals(ExitCode.DATA, code)
        val json = JsonObject(out.toString())
        val finding = json.getJsonArray("findings").getJsonObject(0)
        assertEquals(
            "error" to "version",
            finding.getString("severity") to finding.getString("place")
        )
        assertContains(json.getJsonArray("changes").encode(), "\"keys of w\"")
        assertFalse("secret" in out.toString())
    }
}
