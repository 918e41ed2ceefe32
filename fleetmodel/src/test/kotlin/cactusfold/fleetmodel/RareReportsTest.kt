package cactusfold.fleetmodel

import kotlin.test.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/**
 * Guards against reports for rare models that are refused or late under three times their number,
 * on stores that sustain two, three and four loads, and with a new coordinator in the middle.
 */
class RareReportsTest {
    private fun worth(pattern: String, policy: Policy): Double = SEEDS.map { seed ->
        val found = checkNotNull(Patterns.find(pattern))
        val reports = Simulation(found.fleet, found, policy, seed).run().of("reports")
        (reports.inTarget + reports.late * LATE_WORTH) / reports.requests
    }.average()

    @ParameterizedTest
    @ValueSource(
        strings = [
            "reports-at-once",
            "reports-at-once-3",
            "reports-at-once-4",
            "reports-new-coordinator"
        ]
    )
    fun `reports are worth more than without priorities`(pattern: String) {
        val product = worth(pattern, Policy.PRODUCT)
        val before = worth(pattern, Policy.EQUAL_PRIORITIES)
        assertTrue(product >= before, "$product against $before")
    }

    private companion object {
        /** With three seeds, chance outweighs the difference of about 0.04. */
        val SEEDS = 1L..20L

        /** A late report is worth about a fifth of one in time. */
        const val LATE_WORTH = 0.2
    }
}
