package cactusfold.fleetmodel

import cactusfold.decisions.residency.ResidencyOrder
import cactusfold.decisions.residency.RunnerState
import cactusfold.decisions.residency.WeightSource
import cactusfold.decisions.routing.ReplicaView
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toImmutableMap
import kotlinx.collections.immutable.toImmutableSet

/** A request at work; [broke] is called when its runner ends. */
internal class Running(val model: String, val broke: () -> Unit)

/** One runner: prompts are read one after the other, pieces of all answers come side by side. */
internal class RunnerModel(
    val id: String,
    private val engine: EngineModel,
    private val queue: EventQueue
) {
    val held = LinkedHashSet<String>()
    val disk = LinkedHashSet<String>()
    val running = LinkedHashSet<Running>()
    private val lastUsedMillis = HashMap<String, Long>()
    private var prefillFreeAtMillis = 0.0
    private var latencyMillis = 0.0
    private var isAway = false

    var loading: ResidencyOrder.Load? = null
        private set
    private var loadedAtMillis = 0L
    private var boot = 0

    /** How many times slower than usual the runner works. */
    var slowness = 1.0

    /** Whether the runner can be reached. */
    val isUp: Boolean get() = !isAway

    /** Takes a request; calls [firstPiece] and [done] when they come. */
    fun run(
        request: Running,
        promptTokens: Int,
        pieces: Int,
        firstPiece: () -> Unit,
        done: () -> Unit
    ) {
        val mine = boot
        running += request
        lastUsedMillis[request.model] = queue.nowMillis.toLong()
        val sentAtMillis = queue.nowMillis
        val readMillis = promptTokens / engine.prefillTokensPerMilli * slowness
        prefillFreeAtMillis = maxOf(prefillFreeAtMillis, queue.nowMillis) + readMillis
        val firstMillis = prefillFreeAtMillis - queue.nowMillis + engine.pieceMillis * slowness
        queue.after(firstMillis) {
            if (mine == boot) {
                latencyMillis += (queue.nowMillis - sentAtMillis - latencyMillis) * LATENCY_WEIGHT
                firstPiece()
            }
        }
        queue.after(firstMillis + pieces * engine.pieceMillis * slowness) {
            if (mine == boot && running.remove(request)) done()
        }
    }

    /** Carries out [load]; calls [ended] when it is known to be done. */
    fun load(load: ResidencyOrder.Load, store: WeightStoreModel, ended: () -> Unit) {
        val mine = boot
        loading = load
        loadedAtMillis = queue.nowMillis.toLong() + load.loadMillis + engine.reportLagMillis
        held -= load.evicted.toSet()
        val done = {
            queue.after(engine.reportLagMillis.toDouble()) {
                if (mine == boot) {
                    hold(load.model)
                    loading = null
                    ended()
                }
            }
        }
        if (load.source == WeightSource.STORE) {
            store.load(load.loadMillis.toDouble(), done)
        } else {
            queue.after(load.loadMillis.toDouble(), done)
        }
    }

    /** Puts [model] into memory, and thereby on the disk. */
    fun hold(model: String) {
        held += model
        lastUsedMillis[model] = queue.nowMillis.toLong()
        disk -= model
        disk += model
        while (disk.size > engine.diskModels) disk -= disk.first()
    }

    /** Ends the runner; what ran there breaks off. Its disk is kept. */
    fun end() {
        boot++
        isAway = true
        held.clear()
        loading = null
        prefillFreeAtMillis = 0.0
        val broken = running.toList()
        running.clear()
        broken.forEach { it.broke() }
    }

    /** Brings the runner back, with nothing in memory. */
    fun comeBack() {
        isAway = false
    }

    fun state(): RunnerState {
        val models = held.associateWith { persistentSetOf<String>() }.toImmutableMap()
        return RunnerState(
            id = id,
            served = models,
            adaptersByModel = models,
            modelsInHostMemory = persistentSetOf(),
            modelsOnDisk = disk.toImmutableSet(),
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
        /** As the product smooths latencies. */
        const val LATENCY_WEIGHT = 0.2
    }
}
