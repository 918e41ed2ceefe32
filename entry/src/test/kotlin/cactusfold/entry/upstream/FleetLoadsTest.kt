package cactusfold.entry.upstream

import cactusfold.protocol.entry.FleetNotice
import cactusfold.protocol.entry.RunnerLoad
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class FleetLoadsTest {
    private val loads = FleetLoads()
    private val own = UpstreamLoad()

    private fun notice(fence: Long, vararg inFlight: Int): FleetNotice =
        FleetNotice.newBuilder().setFence(fence).addAllRunnerLoads(
            inFlight.map {
                RunnerLoad.newBuilder().setRunner("r").setInFlight(it).setTokens(it * 100L).build()
            }
        ).build()

    private fun others(nowMillis: Long = 0) = loads.others("r", nowMillis)?.requests

    @Test
    fun `requests of this process are not counted twice`() {
        own.requestStarted(ModelUse("m", null), 100)
        own.recordReported()
        own.requestStarted(ModelUse("m", null), 100)
        loads.apply(notice(1, 5), 0) { own }
        assertEquals(4, others(), "the second one started after the report")
        assertEquals(400, loads.others("r", 0)?.tokens)
    }

    @Test
    fun `a notice without a change confirms the figures, and without notices they age`() {
        loads.apply(notice(1, 5), 0) { own }
        loads.apply(notice(1), 400) { own }
        assertEquals(100, loads.others("r", 500)?.ageMillis)
        assertEquals(5_000, loads.others("r", 5_400)?.ageMillis)
    }

    @Test
    fun `figures of an earlier coordinator, or of none, are not used`() {
        assertNull(others())
        loads.apply(notice(1, 5), 0) { own }
        loads.apply(notice(2), 100) { own }
        assertNull(others(), "the next coordinator may be of a release without figures")
        loads.apply(notice(2, 3), 200) { own }
        assertEquals(3, others())
    }
}
