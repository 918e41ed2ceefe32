package cactusfold.entry.residency

import cactusfold.decisions.residency.RunnerOrder
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

/**
 * What may take memory off the books of a runner, from the event to the orders that follow
 * (docs/design/runner-memory.md). The runners have room for three models.
 */
class RunnerMemoryTest {
    private val fleet = SimulatedFleet()
    private val first = fleet.coordinator("vm1")
    private val second = fleet.coordinator("vm2")

    @AfterEach
    fun stop() = fleet.close()

    private fun SimulatedFleet.Coordinator.lead(fence: Long) {
        read()
        start(fence)
        run(1_000)
    }

    /** Has [model] loaded; fails if a runner is ordered to load more than it holds. */
    private fun SimulatedFleet.Coordinator.load(model: String, adapter: String? = null) {
        fleet.want(model, adapter)
        run(10_000)
        assertNoOverload()
        assertFalse(fleet.waits(model, adapter), "$model/$adapter was not loaded: ${fleet.log}")
    }

    private fun assertNoOverload() = assertEquals(emptyList(), fleet.overloads, fleet.log)

    private fun faultOnce(fault: OrderFault, applies: (RunnerOrder) -> Boolean) =
        { order: RunnerOrder ->
            if (!hadFault && applies(order)) fault.also { hadFault = true } else OrderFault.None
        }

    private var hadFault = false

    @Nested
    inner class AnswersToRequests {
        // Guards against a model whose memory counts as free since requests were answered 421.
        @Test
        fun `answers 421 take neither an adapter nor its model off`() {
            fleet.runner("i-1", "m1", "m2", "m3").adapterMillis = 300
            fleet.runner("i-2", "m4", "m5")
            first.lead(1)
            fleet.want("m1", "a1", count = 3)
            first.run(50)
            assertEquals(3, fleet.misses)
            fleet.want("m1")
            first.run(6_000)
            listOf("m7", "m8", "m9").forEach { first.load(it) }
        }

        // Guards against a model that no request is sent to any more after one answer 421.
        @Test
        fun `a model is asked for again soon after an answer 421`() {
            val runner = fleet.runner("i-1", "m1", "m2", "m3").apply { adapterMillis = 300 }
            first.lead(1)
            fleet.want("m1", "a1", count = 3)
            first.run(3_000)
            assertFalse(fleet.waits("m1", "a1"), fleet.log)
            assertEquals(0, runner.loads, fleet.log)
        }
    }

    @Nested
    inner class Orders {
        @Test
        fun `an accepted unload frees the memory for the load that follows`() {
            val runner = fleet.runner("i-1", "m1", "m2", "m3").apply { drainMillis = 700 }
            first.lead(1)
            first.load("m9")
            first.load("m8")
            assertEquals(2, runner.loads)
        }

        // Guards against a model whose memory counts as free since its unload was refused.
        @Test
        fun `a refused unload takes nothing off`() {
            fleet.runner("i-1", "m1", "m2", "m3")
            first.orders.faultOf = faultOnce(OrderFault.Refused) { it is RunnerOrder.Unload }
            first.lead(1)
            fleet.want("m9")
            first.run(300)
            assertTrue(hadFault)
            fleet.wantNothing()
            first.run(6_000)
            first.load("m8")
        }

        @Test
        fun `an unload whose reply was lost is not repeated`() {
            val runner = fleet.runner("i-1", "m1", "m2", "m3")
            first.orders.faultOf = faultOnce(OrderFault.ReplyLost) { it is RunnerOrder.Unload }
            first.lead(1)
            first.load("m9")
            assertTrue(hadFault)
            assertEquals(1, runner.log.count { "Unload" in it }, fleet.log)
        }

        // Guards against an order that counts as accepted because the runner's count has risen.
        @Test
        fun `a late order of another coordinator does not acknowledge an unload that was lost`() {
            fleet.runner("i-1", "m1", "m2", "m3")
            first.orders.faultOf = faultOnce(OrderFault.Late(1_800)) { true }
            first.lead(1)
            fleet.want("m1", "a1")
            first.run(100)
            assertTrue(hadFault)
            fleet.wantNothing()
            first.stop()
            hadFault = false
            second.orders.faultOf = faultOnce(OrderFault.Lost) { it is RunnerOrder.Unload }
            second.lead(2)
            second.load("m9")
            assertTrue(hadFault)
        }

        // Guards against a place that counts as free while requests use the adapter unloaded.
        @Test
        fun `an adapter in use keeps its place until it is gone`() {
            val small = SimulatedFleet(adapterSlots = 2)
            val runner = small.runner("i-1", "m1", "m2", "m3")
            val coordinator = small.coordinator("vm1")
            coordinator.read()
            coordinator.start(1)
            coordinator.run(1_000)
            listOf("a1", "a2").forEach { small.want("m1", it) }
            coordinator.run(3_000)
            assertEquals(setOf("a1", "a2"), runner.adaptersOf("m1"))
            val inUseUntilMillis = small.nowMillis + 3_000
            runner.isInUse = { small.nowMillis < inUseUntilMillis }
            small.want("m1", "a3")
            coordinator.run(10_000)
            assertEquals(emptyList(), small.overloads, small.log)
            assertTrue("a3" in runner.adaptersOf("m1"), small.log)
            small.close()
        }

        // Guards against a place that counts as free since an adapter in transit seems not there.
        @Test
        fun `an adapter in transit counts as held and is not unloaded`() {
            val small = SimulatedFleet(adapterSlots = 2)
            val runner = small.runner("i-1", "m1", "m2", "m3").apply { adapterMillis = 2_000 }
            val coordinator = small.coordinator("vm1")
            coordinator.read()
            coordinator.start(1)
            coordinator.run(1_000)
            listOf("a1", "a2", "a3", "a4").forEach { small.want("m1", it) }
            coordinator.run(12_000)
            assertEquals(emptyList(), small.overloads, small.log)
            assertEquals(emptyList(), runner.unloadsInTransit, small.log)
            assertTrue(runner.adapterLoads >= 4, small.log)
            small.close()
        }
    }

    @Nested
    inner class Rows {
        // Guards against memory that counts as free since an old row did not list a model.
        @Test
        fun `a row that lists less takes nothing off`() {
            val runner = fleet.runner("i-1", "m1")
            first.lead(1)
            val old = listOf(runner.entry())
            first.load("m2")
            first.load("m3")
            first.run(6_000)
            first.read(old)
            first.run(200)
            first.load("m9")
        }

        // Guards against two loaders of one runner after its row lapsed for a while.
        @Test
        fun `a start whose row returns keeps its books`() {
            val runner = fleet.runner("i-1", "m1", "m2")
            first.orders.faultOf = faultOnce(OrderFault.ReplyLost) { it is RunnerOrder.Load }
            first.lead(1)
            val old = runner.entry()
            fleet.want("m3")
            first.run(500)
            first.lapse("i-1")
            first.run(200)
            first.read(listOf(old))
            fleet.want("m9")
            first.run(12_000)
            assertNoOverload()
            assertFalse(fleet.waits("m9"), fleet.log)
        }
    }

    @Nested
    inner class Reports {
        @Test
        fun `a report from before the last order takes nothing off`() {
            val runner = fleet.runner("i-1", "m1")
            first.lead(1)
            first.load("m2")
            first.load("m3")
            runner.reportLagMillis = { 15_000 }
            first.stop()
            first.start(2)
            first.run(1_000)
            fleet.want("m9")
            first.run(8_000)
            assertNoOverload()
            runner.reportLagMillis = { 200 }
            first.run(8_000)
            assertNoOverload()
            assertTrue(runner.holds("m9"), fleet.log)
        }

        @Test
        fun `models that a runner unloaded for another coordinator come off`() {
            val runner = fleet.runner("i-1", "m1", "m2", "m3")
            first.lead(1)
            first.stop()
            second.lead(2)
            second.load("m9")
            second.stop()
            first.start(3)
            first.run(1_000)
            first.load("m8")
            assertEquals(2, runner.log.count { "Unload" in it }, fleet.log)
        }

        // Guards against an unread late order, after which requests find a model missing for long.
        @Test
        fun `a model that a late order unloaded is loaded again`() {
            val runner = fleet.runner("i-1", "m1", "m2", "m3")
            first.orders.faultOf = { OrderFault.Late(3_000) }
            first.lead(1)
            fleet.want("m9")
            first.run(100)
            fleet.wantNothing()
            first.stop()
            second.lead(2)
            second.run(4_000)
            val gone = listOf("m1", "m2", "m3").first { !runner.holds(it) }
            second.load(gone)
            assertTrue(runner.holds(gone), fleet.log)
        }
    }

    @Nested
    inner class Starts {
        @Test
        fun `a start under the same id begins with empty books`() {
            val runner = fleet.runner("i-1", "m1", "m2", "m3")
            first.lead(1)
            runner.restart(downMillis = 500)
            first.run(1_500)
            first.read()
            listOf("m4", "m5", "m6", "m7").forEach { first.load(it) }
            assertEquals(1, runner.log.count { "Unload" in it }, fleet.log)
        }
    }

    @Nested
    inner class ReusedIds {
        // Guards against an order to the start before that a runner carries out at the same count.
        @Test
        fun `a start under a known id keeps room for a late order to the one before`() {
            val runner = fleet.runner("i-1", "m1", "m2", "m3")
            first.lead(1)
            listOf("m4", "m5").forEach { first.load(it) }
            second.read()
            first.orders.faultOf = {
                if (it is RunnerOrder.Load) OrderFault.Late(11_000) else OrderFault.None
            }
            fleet.want("m6")
            first.run(500)
            first.stop()
            fleet.wantNothing()
            runner.restart(downMillis = 100)
            runner.loadMillis = 300
            second.start(2)
            second.run(200)
            second.read()
            listOf("m1", "m2", "m3").forEach { fleet.want(it) }
            second.run(4_000)
            listOf("a1", "a2", "a3").forEach { fleet.want("m1", it) }
            second.run(25_000)
            assertNoOverload()
            assertTrue(runner.log.any { "Load(model=m6) at 5 by vm1: Accepted" in it }, fleet.log)
            assertFalse(fleet.waits("m3"), fleet.log)
        }
    }

    @Nested
    inner class Coordinators {
        @Test
        fun `an order under way when the lease ends is refused or counted by the next holder`() {
            fleet.runner("i-1", "m1", "m2", "m3")
            first.orders.faultOf = {
                if (it is RunnerOrder.Load) OrderFault.Late(2_500) else OrderFault.None
            }
            first.lead(1)
            fleet.want("m9")
            first.run(1_000)
            fleet.wantNothing()
            first.stop()
            second.lead(2)
            second.load("m8")
            second.load("m7")
        }
    }
}
