package cactusfold.fleetmodel

import cactusfold.decisions.residency.ResidencyOrder
import cactusfold.decisions.residency.RunnerState
import cactusfold.decisions.residency.WeightSource
import cactusfold.decisions.routing.ReplicaView
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toImmutableMap
import kotlinx.collections.immutable.toImmutableSet

/** Request on a runner; [onAborted] is called when that runner stops. */
internal class InFlightRequest(val model: String, val onAborted: () -> Unit)

/** Model of one runner: prefills run one at a time, responses are decoded concurrently. */
internal class RunnerModel(
    val id: String,
    private val engine: EngineModel,
    private val queue: EventQueue
) {
    val residentModels = LinkedHashSet<String>()
    val modelsOnDisk = LinkedHashSet<String>()
    val running = LinkedHashSet<InFlightRequest>()
    private val lastUsedMillis = HashMap<String, Long>()
    private var prefillFreeAtMillis = 0.0
    private var latencyMillis = 0.0
    private var isStopped = false

    var loading: ResidencyOrder.Load? = null
        private set
    private var loadedAtMillis = 0L
    private var incarnation = 0

    /** Multiplier of processing times; 1 is normal speed. */
    var slowdownFactor = 1.0

    val isUp: Boolean get() = !isStopped

    /** Starts [request]; [onFirstChunk] and [onDone] are called unless the runner stops before. */
    fun run(
        request: InFlightRequest,
        promptTokens: Int,
        chunks: Int,
        onFirstChunk: () -> Unit,
        onDone: () -> Unit
    ) {
        val startIncarnation = incarnation
        running += request
        lastUsedMillis[request.model] = queue.nowMillis.toLong()
        val sentAtMillis = queue.nowMillis
        val prefillMillis = promptTokens / engine.prefillTokensPerMilli * slowdownFactor
        prefillFreeAtMillis = maxOf(prefillFreeAtMillis, queue.nowMillis) + prefillMillis
        val firstMillis =
            prefillFreeAtMillis - queue.nowMillis + engine.chunkIntervalMillis * slowdownFactor
        queue.after(firstMillis) {
            if (startIncarnation == incarnation) {
                latencyMillis += (queue.nowMillis - sentAtMillis - latencyMillis) * LATENCY_WEIGHT
                onFirstChunk()
            }
        }
        queue.after(firstMillis + chunks * engine.chunkIntervalMillis * slowdownFactor) {
            if (startIncarnation == incarnation && running.remove(request)) onDone()
        }
    }

    /** Executes [load]; [onLoaded] is called when its end is reported, unless the runner stops. */
    fun load(load: ResidencyOrder.Load, store: WeightStoreModel, onLoaded: () -> Unit) {
        val startIncarnation = incarnation
        loading = load
        loadedAtMillis = queue.nowMillis.toLong() + load.loadMillis + engine.reportLagMillis
        residentModels -= load.evicted.toSet()
        val reportLoaded = {
            queue.after(engine.reportLagMillis.toDouble()) {
                if (startIncarnation == incarnation) {
                    addModel(load.model)
                    loading = null
                    onLoaded()
                }
            }
        }
        if (load.source == WeightSource.STORE) {
            store.load(load.loadMillis.toDouble(), reportLoaded)
        } else {
            queue.after(load.loadMillis.toDouble(), reportLoaded)
        }
    }

    /** Makes [model] resident and caches it on disk. */
    fun addModel(model: String) {
        residentModels += model
        lastUsedMillis[model] = queue.nowMillis.toLong()
        modelsOnDisk -= model
        modelsOnDisk += model
        while (modelsOnDisk.size > engine.maxModelsOnDisk) modelsOnDisk -= modelsOnDisk.first()
    }

    /** Stops the runner and aborts its requests; its disk cache is kept. */
    fun stop() {
        incarnation++
        isStopped = true
        residentModels.clear()
        loading = null
        prefillFreeAtMillis = 0.0
        val aborted = running.toList()
        running.clear()
        aborted.forEach { it.onAborted() }
    }

    /** Makes the runner available again, without resident models. */
    fun restart() {
        isStopped = false
    }

    fun state(): RunnerState {
        val models = residentModels.associateWith { persistentSetOf<String>() }.toImmutableMap()
        return RunnerState(
            id = id,
            served = models,
            adaptersByModel = models,
            modelsInHostMemory = persistentSetOf(),
            modelsOnDisk = modelsOnDisk.toImmutableSet(),
            loading = loading?.model,
            loadedAtMillis = loadedAtMillis,
            loadsFromStore = loading?.source == WeightSource.STORE,
            isBusy = loading != null,
            adapterOrders = 0,
            inFlight = running.groupingBy { it.model }.eachCount().toImmutableMap(),
            lastUsedMillis = persistentMapOf<String, Long>().putAll(lastUsedMillis)
        )
    }

    fun view(): ReplicaView = ReplicaView(
        upstream = id,
        zone = "",
        slots = engine.slots,
        reportedRunning = running.size,
        reportedWaiting = 0,
        inFlight = running.size,
        latencyMillis = latencyMillis,
        excludedUntilMillis = 0
    )

    private companion object {
        /** Same smoothing factor as the entry process's average latency. */
        const val LATENCY_WEIGHT = 0.2
    }
}
