package cactusfold.decisions.held

/**
 * A stream with bytes that its caller has not read yet.
 *
 * @property priority 0 is the most urgent.
 * @property heldBytes memory that these bytes take.
 * @property behindSinceMillis since when the caller has not read all that was written to it.
 * @property lastReadAtMillis when the caller last read something.
 * @property isResumable whether the caller may take up the stream again after its last event.
 */
public data class HeldStream<T>(
    public val stream: T,
    public val priority: Int,
    public val heldBytes: Long,
    public val behindSinceMillis: Long,
    public val lastReadAtMillis: Long,
    public val isResumable: Boolean
)

/**
 * Decides which streams end when the bytes that wait for slow callers exceed [budgetBytes].
 *
 * Only streams whose callers have been behind for [SLOW_MILLIS] end, so a caller that reads as fast
 * as others never loses its stream. They end in the order of priority, the least urgent first;
 * among equals first those that may be resumed, since these lose least, and then those that were
 * not read for the longest time.
 */
public class HeldOutput(public val budgetBytes: Long) {
    /** What is left of the budget after streams were ended, so that it is not exceeded at once. */
    private val targetBytes = budgetBytes - budgetBytes / FREED_DIVISOR

    /** Returns the streams of [held] that are to end now; none within the budget. */
    public fun <T> excess(held: Collection<HeldStream<T>>, nowMillis: Long): List<HeldStream<T>> {
        var leftBytes = held.sumOf { it.heldBytes }
        if (leftBytes <= budgetBytes) return emptyList()
        return held.filter { nowMillis - it.behindSinceMillis >= SLOW_MILLIS }
            .sortedWith(LOSES_FIRST)
            .takeWhile {
                val isNeeded = leftBytes > targetBytes
                leftBytes -= it.heldBytes
                isNeeded
            }
    }

    public companion object {
        /** Runners cut off an answer that stays unread for some seconds. */
        public const val SLOW_MILLIS: Long = 1_000

        private const val FREED_DIVISOR = 8
        private val LOSES_FIRST = compareByDescending<HeldStream<*>> { it.priority }
            .thenByDescending { it.isResumable }
            .thenBy { it.lastReadAtMillis }
            .thenByDescending { it.heldBytes }
    }
}
