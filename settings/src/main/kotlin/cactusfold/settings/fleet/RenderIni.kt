package cactusfold.settings.fleet

import cactusfold.decisions.config.ConfigDocument

/** Returns [document] as INI text, sections and keys in order of their names. */
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
