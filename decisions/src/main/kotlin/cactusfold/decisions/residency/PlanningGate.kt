package cactusfold.decisions.residency

/**
 * Delays planning until at least half of the reachable runners have reported their state.
 *
 * To a process that has just acquired the lease all runners look busy. A plan made then would find
 * every load too late and refuse callers that a runner could serve.
 */
public class PlanningGate {
    private var sinceMillis: Long? = null

    /** Resets the gate while this process is not the lease holder. */
    public fun closed() {
        sinceMillis = null
    }

    /** Returns whether to plan, given that [known] of [reachable] runners have reported. */
    public fun mayPlan(known: Int, reachable: Int, nowMillis: Long): Boolean {
        val since = sinceMillis ?: nowMillis.also { sinceMillis = it }
        if (reachable == 0) return false
        return 2 * known >= reachable || nowMillis - since >= MAX_WAIT_MILLIS
    }

    private companion object {
        /** Many times what reading a runner takes. Runners that are loading are not waited for. */
        const val MAX_WAIT_MILLIS = 1_000L
    }
}
