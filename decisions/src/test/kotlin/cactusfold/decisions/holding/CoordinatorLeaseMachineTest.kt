package cactusfold.decisions.holding

import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

class CoordinatorLeaseMachineTest {
    private val times =
        CoordinatorLeaseSettings(ttlMillis = 2_000, quietMillis = 3_000, marginMillis = 250)
    private val machine = CoordinatorLeaseMachine(times)
    private val other = CoordinatorLeaseRecord("other", fence = 4, version = 10, isReleased = false)

    private fun standby(record: CoordinatorLeaseRecord?, nowMillis: Long): CoordinatorLeaseState =
        machine.observed(CoordinatorLeaseState.Standby(), record, nowMillis)

    @Nested
    inner class Taking {
        @Test
        fun `without a row the lease is taken and acted on immediately`() {
            val state = assertIs<CoordinatorLeaseState.Standby>(standby(null, 100))
            assertTrue(machine.mayTakeOver(state, 100))
            assertTrue(machine.mayAct(machine.took(state, 1, 100, 104), 104))
        }

        @Test
        fun `the lease is not taken before the row was read`() {
            assertFalse(machine.mayTakeOver(CoordinatorLeaseState.Standby(), 1_000_000))
        }

        @Test
        fun `the lease is not taken over before TTL and margin have passed`() {
            val state = standby(other, 100)
            assertFalse(machine.mayTakeOver(state, 100 + 2_249))
            assertTrue(machine.mayTakeOver(state, 100 + 2_250))
        }

        @Test
        fun `a renewal restarts the wait`() {
            val renewed = machine.observed(standby(other, 100), other.copy(version = 11), 2_000)
            assertFalse(machine.mayTakeOver(renewed, 2_400))
        }

        @Test
        fun `a new holder acts only after quiet period and margin`() {
            val state = assertIs<CoordinatorLeaseState.Standby>(standby(other, 0))
            val leaseHolder = machine.took(state, 12, sentAtMillis = 2_250, nowMillis = 2_260)
            assertEquals(5, leaseHolder.fence)
            val renewed = machine.renewed(leaseHolder, 13, 5_000)
            assertFalse(machine.mayAct(renewed, 2_260 + 3_249))
            assertTrue(machine.mayAct(renewed, 2_260 + 3_250))
        }

        @Test
        fun `a lease is taken over immediately if released or its holder promised to stop`() {
            assertTrue(machine.mayTakeOver(standby(other.copy(isReleased = true), 0), 0))
            assertTrue(machine.mayTakeOver(machine.promised(standby(other, 0), 4), 0))
            assertFalse(machine.mayTakeOver(machine.promised(standby(other, 0), 3), 0))
        }
    }

    @Nested
    inner class SameVm {
        private val before = other.copy(isReleased = true, isOwnVm = true, isSettled = true)

        private fun actsAtOnce(record: CoordinatorLeaseRecord): Boolean {
            val state = assertIs<CoordinatorLeaseState.Standby>(standby(record, 0))
            return machine.mayAct(machine.took(state, 12, 0, 10), 10)
        }

        @Test
        fun `a successor on the same VM acts immediately`() {
            assertTrue(actsAtOnce(before))
        }

        @Test
        fun `a successor waits if the previous holder was in its quiet period or on another VM`() {
            assertFalse(actsAtOnce(before.copy(isSettled = false)))
            assertFalse(actsAtOnce(before.copy(isOwnVm = false)))
        }
    }

    @Nested
    inner class AnnouncedRenewals {
        private fun heard(version: Long, atMillis: Long): CoordinatorLeaseState =
            machine.heard(CoordinatorLeaseState.Standby(), AnnouncedRenewal(version, atMillis))

        @Test
        fun `the wait counts from the announced renewal and not from the first reading`() {
            val state = machine.observed(heard(version = 10, atMillis = 100), other, 1_400)
            assertFalse(machine.mayTakeOver(state, 100 + 2_249))
            assertTrue(machine.mayTakeOver(state, 100 + 2_250))
        }

        @Test
        fun `the announcement of another version is ignored`() {
            val state = machine.observed(heard(version = 9, atMillis = 100), other, 1_400)
            assertFalse(machine.mayTakeOver(state, 1_400 + 2_249))
        }
    }

    @Nested
    inner class LeaseHolder {
        private val leaseHolder = CoordinatorLeaseState.LeaseHolder(
            5,
            12,
            confirmedAtMillis = 0,
            actsFromMillis = 0
        )

        @Test
        fun `the lease expires after its TTL since the last confirmed renewal`() {
            assertTrue(machine.mayAct(leaseHolder, 1_999))
            assertFalse(machine.mayAct(leaseHolder, 2_000))
        }

        @Test
        fun `a renewal whose reply was lost updates the version and does not extend the lease`() {
            val own = CoordinatorLeaseRecord("self", 5, 13, isReleased = false)
            val state =
                assertIs<CoordinatorLeaseState.LeaseHolder>(
                    machine.conflicted(leaseHolder, own, "self", 900)
                )
            assertEquals(13, state.version)
            assertFalse(machine.mayAct(state, 2_000))
        }

        @Test
        fun `a row written by another holder ends the lease`() {
            val state = machine.conflicted(leaseHolder, other.copy(fence = 6), "self", 900)
            assertFalse(machine.mayAct(state, 900))
        }
    }
}
