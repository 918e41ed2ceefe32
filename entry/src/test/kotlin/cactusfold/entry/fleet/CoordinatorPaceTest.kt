package cactusfold.entry.fleet

import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Test

class CoordinatorPaceTest {
    @Test
    fun `notices a second do not grow with the fleet, and each arrives within 100 ms`() {
        for (members in listOf(15, 95, 142, 430)) {
            val pauseMillis = CoordinatorPace.noticeMillis(members)
            assertTrue(pauseMillis <= 100)
            assertTrue(members <= 100 * pauseMillis, "$members members")
        }
        assertEquals(5, CoordinatorPace.noticeMillis(1))
    }

    @Test
    fun `a coordinator that runs behind sends fewer notices, in time for its members`() {
        assertEquals(15, CoordinatorPace.noticeMillis(members = 15, lagMillis = 0.0))
        assertEquals(215, CoordinatorPace.noticeMillis(members = 15, lagMillis = 50.0))
        assertEquals(400, CoordinatorPace.noticeMillis(members = 142, lagMillis = 900.0))
    }

    @Test
    fun `a VM with a core of its own takes a free lease before one with a share`() {
        assertEquals(0, CoordinatorPace.takeoverDelayMillis(cores = 1.5))
        assertEquals(250, CoordinatorPace.takeoverDelayMillis(cores = 0.5))
        assertTrue(CoordinatorPace.takeoverDelayMillis(0.12) > 400)
    }

    @Test
    fun `planning takes up to a fifth of the time`() {
        for (tookMillis in listOf(0L, 3L, 20L, 100L)) {
            val pauseMillis = CoordinatorPace.planPauseMillis(tookMillis)
            assertTrue(tookMillis * 5 <= tookMillis + pauseMillis, "$tookMillis ms")
        }
    }
}
