package cactusfold.entry.streams

import cactusfold.decisions.rate.UpstreamStart
import cactusfold.entry.process.EventLog
import cactusfold.entry.rate.SendDecision
import cactusfold.entry.rate.UpstreamRateLimiter
import cactusfold.entry.upstream.Upstream
import cactusfold.entry.upstream.UpstreamDirectory
import cactusfold.node.time.MonotonicClock
import cactusfold.ports.serving.ReportReply
import cactusfold.ports.serving.RunnerReport
import cactusfold.ports.serving.UpstreamEntry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.delay

/**
 * Finds out whether an upstream has restarted. Another start may have another software version, and
 * answers requests before its registration is read.
 *
 * @param limiter limits the reports, which upstreams count like other requests.
 * @param report reads the report of an upstream.
 */
public class StartCheck(
    private val scope: CoroutineScope,
    private val directory: UpstreamDirectory,
    private val clock: MonotonicClock,
    private val events: EventLog,
    private val limiter: UpstreamRateLimiter,
    private val report: suspend (UpstreamEntry) -> ReportReply
) {
    private val planned = HashMap<UpstreamStart, Deferred<Boolean>>()

    /** Whether the start that [upstream] registers still runs; false also if that is not known. */
    public suspend fun isRunning(upstream: Upstream): Boolean = check(upstream) {}

    /** As [isRunning], a while after this call; further calls until then share the check. */
    public fun checkSoon(upstream: Upstream): Deferred<Boolean> = planned.getOrPut(upstream.start) {
        scope.async {
            delay(COLLECT_MILLIS)
            check(upstream) { planned.remove(upstream.start) }
        }
    }

    private suspend fun check(upstream: Upstream, onBegin: () -> Unit): Boolean {
        val hasToken = awaitToken(upstream)
        onBegin()
        val report = if (hasToken) read(upstream) else null
        val registered = upstream.entry.startedAtEpochMillis
        val isSame = report != null && report.startedAtEpochMillis == registered
        if (!isSame) {
            events.write(
                "start-unconfirmed",
                "upstream" to upstream.entry.id,
                "registered" to registered,
                "reported" to report?.startedAtEpochMillis,
                "limited" to !hasToken
            )
            directory.markOutdated()
        }
        return isSame
    }

    /**
     * Reads the report of [upstream]; once more if that fails, and for [MAX_SILENT_MILLIS] while the
     * upstream is silent.
     */
    private suspend fun read(upstream: Upstream): RunnerReport? {
        val untilMillis = clock.nowMillis() + MAX_SILENT_MILLIS
        var failures = 0
        while (true) {
            val readsAgain = when (val reply = report(upstream.entry)) {
                is ReportReply.Read -> return reply.report
                is ReportReply.Failed -> ++failures < MAX_FAILURES
                ReportReply.Silent -> clock.nowMillis() < untilMillis
            }
            if (!readsAgain) return null
            delay(RETRY_MILLIS)
            if (!awaitToken(upstream)) return null
        }
    }

    /** Returns whether a report may be read now, at the latest after [MAX_TOKEN_WAIT_MILLIS]. */
    private suspend fun awaitToken(upstream: Upstream): Boolean {
        val untilMillis = clock.nowMillis() + MAX_TOKEN_WAIT_MILLIS
        while (true) {
            val waitMillis = acquireToken(upstream) ?: return true
            if (clock.nowMillis() + waitMillis >= untilMillis) return false
            delay(waitMillis)
        }
    }

    /** Returns null once a report may be read, or how long to wait before the next try. */
    private suspend fun acquireToken(upstream: Upstream): Long? =
        when (val decision = acquire(upstream)) {
            is SendDecision.Permitted -> if (limiter.use(decision.permit)) null else 0L
            is SendDecision.Limited -> decision.retryAfterMillis
            SendDecision.Undecided -> RETRY_MILLIS
        }

    /** A report takes a token of a limit, but no place. */
    private suspend fun acquire(upstream: Upstream): SendDecision =
        limiter.acquire(listOf(upstream), joinsQueue = false, needsPlace = false)

    private companion object {
        const val COLLECT_MILLIS = 100L
        const val RETRY_MILLIS = 100L
        const val MAX_TOKEN_WAIT_MILLIS = 2_000L
        const val MAX_FAILURES = 2

        /** Sound upstreams may be silent for a second or so. */
        const val MAX_SILENT_MILLIS = 2_000L
    }
}
