package cactusfold.entry.passing

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.job

/**
 * The time in which a process that was told to stop has its peers serve what it has not sent yet.
 */
public class Handover {
    private class Wait(val deadlineAtMillis: Long, val job: Job) {
        var isEnded = false
    }

    private val waits = mutableSetOf<Wait>()

    /** When answers have to be back, as callers' connections are closed then; null before a stop. */
    public var answersUntilMillis: Long? = null
        private set

    /** Whether the process takes no more requests itself. */
    public var hasBegun: Boolean = false
        private set

    /** Records that the process was told to stop. */
    public fun announce(answersUntilMillis: Long) {
        this.answersUntilMillis = answersUntilMillis
    }

    /** Ends the waits of the requests that have more time than this process. */
    public fun begin() {
        hasBegun = true
        waits.filter { isCutShort(it.deadlineAtMillis) }.forEach {
            it.isEnded = true
            it.job.cancel()
        }
    }

    /** Whether a request that may take until [deadlineAtMillis] has less time because of the stop. */
    public fun isCutShort(deadlineAtMillis: Long): Boolean =
        answersUntilMillis?.let { deadlineAtMillis > it } ?: false

    /**
     * Returns the result of [wait], a wait of a request that may take until [deadlineAtMillis]. Null
     * if the request is to be passed on meanwhile; it waits here if no peer took it then.
     */
    public suspend fun <T : Any> unlessBegun(deadlineAtMillis: Long, wait: suspend () -> T): T? {
        if (hasBegun) return wait()
        var own: Wait? = null
        try {
            return coroutineScope {
                own = Wait(deadlineAtMillis, coroutineContext.job).also(waits::add)
                wait()
            }
        } catch (e: CancellationException) {
            currentCoroutineContext().ensureActive()
            if (own?.isEnded != true) throw e
            return null
        } finally {
            own?.let(waits::remove)
        }
    }
}
