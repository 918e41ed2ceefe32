package cactusfold.settings.schema

import cactusfold.settings.ini.IniResult
import cactusfold.settings.ini.IniText

/** Validated settings of a process. Missing keys have their defaults. */
public class Settings internal constructor(
    private val schema: Schema,
    private val sections: Map<String, Map<String, String>>
) {
    /** Returns the section `[name]` with defaults for missing keys. */
    public fun section(name: String): SectionReader {
        val spec =
            requireNotNull(schema.sectionFor(name)) { "no section [$name] in ${schema.title}" }
        return SectionReader(SchemaValidator.withDefaults(spec, sections[name].orEmpty()))
    }

    /** Returns the names of the sections `[kind NAME]`. */
    public fun names(kind: String): List<String> =
        sections.keys.filter { it.startsWith("$kind ") }.map { it.substringAfter(' ') }
}

/** The result of reading settings. */
public sealed interface SettingsResult {
    /** The settings are complete and valid. */
    public data class Valid(public val settings: Settings) : SettingsResult

    /** The settings are invalid; [problems] contains every reason. */
    public data class Invalid(public val problems: List<Problem>) : SettingsResult
}

/** Parses [text] as INI and validates it against [schema]. */
public fun readSettings(schema: Schema, text: String): SettingsResult =
    when (val parsed = IniText.parse(text)) {
        is IniResult.Malformed ->
            SettingsResult.Invalid(listOf(Problem(parsed.line, parsed.reason)))
        is IniResult.Parsed -> {
            val problems = SchemaValidator.problems(schema, parsed.document)
            if (problems.isEmpty()) {
                SettingsResult.Valid(Settings(schema, parsed.document.sections))
            } else {
                SettingsResult.Invalid(problems)
            }
        }
    }
