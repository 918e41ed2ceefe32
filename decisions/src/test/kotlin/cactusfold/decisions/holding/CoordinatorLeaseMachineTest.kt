package cactusfold.decisions.holding

import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

class CoordinatorLeaseMachineTest {
    private val times =
        CoordinatorLeaseSettings(validMillis = 2_000, quietMillis = 3_000, marginMillis = 250)
    private val machine = CoordinatorLeaseMachine(times)
    private val other = CoordinatorLeaseRecord("other", fence = 4, version = 10, isReleased = false)

    private fun watching(record: CoordinatorLeaseRecord?, nowMillis: Long): CoordinatorLeaseState =
        machine.observed(CoordinatorLeaseState.Standby(), record, nowMillis)

    @Nested
    inner class Taking {
        @Test
        fun `a row that nobody wrote is taken at once and acted on at once`() {
            val state = assertIs<CoordinatorLeaseState.Standby>(watching(null, 100))
            assertTrue(machine.mayTakeOver(state, 100))
            assertTrue(machine.mayAct(machine.took(state, 1, 100, 104), 104))
        }

        @Test
        fun `a row that was never read is not taken`() {
            assertFalse(machine.mayTakeOver(CoordinatorLeaseState.Standby(), 1_000_000))
        }

        @Test
        fun `a holder that may still act is not replaced`() {
            val state = watching(other, 100)
            assertFalse(machine.mayTakeOver(state, 100 + 2_249))
            assertTrue(machine.mayTakeOver(state, 100 + 2_250))
        }

        @Test
        fun `a renewal begins the wait anew`() {
            val renewed = machine.observed(watching(other, 100), other.copy(version = 11), 2_000)
            assertFalse(machine.mayTakeOver(renewed, 2_400))
        }

        @Test
        fun `a new holder acts only after the quiet time`() {
            val state = assertIs<CoordinatorLeaseState.Standby>(watching(other, 0))
            val holding = machine.took(state, 12, sentAtMillis = 2_250, nowMillis = 2_260)
            assertEquals(5, holding.fence)
            val renewed = machine.renewed(holding, 13, 5_000)
            assertFalse(machine.mayAct(renewed, 2_260 + 3_249))
            assertTrue(machine.mayAct(renewed, 2_260 + 3_250))
        }

        @Test
        fun `a released row and a promise make the wait for the lapse needless`() {
            assertTrue(machine.mayTakeOver(watching(other.copy(isReleased = true), 0), 0))
            assertTrue(machine.mayTakeOver(machine.promised(watching(other, 0), 4), 0))
            assertFalse(machine.mayTakeOver(machine.promised(watching(other, 0), 3), 0))
        }
    }

    @Nested
    inner class SameVm {
        private val before = other.copy(isReleased = true, isOwnVm = true, isSettled = true)

        private fun actsAtOnce(record: CoordinatorLeaseRecord): Boolean {
            val state = assertIs<CoordinatorLeaseState.Standby>(watching(record, 0))
            return machine.mayAct(machine.took(state, 12, 0, 10), 10)
        }

        @Test
        fun `a process that succeeds one on its own VM acts at once`() {
            assertTrue(actsAtOnce(before))
        }

        @Test
        fun `not when that one was still waiting for a holder on another VM`() {
            assertFalse(actsAtOnce(before.copy(isSettled = false)))
            assertFalse(actsAtOnce(before.copy(isOwnVm = false)))
        }
    }

    @Nested
    inner class HeardRenewals {
        private fun heard(version: Long, atMillis: Long): CoordinatorLeaseState =
            machine.heard(CoordinatorLeaseState.Standby(), AnnouncedRenewal(version, atMillis))

        @Test
        fun `the wait counts from what the holder said, not from the first reading`() {
            val state = machine.observed(heard(version = 10, atMillis = 100), other, 1_400)
            assertFalse(machine.mayTakeOver(state, 100 + 2_249))
            assertTrue(machine.mayTakeOver(state, 100 + 2_250))
        }

        @Test
        fun `what was said of another version counts for nothing`() {
            val state = machine.observed(heard(version = 9, atMillis = 100), other, 1_400)
            assertFalse(machine.mayTakeOver(state, 1_400 + 2_249))
        }
    }

    @Nested
    inner class LeaseHolder {
        private val holding = CoordinatorLeaseState.LeaseHolder(
            5,
            12,
            confirmedAtMillis = 0,
            actsFromMillis = 0
        )

        @Test
        fun `the lease lapses when the last confirmed renewal is too long ago`() {
            assertTrue(machine.mayAct(holding, 1_999))
            assertFalse(machine.mayAct(holding, 2_000))
        }

        @Test
        fun `a renewal whose reply was lost teaches the version and lengthens nothing`() {
            val own = CoordinatorLeaseRecord("self", 5, 13, isReleased = false)
            val state =
                assertIs<CoordinatorLeaseState.LeaseHolder>(
                    machine.conflicted(holding, own, "self", 900)
                )
            assertEquals(13, state.version)
            assertFalse(machine.mayAct(state, 2_000))
        }

        @Test
        fun `a row of another holder ends the lease`() {
            val state = machine.conflicted(holding, other.copy(fence = 6), "self", 900)
            assertFalse(machine.mayAct(state, 900))
        }
    }
}
