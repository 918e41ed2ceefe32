package cactusfold.router.callers

import cactusfold.settings.fleet.FleetConfig
import java.util.concurrent.ConcurrentHashMap
import kotlinx.coroutines.Job

/** Cancels a running request whose API key was withdrawn. */
public class KeyWithdrawnException : kotlinx.coroutines.CancellationException("key withdrawn")

/** A received request that has not finished. */
public class RunningRequest(
    public val id: String,
    public val keyDigest: String?,
    public val job: Job
)

/**
 * Registry of the requests that this router runs.
 *
 * Used to cancel the requests of withdrawn keys, and to drain requests before shutdown.
 */
public class RunningRequests {
    private val running = ConcurrentHashMap<String, RunningRequest>()

    /** Number of requests that have not finished. */
    public val count: Int get() = running.size

    public fun add(request: RunningRequest) {
        running[request.id] = request
    }

    public fun remove(id: String) {
        running.remove(id)
    }

    /** Cancels and returns the requests whose keys are no longer in [config]. */
    public fun cancelWithdrawn(config: FleetConfig): List<RunningRequest> {
        val cancelled = running.values.filter {
            it.keyDigest != null && it.keyDigest !in config.keysByDigest
        }
        cancelled.forEach { it.job.cancel(KeyWithdrawnException()) }
        return cancelled
    }
}
