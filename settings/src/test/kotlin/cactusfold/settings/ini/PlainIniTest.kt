package cactusfold.settings.ini

import java.io.StringReader
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import org.apache.commons.configuration2.INIConfiguration
import org.junit.jupiter.api.Test

class PlainIniTest {
    private fun fromLibrary(text: String) =
        IniText.valuesOf(INIConfiguration().apply { read(StringReader(text)) })

    private fun line(random: Random): String =
        (if (random.nextInt(10) == 0) ODD_LINES else LINES).random(random)

    // Guards against a setting that has another value than the library for INI files gives it.
    @Test
    fun `documents that are read without the library have the same values`() {
        val random = Random(1)
        var plain = 0
        repeat(5_000) {
            val text = List(random.nextInt(8)) { line(random) }.joinToString("\n")
            val values = PlainIni.valuesOf(text) ?: return@repeat
            assertEquals(fromLibrary(text), values, text)
            if (values.isNotEmpty()) plain++
        }
        assertTrue(plain > 100, "$plain")
    }

    @Test
    fun `settings as deployed are read without the library`() {
        val text = "; of a VM\n[vm]\nname = n-1\naddress = 10.0.0.1\ncore-share = 0.25\n\n" +
            "[listen]\ncallers = 10.0.0.1:80\n"
        val values = assertNotNull(PlainIni.valuesOf(text))
        assertEquals(mapOf("callers" to "10.0.0.1:80"), values["listen"])
        assertEquals("0.25", values["vm"]?.get("core-share"))
    }

    @Test
    fun `what only the library understands is left to it`() {
        for (value in listOf("\"a\"", "a ; b", "a\\", "\${b}", "a # b", "", "a=b", "[::1]:80")) {
            assertNull(PlainIni.valuesOf("[vm]\nname = $value\n"), value)
        }
    }

    private companion object {
        val LINES = listOf(
            "[vm]", "[listen]", "[class a]", "", "  ", "; c", "# c", "name = a",
            "address=10.0.0.1:80", "  zone =  z-1  ", "share = 0.2", "url = http://h/p", "u = +1"
        )
        val ODD_LINES = listOf(
            "[]", "[x", "k = a b", "k = \"q\"", "k : v", "k.l = 1", "other", "t = 1 ; c", "e =",
            "r = 1\r", "v = é", "[ s ]", "m = a,b", "n = \${name}"
        )
    }
}
