package cactusfold.entry.residency

import cactusfold.entry.upstream.UpstreamDirectory
import cactusfold.node.time.MonotonicClock
import cactusfold.protocol.entry.Demand
import cactusfold.protocol.entry.Forecast
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull

/** How the wait for a model ended. */
public sealed interface ModelWait {
    /** An upstream holds the model. */
    public data object Ready : ModelWait

    /** No load will finish in time; one might from [retryAfterMillis] on. */
    public data class Refused(public val retryAfterMillis: Long) : ModelWait
}

/** Requests of this process that wait until a runner holds their model. */
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
        val limitAtMillis: Long,
        val result: CompletableDeferred<ModelWait>
    )

    private val waiting = LinkedHashSet<Waiting>()
    private val arrivals = HashMap<String, Int>()

    init {
        directory.listen(::release)
    }

    /** Requests that wait. */
    public val count: Int get() = waiting.size

    /** Counts a request for [model]. */
    public fun arrived(model: String) {
        arrivals.merge(model, 1, Int::plus)
    }

    /** Waits until an upstream of [service] holds [model] with [adapter]. */
    public suspend fun await(
        service: String,
        model: String,
        adapter: String?,
        targetAtMillis: Long,
        limitAtMillis: Long
    ): ModelWait {
        if (directory.serving(service, model, adapter).isNotEmpty()) return ModelWait.Ready
        val request =
            Waiting(service, model, adapter, targetAtMillis, limitAtMillis, CompletableDeferred())
        waiting += request
        wake()
        try {
            val leftMillis = limitAtMillis - clock.nowMillis()
            return withTimeoutOrNull(leftMillis) { request.result.await() }
                ?: ModelWait.Refused(EXPIRED_RETRY_AFTER_MILLIS)
        } finally {
            waiting -= request
        }
    }

    /** Ends the waits that will be over before the model is there. */
    public fun forecast(forecast: Forecast) {
        val readyAtMillis = clock.nowMillis() + forecast.readyInMillis
        val retryAfterMillis = forecast.readyInMillis.coerceAtLeast(MIN_RETRY_AFTER_MILLIS)
        waiting.filter { it.model == forecast.model }
            .filter { forecast.isRefused || it.limitAtMillis < readyAtMillis }
            .forEach { it.result.complete(ModelWait.Refused(retryAfterMillis)) }
    }

    /** Returns what waits and what arrived since the last call. */
    public fun takeDemands(): List<Demand> {
        val nowMillis = clock.nowMillis()
        val demands = waiting.groupBy { it.model to it.adapter }.map { (key, group) ->
            Demand.newBuilder().setModel(key.first).setAdapter(key.second.orEmpty())
                .setWaiting(group.size)
                .setTargetInMillis(group.minOf { it.targetAtMillis } - nowMillis)
                .setLimitInMillis(group.maxOf { it.limitAtMillis } - nowMillis)
                .build()
        }
        val counts = arrivals.map { (model, count) ->
            Demand.newBuilder().setModel(model).setArrivals(count).build()
        }
        arrivals.clear()
        return demands + counts
    }

    private companion object {
        /** The least that a caller is told to wait whose model will not be there in time. */
        const val MIN_RETRY_AFTER_MILLIS = 1_000L

        /** When a request that has waited in vain may come again. */
        const val EXPIRED_RETRY_AFTER_MILLIS = 500L
    }

    private fun release() {
        if (waiting.isEmpty()) return
        waiting.filter { directory.serving(it.service, it.model, it.adapter).isNotEmpty() }
            .forEach { it.result.complete(ModelWait.Ready) }
    }
}
