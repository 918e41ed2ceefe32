package cactusfold.settings.schema

/** The type of a value. [expected] completes the error message "expected ...". */
public sealed class ValueType(public val expected: String) {
    /** Any text that is not blank. */
    public data object Text : ValueType("text")

    /** An integer from [min] to [max], in [unit]. */
    public data class Whole(val min: Long, val max: Long, val unit: String) :
        ValueType("a whole number of $unit from $min to $max, without a unit")

    /** A positive number in [unit]. */
    public data class Decimal(val unit: String) : ValueType("a number of $unit above 0")

    /** `true` or `false`. */
    public data object Flag : ValueType("true or false")

    /** One of [names]. */
    public data class OneOf(val names: Set<String>) :
        ValueType("one of " + names.joinToString())

    /** A numeric IP address with a port. */
    public data object Address : ValueType("a numeric address and a port, as in 127.0.0.1:7001")

    /** A comma-separated list of names; may be empty. */
    public data object Names : ValueType("names with commas between them")

    /** A SHA-256 digest. */
    public data object Sha256 : ValueType("64 hexadecimal digits")

    /** Returns whether [text] is a value of this type. */
    public fun accepts(text: String): Boolean = when (this) {
        Text -> text.isNotBlank()
        is Whole -> text.toLongOrNull()?.let { it in min..max } ?: false
        is Decimal -> text.toDoubleOrNull()?.let { it > 0 && it.isFinite() } ?: false
        Flag -> text == "true" || text == "false"
        is OneOf -> text in names
        Address -> ADDRESS.matches(text)
        Names -> true
        Sha256 -> DIGEST.matches(text)
    }

    private companion object {
        val ADDRESS = Regex("""(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+]):\d{1,5}""")
        val DIGEST = Regex("[0-9a-f]{64}")
    }
}

/**
 * A key of a section.
 *
 * @property default value if the key is missing; null makes the key mandatory unless [optional] is
 *   set.
 * @property isBlankMissing whether a key without a value counts as missing, as a template leaves it
 *   if the platform does not give the value.
 */
public data class KeySpec(
    public val name: String,
    public val type: ValueType,
    public val default: String?,
    public val optional: Boolean,
    public val help: String,
    public val isBlankMissing: Boolean = false
)

/**
 * A kind of section.
 *
 * @property named whether the section has a name in addition to its kind, as in `[class bookings]`.
 * @property others the type of the values of keys that are not listed; null if there are none.
 */
public data class SectionSpec(
    public val kind: String,
    public val named: Boolean,
    public val help: String,
    public val keys: List<KeySpec>,
    public val others: ValueType? = null
)

/** The kinds of sections that a document may contain. */
public data class Schema(public val title: String, public val sections: List<SectionSpec>) {
    /** Returns the specification for a section header without brackets, or null if unknown. */
    public fun sectionFor(name: String): SectionSpec? {
        val kind = name.substringBefore(' ')
        return sections.find { it.kind == kind && it.named == name.contains(' ') }
    }
}

/** Builds a [Schema]. */
public fun schema(title: String, build: SchemaBuilder.() -> Unit): Schema =
    SchemaBuilder(title).apply(build).build()

/** Collects the sections of a schema. */
public class SchemaBuilder internal constructor(private val title: String) {
    private val sections = mutableListOf<SectionSpec>()

    /** Adds the section `[kind]`. */
    public fun section(kind: String, help: String, build: SectionBuilder.() -> Unit) {
        sections += SectionSpec(kind, false, help, SectionBuilder().apply(build).build())
    }

    /** Adds sections `[kind NAME]`. */
    public fun namedSection(kind: String, help: String, build: SectionBuilder.() -> Unit) {
        sections += SectionSpec(kind, true, help, SectionBuilder().apply(build).build())
    }

    /** Adds the section `[kind]` with any keys, whose values are of [type]. */
    public fun mapSection(kind: String, type: ValueType, help: String) {
        sections += SectionSpec(kind, false, help, emptyList(), type)
    }

    internal fun build(): Schema = Schema(title, sections.toList())
}

/** Collects the keys of a section. */
public class SectionBuilder internal constructor() {
    private val keys = mutableListOf<KeySpec>()

    /** Adds a key of any [type]. */
    public fun key(
        name: String,
        type: ValueType,
        help: String,
        default: String? = null,
        optional: Boolean = false
    ) {
        keys += KeySpec(name, type, default, optional, help)
    }

    /** Adds a key that takes its [default] if it is missing or has no value. */
    public fun defaulted(name: String, type: ValueType, help: String, default: String) {
        keys += KeySpec(name, type, default, optional = false, help, isBlankMissing = true)
    }

    /** Adds a key for an integer. */
    public fun whole(
        name: String,
        unit: String,
        range: LongRange,
        help: String,
        default: Long? = null
    ) {
        key(name, ValueType.Whole(range.first, range.last, unit), help, default?.toString())
    }

    /** Adds a key for a duration in milliseconds. */
    public fun millis(name: String, range: LongRange, help: String, default: Long? = null) {
        whole(name, "milliseconds", range, help, default)
    }

    /** Adds a key for `true` or `false`. */
    public fun flag(name: String, help: String, default: Boolean? = null) {
        key(name, ValueType.Flag, help, default?.toString())
    }

    internal fun build(): List<KeySpec> = keys.toList()
}
