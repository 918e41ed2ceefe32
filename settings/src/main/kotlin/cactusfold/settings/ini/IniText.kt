package cactusfold.settings.ini

import java.io.StringReader
import org.apache.commons.configuration2.INIConfiguration
import org.apache.commons.configuration2.ex.ConfigurationException

/** The values of an INI document by section and key; keys before any section are under `""`. */
public data class IniDocument(
    public val sections: Map<String, Map<String, String>>,
    public val lines: IniLines
)

/** The result of parsing an INI document. */
public sealed interface IniResult {
    /** The text is well-formed. */
    public data class Parsed(public val document: IniDocument) : IniResult

    /** The text is not an INI document. */
    public data class Malformed(public val line: Int?, public val reason: String) : IniResult
}

/** Parser for INI documents with comments that start with `;` or `#`. */
public object IniText {
    /** Parses [text]; a section or key that occurs twice is an error. */
    public fun parse(text: String): IniResult {
        val lines = IniLines.of(text)
        val duplicate = lines.firstDuplicate
        if (duplicate != null) {
            return IniResult.Malformed(duplicate.line, "${duplicate.name} is given twice")
        }
        PlainIni.valuesOf(text)?.let { return IniResult.Parsed(IniDocument(it, lines)) }
        val ini = INIConfiguration()
        try {
            ini.read(StringReader(text))
        } catch (e: ConfigurationException) {
            return IniResult.Malformed(null, e.message ?: "not an INI document")
        }
        return IniResult.Parsed(IniDocument(valuesOf(ini), lines))
    }

    internal fun valuesOf(ini: INIConfiguration): Map<String, Map<String, String>> =
        ini.sections.associate { name ->
            val section = ini.getSection(name)
            val keys = section.keys.asSequence().toList()
            (name ?: "") to keys.associate { unescape(it) to section.getString(it).orEmpty() }
        }.filter { (name, values) -> name.isNotEmpty() || values.isNotEmpty() }

    private fun unescape(key: String): String = key.replace("..", ".")
}
