package cactusfold.entry.residency

import cactusfold.decisions.places.HomeRegions
import cactusfold.entry.upstream.UpstreamDirectory
import cactusfold.node.time.MonotonicClock
import cactusfold.protocol.entry.Demand
import cactusfold.protocol.entry.Forecast
import cactusfold.protocol.entry.PriorityDemand
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull

/** Queue of this process's requests that wait for their model to be loaded by a runner. */
public class ModelWaitQueue(
    private val directory: UpstreamDirectory,
    private val clock: MonotonicClock,
    private val wake: () -> Unit
) {
    private class Waiting(val need: ModelNeed) {
        val result = CompletableDeferred<ModelWait>()
    }

    private val waiting = LinkedHashSet<Waiting>()
    private val arrivals = HashMap<String, MutableMap<Int, Int>>()

    /** What requests waited for at the last report; others that wait for it are no news. */
    private var reported: Set<DemandKey> = emptySet()

    init {
        directory.listen(::release)
    }

    /** Number of waiting requests. */
    public val count: Int get() = waiting.size

    /** Counts a request of [priority] for [model]. */
    public fun arrived(model: String, priority: Int = 0) {
        arrivals.getOrPut(model) { HashMap() }.merge(priority, 1, Int::plus)
    }

    /** Suspends until an upstream serves [need], but not beyond its deadline. */
    public suspend fun await(need: ModelNeed): ModelWait {
        resultOf(need)?.let { return it }
        val request = Waiting(need)
        waiting += request
        if (need.key !in reported) wake()
        try {
            val leftMillis = need.deadlineAtMillis - clock.nowMillis()
            return withTimeoutOrNull(leftMillis) { request.result.await() }
                ?: ModelWait.Refused(EXPIRED_RETRY_AFTER_MILLIS)
        } finally {
            waiting -= request
        }
    }

    /**
     * Refuses the waiting requests whose deadline is before the time forecast for their model. One
     * that is served late is not refused, also if the forecast refuses all that the coordinator
     * knew: this one may have come since the last report.
     */
    public fun forecast(forecast: Forecast) {
        val readyAtMillis = clock.nowMillis() + forecast.readyInMillis
        val retryAfterMillis = forecast.readyInMillis.coerceAtLeast(MIN_RETRY_AFTER_MILLIS)
        waiting.filter { it.need.model == forecast.model }
            .filter { it.need.softwareVersion.orEmpty() == forecast.softwareVersion }
            .filter { it.need.key.homeRegions == forecast.homeRegionsList.toSet() }
            .filter { it.need.deadlineAtMillis < readyAtMillis }
            .forEach { it.result.complete(ModelWait.Refused(retryAfterMillis)) }
    }

    /** Returns the waiting requests, and the arrivals since the last call. */
    public fun takeDemands(): List<Demand> {
        // An upstream to which connections failed is tried again after a while, without an event.
        release()
        val nowMillis = clock.nowMillis()
        val demands = waiting.map { it.need }.groupBy { it.key }.map { (key, group) ->
            Demand.newBuilder().setModel(key.model).setAdapter(key.adapter.orEmpty())
                .setSoftwareVersion(key.softwareVersion.orEmpty())
                .addAllHomeRegions(key.homeRegions)
                .setWaiting(group.size)
                .setTargetInMillis(group.minOf { it.targetAtMillis } - nowMillis)
                .setLimitInMillis(group.maxOf { it.deadlineAtMillis } - nowMillis)
                .addAllByPriority(byPriority(group, nowMillis))
                .build()
        }
        val counts = arrivals.map { (model, byPriority) ->
            Demand.newBuilder().setModel(model).setArrivals(byPriority.values.sum())
                .addAllByPriority(
                    byPriority.map { (priority, count) ->
                        PriorityDemand.newBuilder().setPriority(priority).setArrivals(count).build()
                    }
                ).build()
        }
        arrivals.clear()
        reported = waiting.mapTo(mutableSetOf()) { it.need.key }
        return demands + counts
    }

    private fun byPriority(needs: List<ModelNeed>, nowMillis: Long): List<PriorityDemand> =
        needs.groupBy { it.priority }.map { (priority, group) ->
            PriorityDemand.newBuilder().setPriority(priority)
                .setWaiting(group.size)
                .setTargetInMillis(group.minOf { it.targetAtMillis } - nowMillis)
                .setLimitInMillis(group.maxOf { it.deadlineAtMillis } - nowMillis)
                .setTokens(group.sumOf { it.tokens })
                .setAgePermille(group.maxOf { agePermille(it, nowMillis) })
                .build()
        }

    private fun agePermille(need: ModelNeed, nowMillis: Long): Int {
        val limitMillis = (need.deadlineAtMillis - need.arrivedAtMillis).coerceAtLeast(1)
        val waitedMillis = (nowMillis - need.arrivedAtMillis).coerceIn(0, limitMillis)
        return (waitedMillis * PERMILLE / limitMillis).toInt()
    }

    private fun release() {
        // A request that ends leaves the queue.
        for (request in waiting.toList()) {
            resultOf(request.need)?.let(request.result::complete)
        }
    }

    /** Returns how the wait for [need] ends now, or null if it goes on. */
    private fun resultOf(need: ModelNeed): ModelWait? {
        val version = need.softwareVersion
        val serving = directory.serving(need.service, need.model, need.adapter)
            .filter { need.homes.accepts(it.region) }
        return when {
            serving.any { version == null || it.entry.softwareVersion == version } ->
                ModelWait.Ready
            version != null && !directory.isServing(need.service, version) ->
                ModelWait.VersionGone
            hasNoHome(need) -> ModelWait.HomesGone
            else -> null
        }
    }

    private fun hasNoHome(need: ModelNeed): Boolean = need.homes != HomeRegions.ANY &&
        directory.isKnown &&
        directory.inHomes(need.service, need.homes).none { it.isUsable }

    private companion object {
        const val PERMILLE = 1_000

        /** Minimum retry delay sent to a caller whose model will not be ready in time. */
        const val MIN_RETRY_AFTER_MILLIS = 1_000L

        /** Retry delay for a request whose deadline passed while it waited. */
        const val EXPIRED_RETRY_AFTER_MILLIS = 500L
    }
}
