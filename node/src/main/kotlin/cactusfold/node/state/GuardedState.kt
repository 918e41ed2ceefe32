package cactusfold.node.state

import cactusfold.decisions.Step
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** One shard of state under its own lock. Effects are returned, to be run outside the lock. */
public class GuardedState<S>(initial: S) {
    private val lock = ReentrantLock()

    @Volatile
    private var state: S = initial

    /** The state at this moment. */
    public val value: S get() = state

    /** Moves the state by [step] and returns the effects. */
    public fun <F> step(step: (S) -> Step<S, F>): List<F> = lock.withLock {
        val next = step(state)
        state = next.state
        next.effects
    }

    /** Replaces the state by [change] of it and returns the new one. */
    public fun update(change: (S) -> S): S = lock.withLock {
        state = change(state)
        state
    }

    /** Runs [block] under the lock; it returns the new state and a result. */
    public fun <R> exchange(block: (S) -> Pair<S, R>): R = lock.withLock {
        val (next, result) = block(state)
        state = next
        result
    }
}
