package cactusfold.decisions.residency

/** Counts refusals of each model's callers since its last load, to prevent starvation. */
public class ModelRefusals {
    private class Refusals(val count: Int, val atMillis: Long)

    private val refusedByModel = HashMap<String, Refusals>()

    /**
     * Records that callers of [model] are refused.
     *
     * Refused demand remains in the last reports of the entry processes for a while; refusals
     * within that time count once.
     */
    public fun refused(model: String, nowMillis: Long) {
        val before = refusedByModel[model]
        if (before != null && nowMillis - before.atMillis < REPORT_RETENTION_MILLIS) return
        refusedByModel[model] = Refusals((before?.count ?: 0) + 1, nowMillis)
    }

    /** Resets the count of [model], whose load starts. */
    public fun loading(model: String) {
        refusedByModel.remove(model)
    }

    /** Returns the number of refusals of [model] since its last load. */
    public fun count(model: String): Int = refusedByModel[model]?.count ?: 0

    /** Returns the refusals by model. Those older than [RETENTION_MILLIS] are forgotten. */
    public fun counts(nowMillis: Long): Map<String, Int> {
        refusedByModel.values.removeIf { nowMillis - it.atMillis > RETENTION_MILLIS }
        return refusedByModel.mapValues { (_, refusals) -> refusals.count }
    }

    /** Resets the counts of all models. */
    public fun clear() {
        refusedByModel.clear()
    }

    private companion object {
        /** Longer than refused demand remains in the reports of the entry processes. */
        const val REPORT_RETENTION_MILLIS = 600L

        /** Twice the time constant of long-term arrivals. */
        const val RETENTION_MILLIS = 120_000L
    }
}
