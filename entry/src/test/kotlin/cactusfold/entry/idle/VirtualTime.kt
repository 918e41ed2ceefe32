package cactusfold.entry.idle

import cactusfold.node.time.MonotonicClock
import java.util.PriorityQueue
import kotlin.coroutines.CoroutineContext
import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.Delay
import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.InternalCoroutinesApi
import kotlinx.coroutines.Runnable

/** Event loop in virtual time, which counts how often a timer wakes it up. */
@OptIn(InternalCoroutinesApi::class, ExperimentalCoroutinesApi::class)
class VirtualTime :
    CoroutineDispatcher(),
    Delay,
    MonotonicClock {
    private class Timer(val atMillis: Long, val number: Int, val action: () -> Unit)

    private val ready = ArrayDeque<Runnable>()
    private val timers = PriorityQueue<Timer>(compareBy({ it.atMillis }, { it.number }))
    private var nowMillis = 0L
    private var scheduled = 0

    /** Number of moments at which a timer has woken the event loop up. */
    var wakeUps = 0
        private set

    override fun nowMillis(): Long = nowMillis

    override fun dispatch(context: CoroutineContext, block: Runnable) {
        ready += block
    }

    override fun scheduleResumeAfterDelay(
        timeMillis: Long,
        continuation: CancellableContinuation<Unit>
    ) {
        val timer = schedule(timeMillis) {
            with(continuation) { this@VirtualTime.resumeUndispatched(Unit) }
        }
        continuation.invokeOnCancellation { timers.remove(timer) }
    }

    override fun invokeOnTimeout(
        timeMillis: Long,
        block: Runnable,
        context: CoroutineContext
    ): DisposableHandle {
        val timer = schedule(timeMillis) { block.run() }
        return DisposableHandle { timers.remove(timer) }
    }

    private fun schedule(delayMillis: Long, action: () -> Unit): Timer =
        Timer(nowMillis + delayMillis, scheduled++, action).also(timers::add)

    /** Runs all that is due within [millis]. */
    fun advance(millis: Long) {
        val untilMillis = nowMillis + millis
        runReady()
        while (true) {
            val next = timers.peek()?.takeIf { it.atMillis <= untilMillis } ?: break
            nowMillis = next.atMillis
            wakeUps++
            while (timers.peek()?.atMillis == nowMillis) {
                timers.remove().action()
                runReady()
            }
        }
        nowMillis = untilMillis
    }

    private fun runReady() {
        while (true) (ready.removeFirstOrNull() ?: return).run()
    }
}
