package cactusfold.decisions.residency

import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

class ResidencyLedgerTest {
    private val none = persistentSetOf<String>()
    private val loadA = RunnerOrder.Load("a")
    private val loadX = RunnerOrder.LoadAdapter("a", "x")
    private val unloadX = RunnerOrder.UnloadAdapter("a", "x")

    /** The ledger after a report as of four orders. */
    private val read = ResidencyLedger()
        .reported(persistentMapOf("a" to persistentSetOf("x")), count = 4, isSettled = true)

    private fun ResidencyLedger.accepted(order: RunnerOrder, isDone: Boolean = false) =
        accepted(order, checkNotNull(orderCount), isDone)

    @Nested
    inner class Orders {
        @Test
        fun `accepted loads are recorded, each at the next count`() {
            val ledger = ResidencyLedger().reported(persistentMapOf(), 0, true)
                .accepted(loadA).accepted(loadX)
            assertEquals(setOf("x"), ledger.adaptersByModel.getValue("a"))
            assertEquals(2, ledger.orderCount)
        }

        @Test
        fun `unloaded models and adapters are removed`() {
            assertEquals(none, read.accepted(unloadX, isDone = true).adaptersByModel["a"])
            val ledger = read.accepted(RunnerOrder.Unload("a"))
            assertEquals(setOf<String>(), ledger.adaptersByModel.keys)
            assertEquals(5, ledger.orderCount)
        }

        @Test
        fun `an adapter in use stays until a report lacks it`() {
            val ledger = read.accepted(unloadX)
            assertEquals(setOf("x"), ledger.adaptersByModel.getValue("a"))
            assertFalse(ledger.reflects(unloadX))
            val gone = ledger.reported(persistentMapOf("a" to none), 5, isSettled = true)
            assertTrue(gone.reflects(unloadX))
        }

        @Test
        fun `without a known count there is none for the next order`() {
            assertNull(read.outdated().orderCount)
            assertEquals(read.adaptersByModel, read.outdated().adaptersByModel)
        }
    }

    @Nested
    inner class Reports {
        private val ledger = read.accepted(RunnerOrder.Load("b"))
        private val other = persistentMapOf("c" to none)

        @Test
        fun `a report from before the last order changes nothing`() {
            assertEquals(ledger, ledger.reported(other, 4, isSettled = true))
        }

        @Test
        fun `a report at the same count replaces the ledger once no order is in progress`() {
            assertEquals(ledger, ledger.reported(other, 5, isSettled = false))
            assertEquals(setOf("c"), ledger.reported(other, 5, true).adaptersByModel.keys)
        }

        @Test
        fun `an order of another sender in progress leaves no known count`() {
            val after = ledger.reported(other, 6, isSettled = false)
            assertNull(after.orderCount)
            assertEquals(ledger.adaptersByModel, after.adaptersByModel)
            assertEquals(6, after.reported(other, 6, isSettled = true).orderCount)
        }

        @Test
        fun `a reply that arrives after the report of its order changes nothing`() {
            val reported = read.reported(other, 5, isSettled = true)
            assertEquals(reported, reported.accepted(loadA, expected = 4, isDone = false))
        }

        @Test
        fun `an unload that the runner may not have counted leaves reports at the count before`() {
            val assumed = read.accepted(unloadX, isDone = true)
            assertEquals(5, assumed.orderCount)
            val reported = assumed.reported(persistentMapOf("a" to none), 4, isSettled = true)
            assertEquals(4, reported.orderCount)
        }
    }

    @Nested
    inner class Room {
        private val bounds = RunnerBounds(
            4,
            150.0,
            1,
            2,
            300,
            persistentMapOf(
                "a" to ModelCost("a", 70.0, 1.0, 8, 9_000, 2_000, 1_000),
                "b" to ModelCost("b", 70.0, 0.0, 0, 9_000, 2_000, 1_000),
                "c" to ModelCost("c", 70.0, 0.0, 0, 9_000, 2_000, 1_000)
            )
        )

        @Test
        fun `a model has room up to the memory of the runner`() {
            assertTrue(read.hasRoomFor(RunnerOrder.Load("b"), bounds))
            val full = read.accepted(RunnerOrder.Load("b"))
            assertFalse(full.hasRoomFor(RunnerOrder.Load("c"), bounds))
            assertTrue(full.hasRoomFor(RunnerOrder.Unload("b"), bounds))
        }

        @Test
        fun `an adapter needs a slot and memory`() {
            assertFalse(read.hasRoomFor(RunnerOrder.LoadAdapter("a", "y"), bounds))
            val slots = bounds.copy(adapterSlots = 2)
            assertTrue(read.hasRoomFor(RunnerOrder.LoadAdapter("a", "y"), slots))
            val small = slots.copy(weightMegabytes = 71.5)
            assertFalse(read.hasRoomFor(RunnerOrder.LoadAdapter("a", "y"), small))
        }

        @Test
        fun `a model that is not configured fills the runner`() {
            val odd = ResidencyLedger().reported(persistentMapOf("odd" to none), 0, true)
            assertFalse(odd.hasRoomFor(RunnerOrder.Load("b"), bounds))
        }
    }
}
