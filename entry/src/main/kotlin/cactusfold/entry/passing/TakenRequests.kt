package cactusfold.entry.passing

/**
 * The requests in progress that peers passed on to this process: at most [maxTaken], of which each
 * peer that has some here gets an equal share, and none while [maxRunning] requests of all kinds
 * are in progress.
 */
public class TakenRequests(
    private val maxTaken: Int = MAX_TAKEN,
    private val maxRunning: Int = MAX_RUNNING
) {
    private val counts = HashMap<String, Int>()

    /** Number of requests in progress that were passed on. */
    public val count: Int get() = counts.values.sum()

    /** Takes a request of [vm] and returns true if there is room beside [running] requests. */
    public fun tryEnter(vm: String, running: Int): Boolean {
        val own = counts[vm] ?: 0
        val senders = if (own == 0) counts.size + 1 else counts.size
        if (running >= maxRunning || count >= maxTaken || own >= maxTaken / senders) return false
        counts[vm] = own + 1
        return true
    }

    /** Records that a request of [vm] has ended that was taken. */
    public fun leave(vm: String) {
        counts.computeIfPresent(vm) { _, count -> (count - 1).takeIf { it > 0 } }
    }

    private companion object {
        const val MAX_TAKEN = 192
        const val MAX_RUNNING = 400
    }
}
