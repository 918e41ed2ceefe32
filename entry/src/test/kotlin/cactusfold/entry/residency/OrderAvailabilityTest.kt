package cactusfold.entry.residency

import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import org.junit.jupiter.api.Test

class OrderAvailabilityTest {
    private val availability = OrderAvailability()

    // Guards against a second conflict: a report may be 800 ms old, with the count of before.
    @Test
    fun `a runner that is out of step is read again after the lag of reports, and serves on`() {
        availability.failed(1_000, OrderResult.OUT_OF_SYNC)
        availability.unsynced(1_000)
        assertFalse(availability.maySync(1_799))
        assertTrue(availability.maySync(1_800))
        assertFalse(availability.isSilent(1_000))
        assertEquals(2_000, availability.freeAtMillis(1_000))
    }

    // Guards against models that wait for ever for a holder of a copy that refuses each order.
    @Test
    fun `the back-off doubles with each refusal in a row`() {
        repeat(2) { availability.failed(1_000, OrderResult.NOT_ACCEPTED) }
        assertTrue(availability.isBackingOff(2_999))
        assertFalse(availability.isBackingOff(3_000))
        availability.completed()
        availability.failed(5_000, OrderResult.NOT_ACCEPTED)
        assertFalse(availability.isBackingOff(6_000))
    }

    @Test
    fun `a runner that stays unread is not expected to be free soon`() {
        availability.unsynced(1_000)
        assertEquals(0, availability.freeAtMillis(3_501))
    }

    // Guards against requests for a runner that stopped answering while it loaded.
    @Test
    fun `a runner that failed after it had accepted the order counts as silent`() {
        availability.failed(1_000, OrderResult.ACCEPTED)
        assertTrue(availability.isSilent(1_999))
        assertFalse(availability.isSilent(2_000))
    }
}
