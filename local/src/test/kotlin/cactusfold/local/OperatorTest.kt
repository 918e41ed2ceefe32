package cactusfold.local

import cactusfold.cli.CactusfoldCommand
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.writeText
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import picocli.CommandLine

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class OperatorTest {
    private class CommandResult(val exitCode: Int, val output: String)

    private val fleet = TestFleet(controllers = 2)
    private val folder: Path = Files.createTempDirectory("operator")

    @BeforeAll
    fun start() {
        fleet.start()
    }

    @AfterAll
    fun stop() {
        fleet.stop()
    }

    private fun cactusfold(vararg args: String): CommandResult {
        val admin = fleet.localFleet.controllers.first().core.settings.adminAddress
        val captured = ByteArrayOutputStream()
        val out = System.out
        System.setOut(PrintStream(captured))
        try {
            val code = CommandLine(CactusfoldCommand()).execute("--controller", "$admin", *args)
            return CommandResult(code, captured.toString())
        } finally {
            System.setOut(out)
        }
    }

    private fun file(text: String): String =
        Files.createTempFile(folder, "fleet", ".ini").also { it.writeText(text) }.toString()

    @Test
    fun `an issued key works, is listed without its secret and is refused once withdrawn`() {
        val issued = cactusfold("key", "issue", "ops", "--workspace", "large")
        val secret = issued.output.lines().first { it.startsWith("cf-") }
        TestFleet.run {
            kotlinx.coroutines.runBlocking {
                eventually("the issued key is not accepted") {
                    fleet.chat("big", key = secret).statusCode() ==
                        200
                }
            }
        }
        val list = cactusfold("key", "list").output
        assertTrue("ops" in list && secret !in list, list)
        assertEquals(65, cactusfold("key", "issue", "ops", "--workspace", "large").exitCode)
        assertEquals(65, cactusfold("key", "issue", "lost", "--workspace", "nobody").exitCode)
        assertEquals(0, cactusfold("key", "withdraw", "ops").exitCode)
        kotlinx.coroutines.runBlocking {
            TestFleet.eventually("the withdrawn key is still accepted") {
                fleet.chat("big", key = secret).statusCode() == 401
            }
        }
        assertEquals(65, cactusfold("key", "withdraw", "ops").exitCode)
    }

    @Test
    fun `a document is diffed, applied only to its base version and leaves keys unchanged`() {
        val path = file(fleet.document("[class later]\ntarget_millis = 7\n"))
        assertTrue("+ [class later]" in cactusfold("config", "diff", path).output)
        assertEquals(75, cactusfold("config", "apply", "--base", "0", path).exitCode)
        assertEquals(0, cactusfold("config", "apply", "--comment", "why", path).exitCode)
        assertTrue("why" in cactusfold("config", "history").output)
        val shown = cactusfold("config", "show").output
        assertTrue("[class later]" in shown && "[key k]" in shown, shown)
        assertEquals(200, fleet.chat("big").statusCode())
    }

    @Test
    fun `an invalid document is rejected and changes nothing`() {
        val before = cactusfold("config", "show").output
        val path = file(fleet.document("[class bad]\ntarget_millis = 1s\n"))
        assertEquals(65, cactusfold("config", "validate", path).exitCode)
        assertEquals(65, cactusfold("config", "apply", path).exitCode)
        assertEquals(before, cactusfold("config", "show").output)
    }

    @Test
    fun `status shows the fleet and timeline shows the events of a request`() {
        val id = fleet.chat("big").headers().firstValue("x-request-id").get()
        val events = cactusfold("timeline", "--request", id).output
        for (kind in listOf("admitted", "dispatched", "answered")) {
            assertTrue(kind in events, events)
        }
        val status = cactusfold("status").output
        assertTrue("runner-1" in status && "store          up" in status, status)
        assertTrue(status.lines().all { it.length <= 80 }, status)
    }
}
