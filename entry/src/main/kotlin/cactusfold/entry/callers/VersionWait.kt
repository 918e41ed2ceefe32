package cactusfold.entry.callers

import kotlinx.coroutines.delay

/**
 * The wait of one request for an upstream of the software version that its stream needs: that at
 * which it began, or one at which streams may begin. It takes up to half of the latency target.
 */
internal class VersionWait(
    private val dependencies: RequestFlowDependencies,
    targetMillis: Long,
    private val deadlineAtMillis: Long
) {
    private val maxWaitMillis = targetMillis / TARGET_SHARE_DIVISOR
    private var waitingSinceMillis: Long? = null

    /** Waits for a while. Returns why the request is given up instead, or null if it is not. */
    suspend fun await(placement: StreamPlacement): ErrorAnswer? {
        val nowMillis = dependencies.clock.nowMillis()
        val sinceMillis = waitingSinceMillis ?: nowMillis.also { waitingSinceMillis = it }
        val endsAtMillis = minOf(sinceMillis + maxWaitMillis, deadlineAtMillis)
        if (nowMillis >= endsAtMillis) {
            val code = if (placement.isBound) "stream-version-busy" else "version-unrecorded"
            return ErrorAnswer.NotRun(code, RETRY_AFTER_MILLIS)
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
