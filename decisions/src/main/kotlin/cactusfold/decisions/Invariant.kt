package cactusfold.decisions

/** Thrown when an invariant of the system is violated. It stops the process. */
public class BrokenInvariant(public val rule: String) : IllegalStateException(rule)

/** Throws [BrokenInvariant] with the text of [rule] unless [holds]. */
public inline fun invariant(holds: Boolean, rule: () -> String) {
    if (!holds) throw BrokenInvariant(rule())
}
