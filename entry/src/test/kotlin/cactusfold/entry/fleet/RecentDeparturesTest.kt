package cactusfold.entry.fleet

import cactusfold.protocol.entry.Departure
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import org.junit.jupiter.api.Test

class RecentDeparturesTest {
    private val departures = RecentDepartures()

    private fun departure(id: String): Departure = Departure.newBuilder().setUpstream(id).build()

    @Test
    fun `a departure is new once, as long as it is remembered`() {
        assertTrue(departures.add(departure("r1"), nowMillis = 0))
        assertFalse(departures.add(departure("r1"), nowMillis = 50_000))
        assertEquals(listOf(departure("r1")), departures.all(nowMillis = 100_000))
    }

    @Test
    fun `releases without end do not grow the list`() {
        for (second in 0 until 1_000) {
            departures.add(departure("r$second"), nowMillis = second * 1_000L)
            assertTrue(departures.all(second * 1_000L).size <= 61)
        }
    }
}
