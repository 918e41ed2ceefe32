package cactusfold.settings.fleet

import cactusfold.decisions.config.ConfigDocument

/** Renders [document] in INI format with sections and keys sorted by name. */
public fun renderIni(document: ConfigDocument): String = buildString {
    for ((name, values) in document.sections.toSortedMap()) {
        append('[').append(name).append("]\n")
        for ((key, value) in values.toSortedMap()) {
            append(
                key
            ).append(" = ").append(value).append('\n')
        }
        append('\n')
    }
}
