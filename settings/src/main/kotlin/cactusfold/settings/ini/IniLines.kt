package cactusfold.settings.ini

/** The second occurrence of a section or key. */
public data class Duplicate(public val name: String, public val line: Int)

/** Line numbers of the sections and keys of an INI document, for error messages. */
public class IniLines private constructor(
    private val sectionLines: Map<String, Int>,
    private val keyLines: Map<Pair<String, String>, Int>,
    public val firstDuplicate: Duplicate?
) {
    /** Returns the line of [key] in [section]; without such a key, of the section; else null. */
    public fun find(section: String, key: String?): Int? =
        key?.let { keyLines[section to it] } ?: sectionLines[section]

    public companion object {
        /** Builds the index of [text]. */
        public fun of(text: String): IniLines {
            val sections = mutableMapOf<String, Int>()
            val keys = mutableMapOf<Pair<String, String>, Int>()
            var duplicate: Duplicate? = null
            var section = ""
            text.lineSequence().forEachIndexed { i, raw ->
                val line = raw.trim()
                val number = i + 1
                val before = when {
                    line.isEmpty() || line[0] == ';' || line[0] == '#' -> null
                    line.startsWith('[') -> {
                        section = line.substringAfter('[').substringBeforeLast(']').trim()
                        sections.putIfAbsent(section, number)?.let { "[$section]" }
                    }
                    else -> {
                        val key = line.substringBefore('=').trim()
                        keys.putIfAbsent(section to key, number)?.let { "$key in [$section]" }
                    }
                }
                if (before != null && duplicate == null) duplicate = Duplicate(before, number)
            }
            return IniLines(sections, keys, duplicate)
        }
    }
}
