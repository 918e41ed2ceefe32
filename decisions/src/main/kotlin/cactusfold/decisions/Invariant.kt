package cactusfold.decisions

/** A promise of the product that the program found broken. It stops the process. */
public class BrokenInvariant(public val rule: String) : IllegalStateException(rule)

/** Throws [BrokenInvariant] with the text of [rule] unless [holds]. */
public inline fun invariant(holds: Boolean, rule: () -> String) {
    if (!holds) throw BrokenInvariant(rule())
}
