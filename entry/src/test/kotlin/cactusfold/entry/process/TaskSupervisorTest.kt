package cactusfold.entry.process

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Meter
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

class TaskSupervisorTest {
    private val registry = SimpleMeterRegistry()

    private fun failures(task: String): Double =
        registry.find("cactusfold.task.failures").tag("task", task).counter()?.count() ?: 0.0

    /** Runs a task whose first run throws [cause], until its second run has begun. */
    private fun assertRestarted(cause: Throwable) = runBlocking {
        val supervisor = TaskSupervisor(coroutineContext, registry)
        val restarted = CompletableDeferred<Unit>()
        var runs = 0
        supervisor.keepRunning("t") {
            if (++runs == 1) throw cause
            restarted.complete(Unit)
            awaitCancellation()
        }
        withTimeout(TIMEOUT_MILLIS) { restarted.await() }
        supervisor.scope.cancel()
        assertEquals(1.0, failures("t"))
    }

    @Nested
    inner class KeepRunning {
        // Guards against an error that ends a task for good, such as following the upstreams.
        @Test
        fun `a task that ends with an error is restarted and counted`() =
            assertRestarted(StackOverflowError())

        @Test
        fun `a task that ends with an exception is restarted and counted`() =
            assertRestarted(IllegalStateException())

        // As above, for an error that cannot be reported either.
        @Test
        fun `a task whose failure cannot be reported is restarted`() = runBlocking {
            val full = object : SimpleMeterRegistry() {
                override fun newCounter(id: Meter.Id): Counter = throw OutOfMemoryError("full")
            }
            val supervisor = TaskSupervisor(coroutineContext, full)
            val restarted = CompletableDeferred<Unit>()
            var runs = 0
            supervisor.keepRunning("t") {
                if (++runs == 1) throw OutOfMemoryError("full")
                restarted.complete(Unit)
                awaitCancellation()
            }
            withTimeout(TIMEOUT_MILLIS) { restarted.await() }
            supervisor.scope.cancel()
            val unreported = full.find("cactusfold.task.failures.unreported").gauge()
            assertEquals(1.0, unreported?.value())
        }

        // As above, for a cancellation of something else than the task.
        @Test
        fun `a task that ends with a cancellation from elsewhere is restarted and counted`() =
            assertRestarted(CancellationException("a channel was closed"))
    }

    @Nested
    inner class Complete {
        @Test
        fun `a task runs again until it succeeds, and then no more`() = runBlocking {
            val supervisor = TaskSupervisor(coroutineContext, registry)
            val succeeded = CompletableDeferred<Unit>()
            var runs = 0
            supervisor.complete("once") {
                if (++runs < 3) throw OutOfMemoryError()
                succeeded.complete(Unit)
            }
            withTimeout(TIMEOUT_MILLIS) { succeeded.await() }
            supervisor.scope.cancel()
            assertTrue(runs == 3 && failures("once") == 2.0)
        }
    }

    private companion object {
        const val TIMEOUT_MILLIS = 10_000L
    }
}
