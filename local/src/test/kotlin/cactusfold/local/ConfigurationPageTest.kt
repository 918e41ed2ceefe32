package cactusfold.local

import cactusfold.controller.controllerSchema
import cactusfold.router.routerSchema
import cactusfold.settings.fleet.FleetConfigResult
import cactusfold.settings.fleet.FleetConfigValidator
import cactusfold.settings.fleet.fleetSchema
import cactusfold.settings.schema.SettingsResult
import cactusfold.settings.schema.readSettings
import cactusfold.settings.schema.renderReference
import cactusfold.standins.standinsSchema
import java.nio.file.Path
import kotlin.io.path.readText
import kotlin.io.path.writeText
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class ConfigurationPageTest {
    private val root = Path.of("..")
    private val page = root.resolve("docs/CONFIGURATION.md")

    /** Run with `-Dcactusfold.write.pages=true` to regenerate the page first. */
    @Test
    fun `the configuration page matches the reference rendered from the schemas`() {
        val schemas = listOf(fleetSchema, routerSchema, controllerSchema, standinsSchema)
        val text =
            "# Configuration and settings\n\nGenerated from the schemas that check them.\n\n" +
                schemas.joinToString("") { renderReference(it) }
        if (System.getProperty("cactusfold.write.pages") == "true") page.writeText(text)
        assertEquals(text, page.readText(), "regenerate it with -Dcactusfold.write.pages=true")
    }

    @Test
    fun `the example configuration and settings are valid`() {
        val examples = root.resolve("examples")
        assertIs<FleetConfigResult.Valid>(
            FleetConfigValidator.check(examples.resolve("fleet.ini").readText())
        )
        val settings = mapOf(
            "standins.ini" to standinsSchema,
            "router-1.ini" to routerSchema,
            "controller-1.ini" to controllerSchema
        )
        for ((file, schema) in settings) {
            val result = readSettings(schema, examples.resolve(file).readText())
            assertIs<SettingsResult.Valid>(result, "$file: $result")
        }
    }
}
