package cactusfold.settings.schema

/** Renders [schema] as Markdown with a table of keys for each section. */
public fun renderReference(schema: Schema): String = buildString {
    append("## ${schema.title}\n\n")
    for (section in schema.sections) {
        val name = if (section.named) "[${section.kind} NAME]" else "[${section.kind}]"
        append("### `$name`\n\n${section.help}\n\n")
        append("| key | expected | default | meaning |\n|---|---|---|---|\n")
        for (key in section.keys) append(rowOf(key))
        section.others?.let { append("| any | ${it.expected} | none | |\n") }
        append('\n')
    }
}

private fun rowOf(key: KeySpec): String {
    val default = key.default ?: if (key.optional) "none" else "must be given"
    return "| `${key.name}` | ${key.type.expected} | ${default.ifEmpty {
        "empty"
    }} | ${key.help} |\n"
}
