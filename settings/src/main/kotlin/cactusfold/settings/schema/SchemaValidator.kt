package cactusfold.settings.schema

import cactusfold.settings.ini.IniDocument

/** A problem of a document. [line] is null if it concerns something missing from the text. */
public data class Problem(public val line: Int?, public val message: String) {
    /** Formats the problem as `FILE:LINE: message`, without the line if there is none. */
    public fun describe(file: String): String =
        if (line == null) "$file: $message" else "$file:$line: $message"
}

/** Validates documents against a [Schema]. */
public object SchemaValidator {
    /** Returns all problems of [document] in the order of their lines. */
    public fun problems(schema: Schema, document: IniDocument): List<Problem> {
        val inSections = document.sections.flatMap { (name, values) ->
            sectionProblems(schema, document, name, values)
        }
        return (inSections + missingSections(schema, document)).sortedBy { it.line ?: 0 }
    }

    /** Returns [values] and, for missing keys, the defaults of [spec]. */
    public fun withDefaults(spec: SectionSpec, values: Map<String, String>): Map<String, String> {
        val defaults = spec.keys.mapNotNull { key -> key.default?.let { key.name to it } }
        val blank = spec.keys.filter { it.isBlankMissing }.map { it.name }
            .filter { values[it]?.isBlank() == true }
        return defaults.toMap() + (values - blank.toSet())
    }

    private fun sectionProblems(
        schema: Schema,
        document: IniDocument,
        name: String,
        values: Map<String, String>
    ): List<Problem> {
        val line = document.lines.find(name, null)
        val spec = schema.sectionFor(name)
            ?: return listOf(Problem(line, "unknown section [$name]; expected ${kinds(schema)}"))
        val wrong = values.mapNotNull { (key, value) ->
            valueProblem(spec, key, value)?.let { Problem(document.lines.find(name, key), it) }
        }
        val missing = spec.keys
            .filter { it.default == null && !it.optional && it.name !in values }
            .map { Problem(line, "missing ${it.name} in [$name]; expected ${it.type.expected}") }
        return wrong + missing
    }

    private fun valueProblem(spec: SectionSpec, key: String, value: String): String? {
        val known = spec.keys.find { it.name == key }
        val others = spec.others
        return when {
            known == null && others != null ->
                if (others.accepts(value)) null else "$key is '$value'; expected ${others.expected}"
            known == null -> "unknown key $key; expected one of ${spec.keys.joinToString {
                it.name
            }}"
            known.isBlankMissing && value.isBlank() -> null
            known.type.accepts(value) -> null
            else -> "$key is '$value'; expected ${known.type.expected}"
        }
    }

    private fun missingSections(schema: Schema, document: IniDocument): List<Problem> =
        schema.sections
            .filter { !it.named && it.kind !in document.sections }
            .filter { spec -> spec.keys.any { it.default == null && !it.optional } }
            .map { Problem(null, "missing section [${it.kind}]") }

    private fun kinds(schema: Schema): String =
        schema.sections.joinToString { if (it.named) "[${it.kind} NAME]" else "[${it.kind}]" }
}
