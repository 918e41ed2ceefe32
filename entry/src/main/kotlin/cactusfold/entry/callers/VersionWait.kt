package cactusfold.entry.callers

import kotlinx.coroutines.delay

/**
 * The wait of one request until the software version of an upstream with its model is recorded, so
 * that streams may begin there. It takes up to half of the latency target.
 */
internal class VersionWait(
    private val dependencies: RequestFlowDependencies,
    targetMillis: Long,
    private val deadlineAtMillis: Long
) {
    private val maxWaitMillis = targetMillis / TARGET_SHARE_DIVISOR
    private var waitingSinceMillis: Long? = null

    /** Waits for a while. Returns why the request is given up instead, or null if it is not. */
    suspend fun await(): ErrorAnswer? {
        val nowMillis = dependencies.clock.nowMillis()
        val sinceMillis = waitingSinceMillis ?: nowMillis.also { waitingSinceMillis = it }
        val endsAtMillis = minOf(sinceMillis + maxWaitMillis, deadlineAtMillis)
        if (nowMillis >= endsAtMillis) {
            return ErrorAnswer.NotRun("version-unrecorded", RETRY_AFTER_MILLIS)
        }
        delay(RECHECK_MILLIS)
        return null
    }

    private companion object {
        const val TARGET_SHARE_DIVISOR = 2
        const val RECHECK_MILLIS = 10L
        const val RETRY_AFTER_MILLIS = 500L
    }
}
