package cactusfold.decisions.residency

/**
 * The waiting requests of one priority for a model, in a form that can be merged over members.
 *
 * @property priority 0 is the most urgent. Priorities are ranks: their differences have no size.
 * @property targetAtMillis earliest target among the requests.
 * @property limitAtMillis latest time until which one of them waits.
 * @property tokens sum of the requests' work: prompt and maximum output tokens.
 * @property ageShare largest share of its own time limit that one of them has waited, 0 to 1.
 */
public data class PriorityDemand(
    public val priority: Int,
    public val waiting: Int,
    public val targetAtMillis: Long,
    public val limitAtMillis: Long,
    public val tokens: Long = 0,
    public val ageShare: Double = 0.0
) {
    /** Returns the demand of both; [other] has the same priority. */
    public fun merge(other: PriorityDemand): PriorityDemand = PriorityDemand(
        priority,
        waiting + other.waiting,
        minOf(targetAtMillis, other.targetAtMillis),
        maxOf(limitAtMillis, other.limitAtMillis),
        tokens + other.tokens,
        maxOf(ageShare, other.ageShare)
    )

    public companion object {
        /** Merges [demands] to one for each priority, the most urgent first. */
        public fun mergeAll(demands: List<PriorityDemand>): List<PriorityDemand> =
            demands.groupBy { it.priority }.toSortedMap().values.map { same ->
                same.reduce(PriorityDemand::merge)
            }
    }
}
