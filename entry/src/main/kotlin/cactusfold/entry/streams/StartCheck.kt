package cactusfold.entry.streams

import cactusfold.decisions.rate.UpstreamStart
import cactusfold.entry.process.EventLog
import cactusfold.entry.upstream.UpstreamDirectory
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
 * @param report reads the report of an upstream; null if it does not answer.
 */
public class StartCheck(
    private val scope: CoroutineScope,
    private val directory: UpstreamDirectory,
    private val events: EventLog,
    private val report: suspend (UpstreamEntry) -> RunnerReport?
) {
    private val planned = HashMap<UpstreamStart, Deferred<Boolean>>()

    /** Whether the start that [entry] registers still runs; false also if that is not known. */
    public suspend fun isRunning(entry: UpstreamEntry): Boolean {
        val report = report(entry) ?: run {
            delay(RETRY_MILLIS)
            report(entry)
        }
        val isSame = report != null && report.startedAtEpochMillis == entry.startedAtEpochMillis
        if (!isSame) {
            events.write(
                "start-unconfirmed",
                "upstream" to entry.id,
                "registered" to entry.startedAtEpochMillis,
                "reported" to report?.startedAtEpochMillis
            )
            directory.markOutdated()
        }
        return isSame
    }

    /** As [isRunning], a while after this call; further calls until then share the check. */
    public fun checkSoon(entry: UpstreamEntry): Deferred<Boolean> {
        val start = UpstreamStart(entry.id, entry.startedAtEpochMillis)
        return planned.getOrPut(start) {
            scope.async {
                delay(COLLECT_MILLIS)
                planned.remove(start)
                isRunning(entry)
            }
        }
    }

    private companion object {
        const val COLLECT_MILLIS = 100L
        const val RETRY_MILLIS = 100L
    }
}
