package cactusfold.entry.residency

import cactusfold.decisions.residency.PriorityDemand
import cactusfold.entry.process.EventLog
import cactusfold.entry.upstream.NoFeed
import cactusfold.entry.upstream.UpstreamDirectory
import cactusfold.entry.upstream.UpstreamPolling
import cactusfold.node.time.MonotonicClock
import cactusfold.protocol.entry.Forecast
import cactusfold.protocol.entry.MemberReport
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

    // Guards against a caller who is refused although served late: it came after the last report.
    @Test
    fun `a refusing forecast keeps a request that the model is in time for`() = runBlocking {
        val early = async { queue.await(need("m", deadlineAtMillis = 14_000)) }
        val late = async { queue.await(need("m", deadlineAtMillis = 26_000)) }
        yield()
        queue.forecast(forecast(readyInMillis = 9_300).toBuilder().setIsRefused(true).build())
        early.await()
        assertFalse(late.isCompleted)
        late.cancel()
    }

    // Guards against priorities or ages that get lost between a member and the planner.
    @Test
    fun `demand is stated and merged by priority`() = runBlocking {
        val requests = listOf(0 to 12_000L, 2 to 30_000L, 2 to 40_000L).map { (priority, limit) ->
            val need = need("m", limit).copy(arrivedAtMillis = 0, priority = priority, tokens = 5)
            async { queue.await(need) }
        }
        yield()
        queue.arrived("m", priority = 2)
        val demand = FleetDemand()
        val report = MemberReport.newBuilder().addAllDemands(queue.takeDemands())
        listOf("vm1", "vm2").forEach { demand.record(report.setVm(it).build(), 10_000) }
        val (tips, reports) = demand.demands(10_000).single().byPriority
        assertEquals(PriorityDemand(0, 2, 10_000, 12_000, 10, 0.833), tips)
        assertEquals(PriorityDemand(2, 4, 10_000, 40_000, 20, 0.333), reports)
        assertEquals(setOf(2), demand.arrivalsByPriority(10_000).getValue("m").keys)
        requests.forEach { it.cancel() }
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
