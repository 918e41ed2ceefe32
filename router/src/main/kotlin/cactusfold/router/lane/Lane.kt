package cactusfold.router.lane

import cactusfold.decisions.queue.QueueEffect
import cactusfold.decisions.queue.QueueRefusal
import cactusfold.decisions.queue.QueueState
import cactusfold.decisions.queue.WaitingList
import cactusfold.decisions.queue.WaitingRequest
import cactusfold.decisions.routing.ReplicaChoice
import cactusfold.node.state.GuardedState
import cactusfold.node.time.MonotonicClock
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ThreadLocalRandom
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.CompletableDeferred

/** Result of waiting for an upstream. */
public sealed interface WaitResult {
    /** The request may be sent to [target], on which a slot is reserved for it. */
    public data class Dispatched(public val target: Target) : WaitResult

    /** The request left the queue without being dispatched. */
    public data class Refused(public val reason: QueueRefusal) : WaitResult
}

/** Collaborators shared by all lanes of a router. */
public class LaneDependencies(
    public val queue: WaitingList,
    public val choice: ReplicaChoice,
    public val upstreams: Upstreams,
    public val zone: String,
    public val clock: MonotonicClock
)

/** The queue of one model or plain-service route, with the upstreams that can serve it. */
public class Lane(
    public val name: String,
    private val dependencies: LaneDependencies,
    private val onIdle: (Lane) -> Unit = {}
) {
    private val state = GuardedState(QueueState())
    private val pending = ConcurrentHashMap<String, CompletableDeferred<WaitResult>>()
    private val runningCount = AtomicInteger()

    /** Number of requests queued since the lane was created. */
    public val arrivals: AtomicInteger = AtomicInteger()

    /** The upstreams that can serve this lane now. */
    @Volatile
    public var targets: List<Target> = emptyList()
        private set

    /** When a request last arrived or finished. */
    @Volatile
    public var usedAtMillis: Long = dependencies.clock.nowMillis()
        private set

    /** Number of queued requests. */
    public val waiting: Int get() = state.value.size

    /** Number of dispatched requests that have not finished. */
    public val running: Int get() = runningCount.get()

    /** The earliest deadline among the queued requests, or null. */
    public val earliestDeadlineMillis: Long? get() = state.value.earliestDeadlineMillis

    /** Queues [request] until an upstream has a slot for it. Cancellation removes it again. */
    public suspend fun await(request: WaitingRequest): WaitResult {
        usedAtMillis = dependencies.clock.nowMillis()
        arrivals.incrementAndGet()
        val result = CompletableDeferred<WaitResult>()
        pending[request.id] = result
        complete(state.step { dependencies.queue.add(it, request, dependencies.clock.nowMillis()) })
        dispatchWaiting()
        var isReceived = false
        try {
            return result.await().also { isReceived = true }
        } finally {
            if (!isReceived) cancelWait(request, result)
        }
    }

    /** Releases the slot of a finished request on [target]. */
    public fun release(target: Target) {
        usedAtMillis = dependencies.clock.nowMillis()
        dependencies.upstreams.releaseSlot(target.upstream)
        val isLast = runningCount.decrementAndGet() == 0
        dispatchWaiting()
        if (isLast && waiting + running == 0) onIdle(this)
    }

    /** Replaces the upstreams that can serve this lane. */
    public fun updateTargets(next: List<Target>) {
        targets = next
        dispatchWaiting()
    }

    /** Removes [target], which no longer has the model, until a placement update names it again. */
    public fun removeTarget(target: Target) {
        targets = targets.filter { it.upstream != target.upstream }
    }

    /** Refuses queued requests whose deadline has passed. */
    public fun expire() {
        if (waiting == 0) return
        complete(state.step { dependencies.queue.expire(it, dependencies.clock.nowMillis()) })
    }

    /** Refuses all queued requests with [reason]. */
    public fun refuseAll(reason: QueueRefusal) {
        complete(state.step { dependencies.queue.refuseAll(it, reason) })
    }

    /** Dispatches queued requests while upstreams have free slots. */
    public fun dispatchWaiting() {
        while (waiting > 0) {
            val target = reserveTarget() ?: return
            val effects = state.step { dependencies.queue.dispatch(it, 1) }
            if (effects.isEmpty()) {
                dependencies.upstreams.releaseSlot(target.upstream)
                return
            }
            for (effect in effects) handOver((effect as QueueEffect.Dispatch).request, target)
        }
    }

    private fun handOver(request: WaitingRequest, target: Target) {
        runningCount.incrementAndGet()
        val isAccepted =
            pending.remove(request.id)?.complete(WaitResult.Dispatched(target)) ?: false
        if (!isAccepted) release(target)
    }

    private fun reserveTarget(): Target? {
        val now = dependencies.clock.nowMillis()
        val random = ThreadLocalRandom.current()
        val views = targets.map(dependencies.upstreams::view)
        val chosen = dependencies.choice.choose(
            views,
            dependencies.zone,
            null,
            random.nextInt(Int.MAX_VALUE),
            random.nextInt(Int.MAX_VALUE),
            now
        ) ?: return null
        dependencies.upstreams.reserveSlot(chosen.upstream)
        return targets.find { it.upstream == chosen.upstream } ?: run {
            dependencies.upstreams.releaseSlot(chosen.upstream)
            null
        }
    }

    private fun cancelWait(request: WaitingRequest, result: CompletableDeferred<WaitResult>) {
        pending.remove(request.id)
        state.step { dependencies.queue.cancel(it, request.workspace, request.id) }
        if (result.isCompleted && !result.isCancelled) {
            (result.getCompleted() as? WaitResult.Dispatched)?.let { release(it.target) }
        } else {
            result.cancel()
        }
    }

    private fun complete(effects: List<QueueEffect>) {
        for (effect in effects) {
            when (effect) {
                is QueueEffect.Refuse ->
                    pending.remove(effect.request.id)?.complete(WaitResult.Refused(effect.reason))
                is QueueEffect.Dispatch -> error(
                    "unexpected dispatch effect: requests are dispatched by dispatchWaiting only"
                )
            }
        }
    }
}
