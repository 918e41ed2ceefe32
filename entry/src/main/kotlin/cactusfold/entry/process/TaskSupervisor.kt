package cactusfold.entry.process

import io.micrometer.core.instrument.MeterRegistry
import java.util.concurrent.atomic.AtomicLong
import kotlin.coroutines.CoroutineContext
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import org.apache.logging.log4j.LogManager

/**
 * Runs the tasks that a process needs for as long as it runs. A task that fails is logged, counted
 * and restarted.
 *
 * That also holds for errors such as a lack of stack or memory. All processes of the fleet read the
 * same data, so one that ended for it would not be alone.
 */
public class TaskSupervisor(context: CoroutineContext, private val metrics: MeterRegistry) {
    private val unreported = AtomicLong()

    init {
        metrics.gauge("cactusfold.task.failures.unreported", unreported)
    }

    /** The scope of the tasks; what fails in it otherwise is logged and counted too. */
    public val scope: CoroutineScope = CoroutineScope(
        context + SupervisorJob() + CoroutineExceptionHandler { _, cause -> report(UNNAMED, cause) }
    )

    /** Runs [task] until the scope ends, again and again. */
    public fun keepRunning(name: String, task: suspend () -> Unit) {
        scope.launch {
            while (true) {
                attempt(name, task)
                attempt(name) { delay(RESTART_DELAY_MILLIS) }
            }
        }
    }

    /** Runs [task] until it ends without a failure. */
    public fun complete(name: String, task: suspend () -> Unit) {
        scope.launch {
            while (!attempt(name, task)) attempt(name) { delay(RESTART_DELAY_MILLIS) }
        }
    }

    private suspend fun attempt(name: String, task: suspend () -> Unit): Boolean = try {
        task()
        true
    } catch (e: Throwable) {
        // A cancellation of anything but the scope is a failure as well.
        currentCoroutineContext().ensureActive()
        report(name, e)
        false
    }

    private fun report(name: String, cause: Throwable) {
        try {
            metrics.counter(FAILURES, "task", name).increment()
            log.error("task {} failed", name, cause)
        } catch (_: Throwable) {
            // Without memory a failure can only be counted, and the task has to go on all the same.
            unreported.incrementAndGet()
        }
    }

    private companion object {
        const val FAILURES = "cactusfold.task.failures"
        const val UNNAMED = "unnamed"
        const val RESTART_DELAY_MILLIS = 200L
        val log = LogManager.getLogger(TaskSupervisor::class.java)
    }
}
