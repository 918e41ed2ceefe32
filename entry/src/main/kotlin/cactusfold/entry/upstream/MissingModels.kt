package cactusfold.entry.upstream

/**
 * Models and adapters that an upstream answered not to have, though it seemed to.
 *
 * The answer may be about a load that is still in progress, or about a moment before one, so it only
 * keeps requests away for a while, which doubles each time in a row.
 */
internal class MissingModels {
    private class Miss(val untilMillis: Long, val times: Int)

    private val misses = HashMap<ModelUse, Miss>()

    /** Records an answer to a request that needed [use]. */
    fun record(use: ModelUse, nowMillis: Long) {
        val before = misses[use]
        // Requests that were sent together get the same answer.
        if (before != null && nowMillis < before.untilMillis) return
        misses.values.removeIf { nowMillis - it.untilMillis > FORGOTTEN_MILLIS }
        val times = if (use in misses) before?.times ?: 0 else 0
        val pauseMillis = PAUSE_MILLIS shl times.coerceAtMost(MAX_DOUBLINGS)
        misses[use] = Miss(nowMillis + pauseMillis, times + 1)
    }

    /** Whether no request that needs [use] is to be sent now. */
    fun isRecent(use: ModelUse, nowMillis: Long): Boolean {
        val miss = misses[use] ?: return false
        return nowMillis < miss.untilMillis
    }

    private companion object {
        /** An adapter takes some tens of milliseconds; more while many are being loaded. */
        const val PAUSE_MILLIS = 100L
        const val MAX_DOUBLINGS = 4

        /** After this time the next answer does not count as one in a row. */
        const val FORGOTTEN_MILLIS = 5_000L
    }
}
