package cactusfold.entry.queueing

import cactusfold.entry.upstream.Upstream
import cactusfold.entry.upstream.UpstreamDirectory
import cactusfold.node.time.MonotonicClock
import kotlinx.coroutines.CoroutineScope

/** The waiting lists of this process's requests, one for each service, and what orders them. */
public class RequestQueues(
    private val directory: UpstreamDirectory,
    private val clock: MonotonicClock,
    private val scope: CoroutineScope,
    private val isLimited: (Upstream) -> Boolean
) {
    private val places = HashMap<String, PlaceQueue>()
    private var lastId = 0L

    /** Observed service times by route. */
    public val times: ServiceTimes = ServiceTimes()

    /** Number of requests that wait for a place. */
    public val count: Int get() = places.values.sumOf { it.count }

    init {
        directory.listen { places.values.forEach(PlaceQueue::check) }
    }

    /** Returns the requests that wait for a place at an upstream of [service]. */
    public fun places(service: String): PlaceQueue =
        places.getOrPut(service) { PlaceQueue(directory, clock, scope, isLimited) }

    /** Has the requests for [service] checked, since an upstream may have a place. */
    public fun placeFreed(service: String) {
        places[service]?.check()
    }

    /** Returns an id that no other request of this process has. */
    public fun nextId(): String = (++lastId).toString()
}
