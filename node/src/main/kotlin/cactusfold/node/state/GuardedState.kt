package cactusfold.node.state

import cactusfold.decisions.Step
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * State that is changed only under its own lock and may be read without it. Effects of a change are
 * returned, so that the caller performs them after the lock is released.
 */
public class GuardedState<S>(initial: S) {
    private val lock = ReentrantLock()

    @Volatile
    private var state: S = initial

    /** The current state. */
    public val value: S get() = state

    /** Applies [step] to the state and returns its effects. */
    public fun <F> step(step: (S) -> Step<S, F>): List<F> = lock.withLock {
        val next = step(state)
        state = next.state
        next.effects
    }

    /** Replaces the state with the result of [change] and returns it. */
    public fun update(change: (S) -> S): S = lock.withLock {
        state = change(state)
        state
    }

    /** Replaces the state with the first value that [block] returns, and returns the second. */
    public fun <R> exchange(block: (S) -> Pair<S, R>): R = lock.withLock {
        val (next, result) = block(state)
        state = next
        result
    }
}
