package cactusfold.decisions.holding

import kotlin.test.assertFalse
import kotlin.test.assertTrue
import org.junit.jupiter.api.Test

class StoreTroubleTest {
    private val trouble = StoreTrouble()

    @Test
    fun `a store that refuses for half a second is out of reach`() {
        listOf(1_000L, 1_100, 1_200, 1_300).forEach(trouble::failed)
        assertFalse(trouble.isLasting(1_499))
        assertTrue(trouble.isLasting(1_500))
    }

    @Test
    fun `two lost answers are no outage however long they took`() {
        listOf(1_000L, 2_000).forEach(trouble::failed)
        assertFalse(trouble.isLasting(9_000))
    }

    @Test
    fun `an answer ends it`() {
        listOf(1_000L, 1_100, 1_200).forEach(trouble::failed)
        trouble.reached()
        trouble.failed(1_400)
        assertFalse(trouble.isLasting(2_000))
    }
}
