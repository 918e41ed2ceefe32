package cactusfold.standins.runner

import cactusfold.standins.platform.WeightStoreStandin
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

internal enum class LoadedPhase { LOADING, READY }

internal class LoadedModel(val name: String, val bytes: Long) {
    @Volatile
    var phase = LoadedPhase.LOADING
}

internal enum class OrderReply { TAKEN, STALE_FENCE, NO_MEMORY }

/**
 * Accelerator memory and disk of a runner stand-in. A load order whose id was seen before, or whose
 * model is present already, is accepted without effect.
 */
internal class RunnerMemory(
    private val options: RunnerOptions,
    private val store: WeightStoreStandin,
    private val scope: CoroutineScope
) {
    val models = ConcurrentHashMap<String, LoadedModel>()
    val modelsOnDisk: MutableSet<String> = ConcurrentHashMap.newKeySet<String>().also {
        it += options.onDisk
    }
    val fence = AtomicLong()
    val loads = AtomicInteger()
    val overcommits = AtomicInteger()
    private val orders = ConcurrentHashMap.newKeySet<String>()

    /** Raises the fencing token below which orders are stale to at least [observed]. */
    fun observeFence(observed: Long) {
        if (options.checksFence) fence.accumulateAndGet(observed, ::maxOf)
    }

    @Synchronized
    fun load(orderId: String, model: String, bytes: Long, orderFence: Long): OrderReply {
        if (isStale(orderFence)) return OrderReply.STALE_FENCE
        if (!orders.add(orderId) || models.containsKey(model)) return OrderReply.TAKEN
        if (models.values.sumOf { it.bytes } + bytes > options.memoryBytes) {
            overcommits.incrementAndGet()
            return OrderReply.NO_MEMORY
        }
        val loaded = LoadedModel(model, bytes)
        models[model] = loaded
        loads.incrementAndGet()
        scope.launch { copyWeights(loaded) }
        return OrderReply.TAKEN
    }

    @Synchronized
    fun unload(model: String, orderFence: Long): OrderReply {
        if (isStale(orderFence)) return OrderReply.STALE_FENCE
        models.remove(model)
        return OrderReply.TAKEN
    }

    /** Clears models and order ids, as a restart does; the disk keeps its content. */
    fun clear() {
        models.clear()
        orders.clear()
    }

    private fun isStale(orderFence: Long): Boolean {
        if (!options.checksFence) return false
        return orderFence < fence.accumulateAndGet(orderFence, ::maxOf)
    }

    private suspend fun copyWeights(model: LoadedModel) {
        if (model.name in modelsOnDisk) {
            delay(model.bytes * MILLIS_PER_SECOND / options.diskBytesPerSecond)
        } else {
            store.load(model.bytes)
            modelsOnDisk += model.name
        }
        model.phase = LoadedPhase.READY
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L
    }
}
