package cactusfold.entry.residency

import cactusfold.entry.process.EventLog
import cactusfold.entry.upstream.NoFeed
import cactusfold.entry.upstream.UpstreamDirectory
import cactusfold.entry.upstream.UpstreamPolling
import cactusfold.node.time.MonotonicClock
import cactusfold.protocol.entry.Forecast
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.yield
import org.junit.jupiter.api.Test

class ModelWaitQueueTest {
    private val clock = MonotonicClock { 10_000 }
    private val directory =
        UpstreamDirectory(NoFeed, clock, EventLog("vm", clock, linesPerSecond = 1), "z") {
            UpstreamPolling.Detached()
        }
    private val queue = ModelWaitQueue(directory, clock) {}

    private fun forecast(readyInMillis: Long): Forecast =
        Forecast.newBuilder().setModel("m").setReadyInMillis(readyInMillis).build()

    private fun need(
        model: String,
        deadlineAtMillis: Long,
        softwareVersion: String? = null
    ): ModelNeed = ModelNeed("s", model, null, softwareVersion, 10_000, deadlineAtMillis)

    @Test
    fun `a wait for a version ends at once if no upstream has it`() = runBlocking {
        val need = need("m", deadlineAtMillis = 14_000, softwareVersion = "v1")
        assertEquals(ModelWait.VersionGone, queue.await(need))
    }

    @Test
    fun `a forecast refuses only requests whose deadline is before the ready time`() = runBlocking {
        val early = async { queue.await(need("m", deadlineAtMillis = 14_000)) }
        val late = async { queue.await(need("m", deadlineAtMillis = 26_000)) }
        yield()
        queue.forecast(forecast(readyInMillis = 9_300))
        assertEquals(ModelWait.Refused(retryAfterMillis = 9_300), early.await())
        assertFalse(late.isCompleted)
        late.cancel()
    }

    @Test
    fun `a forecast for another model does not end the wait`() = runBlocking {
        val waiting = async { queue.await(need("n", deadlineAtMillis = 14_000)) }
        yield()
        queue.forecast(forecast(readyInMillis = 9_300))
        yield()
        assertFalse(waiting.isCompleted)
        waiting.cancel()
    }
}
