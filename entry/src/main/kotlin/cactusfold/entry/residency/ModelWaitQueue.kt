package cactusfold.entry.residency

import cactusfold.entry.upstream.UpstreamDirectory
import cactusfold.node.time.MonotonicClock
import cactusfold.protocol.entry.Demand
import cactusfold.protocol.entry.Forecast
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull

/** Result of waiting for a model. */
public sealed interface ModelWait {
    /** An upstream has the model loaded. */
    public data object Ready : ModelWait

    /** No load will complete in time; a retry after [retryAfterMillis] may succeed. */
    public data class Refused(public val retryAfterMillis: Long) : ModelWait
}

/** Queue of this process's requests that wait for their model to be loaded by a runner. */
public class ModelWaitQueue(
    private val directory: UpstreamDirectory,
    private val clock: MonotonicClock,
    private val wake: () -> Unit
) {
    private class Waiting(
        val service: String,
        val model: String,
        val adapter: String?,
        val targetAtMillis: Long,
        val deadlineAtMillis: Long,
        val result: CompletableDeferred<ModelWait>
    )

    private val waiting = LinkedHashSet<Waiting>()
    private val arrivals = HashMap<String, Int>()

    init {
        directory.listen(::release)
    }

    /** Number of waiting requests. */
    public val count: Int get() = waiting.size

    /** Counts a request for [model]. */
    public fun arrived(model: String) {
        arrivals.merge(model, 1, Int::plus)
    }

    /**
     * Suspends until an upstream of [service] has [model] loaded with [adapter], but not beyond
     * [deadlineAtMillis]. The coordinator aims to have the model ready by [targetAtMillis].
     */
    public suspend fun await(
        service: String,
        model: String,
        adapter: String?,
        targetAtMillis: Long,
        deadlineAtMillis: Long
    ): ModelWait {
        if (directory.serving(service, model, adapter).isNotEmpty()) return ModelWait.Ready
        val request =
            Waiting(
                service,
                model,
                adapter,
                targetAtMillis,
                deadlineAtMillis,
                CompletableDeferred()
            )
        waiting += request
        wake()
        try {
            val leftMillis = deadlineAtMillis - clock.nowMillis()
            return withTimeoutOrNull(leftMillis) { request.result.await() }
                ?: ModelWait.Refused(EXPIRED_RETRY_AFTER_MILLIS)
        } finally {
            waiting -= request
        }
    }

    /** Refuses the waiting requests whose deadline is before the time forecast for their model. */
    public fun forecast(forecast: Forecast) {
        val readyAtMillis = clock.nowMillis() + forecast.readyInMillis
        val retryAfterMillis = forecast.readyInMillis.coerceAtLeast(MIN_RETRY_AFTER_MILLIS)
        waiting.filter { it.model == forecast.model }
            .filter { forecast.isRefused || it.deadlineAtMillis < readyAtMillis }
            .forEach { it.result.complete(ModelWait.Refused(retryAfterMillis)) }
    }

    /** Returns the waiting requests, and the arrivals since the last call. */
    public fun takeDemands(): List<Demand> {
        val nowMillis = clock.nowMillis()
        val demands = waiting.groupBy { it.model to it.adapter }.map { (key, group) ->
            Demand.newBuilder().setModel(key.first).setAdapter(key.second.orEmpty())
                .setWaiting(group.size)
                .setTargetInMillis(group.minOf { it.targetAtMillis } - nowMillis)
                .setLimitInMillis(group.maxOf { it.deadlineAtMillis } - nowMillis)
                .build()
        }
        val counts = arrivals.map { (model, count) ->
            Demand.newBuilder().setModel(model).setArrivals(count).build()
        }
        arrivals.clear()
        return demands + counts
    }

    private companion object {
        /** Minimum retry delay sent to a caller whose model will not be ready in time. */
        const val MIN_RETRY_AFTER_MILLIS = 1_000L

        /** Retry delay for a request whose deadline passed while it waited. */
        const val EXPIRED_RETRY_AFTER_MILLIS = 500L
    }

    private fun release() {
        if (waiting.isEmpty()) return
        waiting.filter { directory.serving(it.service, it.model, it.adapter).isNotEmpty() }
            .forEach { it.result.complete(ModelWait.Ready) }
    }
}
