package cactusfold.entry

import cactusfold.settings.schema.SettingsResult
import cactusfold.settings.schema.readSettings
import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

class EntrySettingsTest {
    private val placeholder = Regex("\\{\\{([^}]*)}}")

    /** The platform's settings template, with a sample value for each kind of placeholder. */
    private fun filled(): String =
        placeholder.replace(Files.readString(Path.of("../platform/entry.ini"))) { match ->
            val name = match.groupValues[1]
            when {
                name.startsWith("listen.") || name.endsWith("address") -> "10.1.0.2:8221"
                name == "ip" -> "10.1.0.2"
                name.startsWith("port-range") -> "7600"
                name.startsWith("bounds.") -> "5"
                name.startsWith("limits.") -> "0.5"
                else -> "some-name"
            }
        }

    @Nested
    inner class Template {
        @Test
        fun `the filled template provides all required settings`() {
            val valid = assertIs<SettingsResult.Valid>(readSettings(entrySchema, filled()))
            val settings = entrySettings(valid.settings)
            assertEquals(5_000, settings.bounds.stopMillis)
            assertEquals(0.25, settings.cores)
            assertEquals(5, settings.bounds.keyWithdrawalMillis)
        }
    }

    @Nested
    inner class Faults {
        @Test
        fun `all faults are reported together, with the expected values`() {
            val text = filled().replace("callers = 10.1.0.2:8221", "callers = nowhere")
                .replace("[store]", "[shop]")
            val invalid = assertIs<SettingsResult.Invalid>(readSettings(entrySchema, text))
            val messages = invalid.problems.map { it.describe("entry.ini") }
            assertTrue(messages.any { "callers is 'nowhere'" in it && "numeric address" in it })
            assertTrue(messages.any { "unknown section [shop]" in it })
            assertTrue(messages.any { "missing section [store]" in it })
        }
    }
}
