package cactusfold.decisions.residency

import kotlin.test.assertEquals
import org.junit.jupiter.api.Test

class ModelRefusalsTest {
    private val refusals = ModelRefusals()

    @Test
    fun `refusals within the report retention time count once`() {
        listOf(1_000L, 1_050, 1_599, 1_600).forEach { refusals.refused("m", it) }
        assertEquals(2, refusals.count("m"))
    }

    @Test
    fun `a load resets the count`() {
        refusals.refused("m", 1_000)
        refusals.loading("m")
        assertEquals(0, refusals.count("m"))
        refusals.refused("m", 1_010)
        assertEquals(1, refusals.count("m"))
    }
}
