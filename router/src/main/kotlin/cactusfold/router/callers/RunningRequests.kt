package cactusfold.router.callers

import cactusfold.settings.fleet.FleetConfig
import java.util.concurrent.ConcurrentHashMap
import kotlinx.coroutines.Job

/** Why a running request was cut. */
public class KeyWithdrawnException : kotlinx.coroutines.CancellationException("key withdrawn")

/** A request in this router, from its first byte to its end. */
public class RunningRequest(
    public val id: String,
    public val keyDigest: String?,
    public val job: Job
)

/** All requests in this router, so that a withdrawn key cuts them and a planned stop waits. */
public class RunningRequests {
    private val running = ConcurrentHashMap<String, RunningRequest>()

    /** Requests that have not ended. */
    public val count: Int get() = running.size

    /** Adds [request]. */
    public fun add(request: RunningRequest) {
        running[request.id] = request
    }

    /** Removes the request [id]. */
    public fun remove(id: String) {
        running.remove(id)
    }

    /** Cuts the requests whose keys are not in [config] any more; returns them. */
    public fun cancelWithdrawn(config: FleetConfig): List<RunningRequest> {
        val cancelled = running.values.filter {
            it.keyDigest != null && it.keyDigest !in config.keysByDigest
        }
        cancelled.forEach { it.job.cancel(KeyWithdrawnException()) }
        return cancelled
    }
}
