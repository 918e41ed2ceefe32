package cactusfold.entry

import cactusfold.settings.schema.renderReference
import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.assertEquals
import org.junit.jupiter.api.Test

class EntrySettingsPageTest {
    @Test
    fun `the settings page matches the schema`() {
        val page = Files.readString(Path.of("../docs/ENTRY-SETTINGS.md"))
        assertEquals(renderReference(entrySchema).trim(), page.trim())
    }
}
