package cactusfold.decisions.suspect

import kotlin.test.Test
import kotlin.test.assertEquals

class SuspectTrackerTest {
    private val tracker = SuspectTracker(retentionMillis = 1_000, maxSuspects = 3)

    @Test
    fun `a request with two crashes, one of them alone, is refused`() {
        val first = tracker.crashed(SuspectState(), "f", inFlight = 8, nowMillis = 0)
        assertEquals(SuspectVerdict.RUN_ALONE, tracker.judge(first, "f", 1))
        val second = tracker.crashed(first, "f", inFlight = 1, nowMillis = 1)
        assertEquals(SuspectVerdict.REFUSE, tracker.judge(second, "f", 2))
    }

    @Test
    fun `a request that shared both crashes with others is still served alone`() {
        var state = tracker.crashed(SuspectState(), "bystander", 8, 0)
        state = tracker.crashed(state, "bystander", 8, 1)
        assertEquals(SuspectVerdict.RUN_ALONE, tracker.judge(state, "bystander", 2))
        assertEquals(
            SuspectVerdict.CLEAR,
            tracker.judge(tracker.finished(state, "bystander"), "bystander", 3)
        )
    }

    @Test
    fun `suspects expire and their number is bounded`() {
        val state = (1..10).fold(SuspectState()) { s, i ->
            tracker.crashed(s, "f$i", 1, i.toLong())
        }
        assertEquals(3, state.suspects.size)
        assertEquals(SuspectVerdict.CLEAR, tracker.judge(state, "f10", 2_000))
    }
}
