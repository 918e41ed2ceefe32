package cactusfold.settings

import cactusfold.settings.fleet.FleetConfig
import cactusfold.settings.fleet.FleetConfigResult
import cactusfold.settings.fleet.FleetConfigValidator
import cactusfold.settings.fleet.renderIni
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

class FleetConfigValidatorTest {
    private val valid = """
        ; a class has only a target
        [class bookings]
        target_millis = 5000
        [workspace w]
        rate_tokens_per_second = 10.5
        burst_tokens = 100
        models = llama-3.1-8b
        [model llama-3.1-8b]
        memory_bytes = 100
        [upstream desk.one]
        kind = service
        host = 127.0.0.1
        port = 7
        zone = z
        [route lanes]
        path_prefix = /lanes
        class = bookings
        upstreams = desk.one
    """.trimIndent()

    private fun problems(text: String): List<String> =
        assertIs<FleetConfigResult.Invalid>(FleetConfigValidator.check(text)).problems.map {
            it.describe("f")
        }

    @Nested
    inner class Valid {
        @Test
        fun `names may contain dots, and a rendered document parses to the same document`() {
            val document = assertIs<FleetConfigResult.Valid>(
                FleetConfigValidator.check(valid)
            ).document
            val config = FleetConfig.of(1, document)
            assertEquals(setOf("llama-3.1-8b"), config.models.keys)
            assertEquals(setOf("desk.one"), config.services.keys)
            val again =
                assertIs<FleetConfigResult.Valid>(FleetConfigValidator.check(renderIni(document)))
            assertEquals(document, again.document)
        }

        @Test
        fun `the longest prefix that ends at a path boundary is selected`() {
            val document = assertIs<FleetConfigResult.Valid>(
                FleetConfigValidator.check(valid)
            ).document
            val config = FleetConfig.of(1, document)
            assertEquals("lanes", config.routeFor("/lanes/3")?.name)
            assertEquals(null, config.routeFor("/lanesides"))
        }
    }

    @Nested
    inner class Problems {
        @Test
        fun `the message for a wrong unit contains file, line and the expected value`() {
            val found = problems(valid.replace("5000", "5s")).single()
            assertTrue(
                found.startsWith("f:3: target_millis is '5s'; expected a whole number"),
                found
            )
        }

        @Test
        fun `the messages for unknown keys and sections contain their names`() {
            val found = problems("$valid\nweight = 3\n[vm x]\n")
            assertTrue(found.any { "unknown key weight" in it }, "$found")
            assertTrue(found.any { "unknown section [vm x]" in it }, "$found")
        }

        @Test
        fun `the messages for a missing key and an unresolved reference contain their names`() {
            assertTrue(problems("[class c]\n").single().contains("missing target_millis"))
            val found = problems(valid.replace("class = bookings", "class = deposits"))
            assertTrue(found.single().contains("unknown class deposits"), "$found")
        }

        @Test
        fun `a section that occurs twice is rejected`() {
            assertTrue(
                problems("$valid\n[class bookings]\ntarget_millis = 1\n").single().contains("twice")
            )
        }
    }
}
