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
    fun `planning takes up to a fifth of the time`() {
        for (tookMillis in listOf(0L, 3L, 20L, 100L)) {
            val pauseMillis = CoordinatorPace.planPauseMillis(tookMillis)
            assertTrue(tookMillis * 5 <= tookMillis + pauseMillis, "$tookMillis ms")
        }
    }
}
