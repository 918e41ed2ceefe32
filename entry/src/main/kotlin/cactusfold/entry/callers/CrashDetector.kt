package cactusfold.entry.callers

import cactusfold.decisions.rate.UpstreamStart
import cactusfold.decisions.suspect.CrashId
import cactusfold.entry.upstream.Upstream
import cactusfold.node.time.MonotonicClock
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/**
 * Finds out whether an upstream that broke off a request has crashed: it then refuses connections,
 * at once or shortly after.
 *
 * @param onCrash called with each start that was found to have crashed.
 * @param isRefused connects to the upstream once and returns whether it refused.
 */
public class CrashDetector(
    private val scope: CoroutineScope,
    private val clock: MonotonicClock,
    private val blocks: SharedPromptBlocks,
    private val onCrash: (UpstreamStart) -> Unit = {},
    private val isRefused: suspend (Upstream) -> Boolean
) {
    private val checks = HashMap<String, Deferred<Boolean>>()

    /**
     * Checks whether [upstream] has crashed after it broke off a request with [promptBlocks], and
     * records the crash, also if the caller does not wait for the result.
     */
    public suspend fun recordBroken(upstream: Upstream, promptBlocks: List<String>): Boolean {
        val atMillis = clock.nowMillis()
        val id = CrashId(upstream.entry.id, upstream.entry.startedAtEpochMillis ?: 0)
        val recording = scope.async {
            val hasCrashed = blocks.isKnown(id) || isDown(upstream)
            if (hasCrashed) {
                if (!upstream.isDown(clock.nowMillis())) {
                    upstream.recordUnreachable(clock.nowMillis())
                }
                onCrash(upstream.start)
                if (promptBlocks.isNotEmpty()) blocks.crashed(id, promptBlocks, atMillis)
            }
            hasCrashed
        }
        return recording.await()
    }

    /** As [recordBroken] without prompt blocks; does not wait for the result. */
    public fun check(upstream: Upstream) {
        scope.launch { recordBroken(upstream, emptyList()) }
    }

    /** Requests that were broken off together wait for one check. */
    private suspend fun isDown(upstream: Upstream): Boolean {
        val id = upstream.entry.id
        val check = checks.getOrPut(id) {
            scope.async {
                try {
                    isRefused(upstream) || isRefusedLater(upstream)
                } finally {
                    checks.remove(id)
                }
            }
        }
        return check.await()
    }

    /** A process that ends closes its connections and its port one after another. */
    private suspend fun isRefusedLater(upstream: Upstream): Boolean {
        delay(RECHECK_MILLIS)
        return isRefused(upstream)
    }

    private companion object {
        const val RECHECK_MILLIS = 50L
    }
}
