package cactusfold.node.time

import kotlin.random.Random
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.apache.logging.log4j.LogManager

/** Handle of a periodic action. */
public fun interface TimerSubscription {
    /** Ends the periodic action and cancels a run in progress. */
    public fun cancel()
}

/** Runs actions periodically. Runs of one action never overlap. */
public class TimerService(
    private val scope: CoroutineScope,
    private val random: Random = Random.Default
) {
    /**
     * Runs [action] at once and then again [periodMillis] after each run ends. Each delay is
     * shortened or lengthened at random by up to [jitter], a share of the period, so that processes
     * do not synchronize.
     */
    public fun subscribe(
        name: String,
        periodMillis: Long,
        jitter: Double = DEFAULT_JITTER,
        action: suspend () -> Unit
    ): TimerSubscription {
        val job = scope.launch {
            while (isActive) {
                runOnce(name, action)
                delay(jittered(periodMillis, jitter))
            }
        }
        return TimerSubscription { job.cancel() }
    }

    /** Runs [action] once after [delayMillis]. */
    public fun after(delayMillis: Long, action: suspend () -> Unit): Job = scope.launch {
        delay(delayMillis)
        action()
    }

    private suspend fun runOnce(name: String, action: suspend () -> Unit) {
        try {
            action()
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            log.warn("timer {} failed; it will run again after its period", name, e)
        }
    }

    private fun jittered(periodMillis: Long, jitter: Double): Long {
        val factor = 1 + jitter * (2 * random.nextDouble() - 1)
        return (periodMillis * factor).toLong().coerceAtLeast(1)
    }

    private companion object {
        const val DEFAULT_JITTER = 0.1
        val log = LogManager.getLogger(TimerService::class.java)
    }
}
