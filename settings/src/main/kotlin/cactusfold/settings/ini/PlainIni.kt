package cactusfold.settings.ini

/**
 * Reader for documents that consist only of comments, sections and values without quotes, escapes,
 * references or comments behind them. The settings of processes are such documents. Reading them
 * with the library for INI files would load 165 classes at each start of a process.
 */
internal object PlainIni {
    /** Returns the values of [text] by section and key, or null if it needs the library. */
    fun valuesOf(text: String): Map<String, Map<String, String>>? {
        val sections = LinkedHashMap<String, MutableMap<String, String>>()
        var values: MutableMap<String, String>? = null
        for (raw in text.split('\n')) {
            val line = raw.trim(' ')
            if (line.isEmpty() || line[0] == ';' || line[0] == '#') continue
            if (line[0] == '[') {
                val name = sectionName(line) ?: return null
                if (values?.isEmpty() == true || name in sections) return null
                values = LinkedHashMap<String, String>().also { sections[name] = it }
            } else {
                val key = line.substringBefore('=').trim(' ')
                val value = line.substringAfter('=', "").trim(' ')
                if (!isName(key) || !isValue(value)) return null
                if ((values ?: return null).put(key, value) != null) return null
            }
        }
        return sections.takeIf { values?.isEmpty() != true }
    }

    private fun sectionName(line: String): String? {
        val name = line.substring(1, line.length - 1)
        return name.takeIf { line.last() == ']' && name.split(' ').all(::isName) }
    }

    private fun isName(text: String): Boolean =
        text.isNotEmpty() && text.all { isLetterOrDigit(it) || it == '-' || it == '_' }

    private fun isValue(text: String): Boolean =
        text.isNotEmpty() && text.all { isLetterOrDigit(it) || it in VALUE_SIGNS }

    private fun isLetterOrDigit(char: Char): Boolean =
        char in 'a'..'z' || char in 'A'..'Z' || char in '0'..'9'

    private const val VALUE_SIGNS = "-_.:/+"
}
