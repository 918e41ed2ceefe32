package cactusfold.entry.callers

/**
 * How far a stream has been sent to its caller, and which event may follow.
 *
 * @param resumesAfter the last event that the caller got by an earlier request; null if it resumes
 *   no stream.
 */
public class StreamPosition(private val resumesAfter: String? = null) {
    /** Whether each event so far had the number after that of the one before; null if unknown. */
    private var countsByOne: Boolean? = null

    /** The id of the last event that was sent; null if none of them had one. */
    public var lastEventId: String? = null
        private set

    /** Whether the caller has a part of the stream from an earlier request. */
    public val isResumed: Boolean get() = resumesAfter != null

    /**
     * Returns whether a run whose first event has [id] continues the stream. Ids increase; only
     * those of a stream that numbers its events show a gap.
     */
    public fun isContinuedBy(id: String?): Boolean {
        val last = lastEventId ?: resumesAfter ?: return true
        if (id == null) return lastEventId == null
        val step = step(last, id) ?: return id != last
        return if (countsByOne == true) step == 1L else step > 0
    }

    /** Returns whether [ids] increase, from that of the last event that was sent. */
    public fun increasesBy(ids: List<String>): Boolean =
        (listOfNotNull(lastEventId) + ids).zipWithNext().all { (last, next) ->
            step(last, next)?.let { it > 0 } ?: (last != next)
        }

    /** Records that events with [ids] were sent. */
    public fun sent(ids: List<String>) {
        for (id in ids) {
            step(lastEventId ?: resumesAfter, id)?.let {
                countsByOne = it == 1L && countsByOne != false
            }
            lastEventId = id
        }
    }

    private fun step(from: String?, to: String): Long? {
        val fromNumber = from?.toLongOrNull() ?: return null
        return to.toLongOrNull()?.minus(fromNumber)
    }
}
