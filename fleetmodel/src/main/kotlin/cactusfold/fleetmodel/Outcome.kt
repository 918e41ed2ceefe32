package cactusfold.fleetmodel

/** How requests of a class ended. */
public class ClassOutcome(public val name: String) {
    private val firstPieceMillis = mutableListOf<Double>()

    /** Requests that callers wanted to have answered. */
    public var asked: Int = 0
        internal set

    /** First pieces within the target. */
    public var inTarget: Int = 0
        private set

    /** Answers whose first piece came after the target. */
    public val late: Int get() = firstPieceMillis.size - inTarget

    /** Requests that ended with a refusal. */
    public var refused: Int = 0
        internal set

    /** Requests that broke off, or whose callers left in vain. */
    public var failed: Int = 0
        internal set

    /** Time that callers waited in vain before they were refused or left, in milliseconds. */
    public var waitedInVainMillis: Double = 0.0
        internal set

    internal fun answered(tookMillis: Double, targetMillis: Long) {
        firstPieceMillis += tookMillis
        if (tookMillis <= targetMillis) inTarget++
    }

    /** Returns the time to the first piece that [share] of the answers kept to, in milliseconds. */
    public fun firstPieceMillis(share: Double): Double {
        if (firstPieceMillis.isEmpty()) return Double.NaN
        val sorted = firstPieceMillis.sorted()
        return sorted[((sorted.size - 1) * share).toInt()]
    }

    /** Share of the requests answered within the target. */
    public val inTargetShare: Double get() = if (asked == 0) 0.0 else inTarget / asked.toDouble()

    /** Share of the requests answered at all. */
    public val servedShare: Double
        get() = if (asked == 0) 0.0 else firstPieceMillis.size / asked.toDouble()
}

/**
 * What came of a run.
 *
 * @property answersBySecond answers whose first piece came in each second.
 * @property askedBySecond requests that first arrived in each second.
 * @property loadsBySource loads that were begun, by where the weights came from.
 * @property servedByModel answers, by model.
 */
public class Outcome(
    public val classes: List<ClassOutcome>,
    public val askedBySecond: List<Int>,
    public val answersBySecond: List<Int>,
    public val loadsBySource: Map<String, Int>,
    public val servedByModel: Map<String, Int>
) {
    /** Returns how requests of class [name] ended. */
    public fun of(name: String): ClassOutcome = classes.first { it.name == name }
}
