package cactusfold.entry.residency

import cactusfold.decisions.residency.RunnerOrder
import cactusfold.ports.serving.EngineSpec
import cactusfold.ports.serving.OrderReply
import cactusfold.ports.serving.RunnerReport
import cactusfold.ports.serving.UpstreamEntry
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toImmutableMap
import kotlinx.collections.immutable.toImmutableSet
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.plus

/**
 * A runner that accepts every order whose count fits, adds up what it then holds, and records when
 * that is more than it has room for. Its reports lag behind its state.
 */
class SimulatedRunner(
    val id: String,
    private val engine: EngineSpec,
    initial: Set<String>,
    scope: CoroutineScope,
    private val nowMillis: () -> Long
) {
    private val jobs = SupervisorJob(scope.coroutineContext[Job])
    private val scope = scope + jobs
    private val models = LinkedHashMap<String, MutableSet<String>>()
    private val pending = LinkedHashSet<Pair<String, String>>()
    private var loading: String? = null
    private var unloading: String? = null
    private var orderCount = 0L
    private val history = ArrayDeque<Pair<Long, RunnerReport>>()

    /** Identifies the start of the runner. */
    var startedAtEpochMillis = 1_000L
        private set
    var isDown = false
        private set

    var loadMillis = 2_000L
    var adapterMillis = 19L

    /** How long the requests of a model that is unloaded go on. */
    var drainMillis = 100L

    /** Age of the state that reports state. */
    var reportLagMillis: () -> Long = { 200 }

    /** Adapters that requests use now: an order to unload them waits for these. */
    var isInUse: (Pair<String, String>) -> Boolean = { false }

    /** Whether an order that changes nothing is refused if its count does not fit. */
    var checksCountFirst = true

    /** Models that reports leave out although they are loaded: a planted fault. */
    var unreported: Set<String> = emptySet()

    /** Orders that were accepted or changed nothing, with what was held after them. */
    val log = mutableListOf<String>()

    /** Orders after which more was held than there is room for. */
    val overloads = mutableListOf<String>()

    /** Orders to unload an adapter that was in transit, which change nothing. */
    val unloadsInTransit = mutableListOf<RunnerOrder>()

    /** The number of models and of adapters that were loaded. */
    var loads = 0
        private set
    var adapterLoads = 0
        private set

    init {
        initial.forEach { models[it] = mutableSetOf() }
        remember()
    }

    private val megabytes: Double
        get() = (models.keys + setOfNotNull(loading)).sumOf { sizeOf(it).weightMegabytes } +
            (
                models.flatMap { (model, adapters) -> adapters.map { model } } +
                    pending.map { it.first }
                ).sumOf { sizeOf(it).adapterMegabytes }

    private val adapterCount: Int get() = models.values.sumOf { it.size } + pending.size

    private fun sizeOf(model: String) = engine.models.getValue(model)

    fun serves(model: String, adapter: String?): Boolean =
        !isDown && models[model]?.let { adapter == null || adapter in it } == true

    fun holds(model: String): Boolean = model in models || model == loading

    fun adaptersOf(model: String): Set<String> = models[model].orEmpty().toSet()

    /** The registration as of now. */
    fun entry(): UpstreamEntry = UpstreamEntry(
        id, SERVICE, "127.0.0.1", 1, "z", engine.slots, false, startedAtEpochMillis, null,
        held(), persistentSetOf(), persistentSetOf(), "v1"
    )

    private fun held() = models.mapValues { it.value.toImmutableSet() }.toImmutableMap()

    fun report(): RunnerReport {
        val asOfMillis = nowMillis() - reportLagMillis()
        return (history.lastOrNull { it.first <= asOfMillis } ?: history.first()).second
    }

    private fun remember() {
        val report = RunnerReport(
            held().filterKeys { it !in unreported }.toImmutableMap(),
            pending.size,
            loading != null || unloading != null,
            orderCount,
            persistentSetOf(),
            persistentSetOf(),
            startedAtEpochMillis
        )
        history += nowMillis() to report
        while (history.size > HISTORY) history.removeFirst()
    }

    fun order(order: RunnerOrder, expectedOrderCount: Long, from: String): OrderReply {
        val reply = replyTo(order, expectedOrderCount)
        if (reply == OrderReply.Conflict) return reply
        remember()
        val line = "${nowMillis()} ms $id $order at $expectedOrderCount by $from: " +
            "$reply, then ${megabytes.toInt()} MB and $adapterCount adapters"
        log += line
        val isOver = megabytes > engine.weightMegabytes || adapterCount > engine.adapterSlots
        if (isOver && reply == OrderReply.Accepted) {
            overloads += line
            restart(CRASH_MILLIS)
        }
        return reply
    }

    private fun replyTo(order: RunnerOrder, expectedOrderCount: Long): OrderReply {
        if (isDown) return OrderReply.Unknown("down")
        val isCurrent = expectedOrderCount == orderCount && loading == null && unloading == null
        if (checksCountFirst && !isCurrent) return OrderReply.Conflict
        if (order is RunnerOrder.UnloadAdapter && (order.model to order.adapter) in pending) {
            unloadsInTransit += order
        }
        if (isDone(order)) return OrderReply.AlreadySo
        if (!isCurrent) return OrderReply.Conflict
        return when (order) {
            is RunnerOrder.Load -> accepted { load(order.model) }
            is RunnerOrder.Unload -> accepted { unload(order.model) }
            is RunnerOrder.LoadAdapter ->
                if (order.model in models) {
                    accepted { loadAdapter(order.model to order.adapter) }
                } else {
                    OrderReply.Rejected("status 400")
                }
            is RunnerOrder.UnloadAdapter -> unloadAdapter(order.model to order.adapter)
        }
    }

    private fun accepted(begin: () -> Unit): OrderReply {
        orderCount++
        begin()
        return OrderReply.Accepted
    }

    private fun isDone(order: RunnerOrder): Boolean = when (order) {
        is RunnerOrder.Load -> order.model in models
        is RunnerOrder.Unload -> order.model !in models
        is RunnerOrder.LoadAdapter -> order.adapter in models[order.model].orEmpty() ||
            (order.model to order.adapter) in pending
        is RunnerOrder.UnloadAdapter -> order.adapter !in models[order.model].orEmpty()
    }

    private fun load(model: String) {
        loading = model
        loads++
        after(loadMillis) {
            loading = null
            models[model] = mutableSetOf()
        }
    }

    private fun unload(model: String) {
        unloading = model
        after(drainMillis) {
            unloading = null
            models.remove(model)
        }
    }

    private fun loadAdapter(adapter: Pair<String, String>) {
        pending += adapter
        adapterLoads++
        after(adapterMillis) {
            pending -= adapter
            models[adapter.first]?.add(adapter.second)
        }
    }

    private fun unloadAdapter(adapter: Pair<String, String>): OrderReply {
        orderCount++
        if (!isInUse(adapter)) {
            models[adapter.first]?.remove(adapter.second)
            return OrderReply.AlreadySo
        }
        removeWhenIdle(adapter)
        return OrderReply.Accepted
    }

    private fun removeWhenIdle(adapter: Pair<String, String>) {
        after(IN_USE_CHECK_MILLIS) {
            if (isInUse(adapter)) {
                removeWhenIdle(adapter)
            } else {
                models[adapter.first]?.remove(adapter.second)
            }
        }
    }

    private fun after(millis: Long, change: () -> Unit) {
        scope.launch {
            delay(millis)
            change()
            remember()
        }
    }

    /** Ends the runner, which comes back [downMillis] later under its id, empty. */
    fun restart(downMillis: Long) {
        jobs.children.forEach { it.cancel() }
        isDown = true
        models.clear()
        pending.clear()
        loading = null
        unloading = null
        orderCount = 0
        history.clear()
        startedAtEpochMillis = maxOf(startedAtEpochMillis + 1, nowMillis())
        remember()
        scope.launch {
            delay(downMillis)
            isDown = false
        }
    }

    companion object {
        const val SERVICE = "engine"
        private const val HISTORY = 60
        private const val CRASH_MILLIS = 1_000L
        private const val IN_USE_CHECK_MILLIS = 50L
    }
}
