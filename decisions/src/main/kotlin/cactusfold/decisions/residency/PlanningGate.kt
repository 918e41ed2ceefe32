package cactusfold.decisions.residency

/**
 * Holds back plans until most runners have been read.
 *
 * To a holder that has just begun all runners look busy; a plan made then finds every load too late
 * and has callers refused that a runner could serve.
 */
public class PlanningGate {
    private var sinceMillis: Long? = null

    /** Books that this process does not act as the holder. */
    public fun closed() {
        sinceMillis = null
    }

    /** Returns whether to plan, with [known] of [reachable] runners read. */
    public fun mayPlan(known: Int, reachable: Int, nowMillis: Long): Boolean {
        val since = sinceMillis ?: nowMillis.also { sinceMillis = it }
        if (reachable == 0) return false
        return 2 * known >= reachable || nowMillis - since >= MAX_WAIT_MILLIS
    }

    private companion object {
        /** Many times what reading a runner takes; those that load are not waited for. */
        const val MAX_WAIT_MILLIS = 1_000L
    }
}
