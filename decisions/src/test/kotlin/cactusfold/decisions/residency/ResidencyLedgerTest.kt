package cactusfold.decisions.residency

import kotlin.test.assertEquals
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

class ResidencyLedgerTest {
    private val none = persistentSetOf<String>()

    @Nested
    inner class Orders {
        @Test
        fun `a load is recorded before its order is sent`() {
            val ledger = ResidencyLedger().loading("a", 100).loadingAdapter("a", "x", 110)
            assertEquals(setOf("x"), ledger.adaptersByModel.getValue("a"))
        }

        @Test
        fun `unloaded models and adapters are removed`() {
            val ledger = ResidencyLedger().loading("a", 100).loadingAdapter("a", "x", 100)
            assertEquals(none, ledger.unloadedAdapter("a", "x", 200).adaptersByModel["a"])
            assertEquals(emptySet(), ledger.unloaded("a", 200).adaptersByModel.keys)
        }
    }

    @Nested
    inner class Reports {
        private val ledger = ResidencyLedger().loading("a", 1_000)

        @Test
        fun `a report that may predate the last order only adds`() {
            val after = ledger.said(persistentMapOf("b" to none), earliestReportMillis = 900)
            assertEquals(setOf("a", "b"), after.adaptersByModel.keys)
        }

        @Test
        fun `a report newer than the last order replaces the recorded state`() {
            val after = ledger.said(persistentMapOf("b" to none), earliestReportMillis = 1_001)
            assertEquals(setOf("b"), after.adaptersByModel.keys)
        }
    }
}
