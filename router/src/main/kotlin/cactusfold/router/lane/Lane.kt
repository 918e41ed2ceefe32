package cactusfold.router.lane

import cactusfold.decisions.queue.FairQueue
import cactusfold.decisions.queue.QueueEffect
import cactusfold.decisions.queue.QueueRefusal
import cactusfold.decisions.queue.QueueState
import cactusfold.decisions.queue.WaitingRequest
import cactusfold.decisions.routing.ReplicaChoice
import cactusfold.node.state.GuardedState
import cactusfold.node.time.MonotonicClock
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ThreadLocalRandom
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.CompletableDeferred

/** How a request's wait ended. */
public sealed interface WaitEnd {
    /** The request goes to [target]; one of its slots is taken. */
    public data class Go(public val target: Target) : WaitEnd

    /** The request is not run. */
    public data class Refused(public val reason: QueueRefusal) : WaitEnd
}

/** What a lane works with. */
public class LaneContext(
    public val queue: FairQueue,
    public val choice: ReplicaChoice,
    public val upstreams: Upstreams,
    public val zone: String,
    public val clock: MonotonicClock
)

/** The requests that wait for one model or service, and the upstreams that may serve them. */
public class Lane(
    public val name: String,
    private val context: LaneContext,
    private val onIdle: (Lane) -> Unit = {}
) {
    private val state = GuardedState(QueueState())
    private val pending = ConcurrentHashMap<String, CompletableDeferred<WaitEnd>>()
    private val runningCount = AtomicInteger()

    /** Arrivals since the lane began. */
    public val arrivals: AtomicInteger = AtomicInteger()

    /** The upstreams that may serve this lane now. */
    @Volatile
    public var targets: List<Target> = emptyList()
        private set

    /** When a request last came or ended. */
    @Volatile
    public var usedAtMillis: Long = context.clock.nowMillis()
        private set

    /** Requests that wait. */
    public val waiting: Int get() = state.value.size

    /** Requests that run. */
    public val running: Int get() = runningCount.get()

    /** The earliest deadline of those that wait, or null. */
    public val earliestDeadlineMillis: Long? get() = state.value.earliestDeadlineMillis

    /** Waits for an upstream for [request]. Cancelling the wait takes the request out. */
    public suspend fun await(request: WaitingRequest): WaitEnd {
        usedAtMillis = context.clock.nowMillis()
        arrivals.incrementAndGet()
        val end = CompletableDeferred<WaitEnd>()
        pending[request.id] = end
        finish(state.step { context.queue.add(it, request, context.clock.nowMillis()) })
        pump()
        var isTaken = false
        try {
            return end.await().also { isTaken = true }
        } finally {
            if (!isTaken) abandon(request, end)
        }
    }

    /** Books that a request sent to [target] has ended. */
    public fun ended(target: Target) {
        usedAtMillis = context.clock.nowMillis()
        context.upstreams.ended(target.upstream)
        val isLast = runningCount.decrementAndGet() == 0
        pump()
        if (isLast && waiting + running == 0) onIdle(this)
    }

    /** Sets the upstreams that may serve the lane. */
    public fun retarget(next: List<Target>) {
        targets = next
        pump()
    }

    /** Sends nothing more to [target] until its holder names it again: the model is not there. */
    public fun drop(target: Target) {
        targets = targets.filter { it.upstream != target.upstream }
    }

    /** Refuses requests whose deadline has come. */
    public fun expire() {
        if (waiting == 0) return
        finish(state.step { context.queue.expire(it, context.clock.nowMillis()) })
    }

    /** Refuses all that wait: nothing can serve them. */
    public fun refuseAll(reason: QueueRefusal) {
        finish(state.step { context.queue.refuseAll(it, reason) })
    }

    /** Sends as many requests as there are free slots. */
    public fun pump() {
        while (waiting > 0) {
            val target = reserve() ?: return
            val effects = state.step { context.queue.dispatch(it, 1) }
            if (effects.isEmpty()) {
                context.upstreams.ended(target.upstream)
                return
            }
            for (effect in effects) send((effect as QueueEffect.Dispatch).request, target)
        }
    }

    private fun send(request: WaitingRequest, target: Target) {
        runningCount.incrementAndGet()
        val taken = pending.remove(request.id)?.complete(WaitEnd.Go(target)) ?: false
        if (!taken) ended(target)
    }

    private fun reserve(): Target? {
        val now = context.clock.nowMillis()
        val random = ThreadLocalRandom.current()
        val views = targets.map(context.upstreams::view)
        val chosen = context.choice.choose(
            views,
            context.zone,
            null,
            random.nextInt(Int.MAX_VALUE),
            random.nextInt(Int.MAX_VALUE),
            now
        ) ?: return null
        context.upstreams.began(chosen.upstream)
        return targets.find { it.upstream == chosen.upstream } ?: run {
            context.upstreams.ended(chosen.upstream)
            null
        }
    }

    private fun abandon(request: WaitingRequest, end: CompletableDeferred<WaitEnd>) {
        pending.remove(request.id)
        state.step { context.queue.cancel(it, request.workspace, request.id) }
        if (end.isCompleted && !end.isCancelled) {
            (end.getCompleted() as? WaitEnd.Go)?.let { ended(it.target) }
        } else {
            end.cancel()
        }
    }

    private fun finish(effects: List<QueueEffect>) {
        for (effect in effects) {
            when (effect) {
                is QueueEffect.Refuse ->
                    pending.remove(effect.request.id)?.complete(WaitEnd.Refused(effect.reason))
                is QueueEffect.Dispatch -> error("only pump dispatches")
            }
        }
    }
}
