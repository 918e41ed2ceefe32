package cactusfold.entry.path

import cactusfold.platform.standin.RunnerBehavior
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Test

class RepeatedRefusalTest {
    // Guards against an earlier refusal, written once more on a kept connection, that is taken for
    // the answer to a request that the upstream executes.
    @Test
    fun `a request that may run once is not executed twice or reported as not executed`() {
        EntryFixture().use { fixture ->
            val desk = fixture.runner("i-1", "desk")
            fixture.start()
            desk.behavior = RunnerBehavior.REPEATS_REFUSALS
            val statuses = List(CALLS) { fixture.caller.call("/book/x").statusCode() }
            assertEquals(setOf(503), statuses.toSet())
            assertEquals(emptyList(), desk.ran.map { it.id })
            desk.behavior = RunnerBehavior.NORMAL
            assertEquals(200, fixture.caller.call("/book/x").statusCode())
            assertTrue(desk.ran.size == 1)
        }
    }

    private companion object {
        const val CALLS = 4
    }
}
