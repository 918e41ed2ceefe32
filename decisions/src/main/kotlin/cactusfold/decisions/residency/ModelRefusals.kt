package cactusfold.decisions.residency

/** Counts how often callers of a model were refused since it was last loaded, so that none starves. */
public class ModelRefusals {
    private class Refusals(val count: Int, val atMillis: Long)

    private val refusedByModel = HashMap<String, Refusals>()

    /**
     * Books that callers of [model] are refused. Demand that was refused still stands in the last
     * reports for a while, and counts once.
     */
    public fun refused(model: String, nowMillis: Long) {
        val before = refusedByModel[model]
        if (before != null && nowMillis - before.atMillis < REPORT_RETENTION_MILLIS) return
        refusedByModel[model] = Refusals((before?.count ?: 0) + 1, nowMillis)
    }

    /** Books that a load of [model] begins. */
    public fun loading(model: String) {
        refusedByModel.remove(model)
    }

    /** Returns the refusals of [model] since its last load. */
    public fun count(model: String): Int = refusedByModel[model]?.count ?: 0

    /** Forgets all refusals. */
    public fun clear() {
        refusedByModel.clear()
    }

    private companion object {
        /** Longer than a refused demand stands in the members' reports. */
        const val REPORT_RETENTION_MILLIS = 600L
    }
}
