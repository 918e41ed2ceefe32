package cactusfold.decisions.claim

import cactusfold.decisions.BrokenInvariant
import cactusfold.seeds.Seeds
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue

class ClaimMachineTest {
    private fun run(vararg events: ClaimEvent): Pair<ClaimState, List<ClaimEffect>> {
        var state: ClaimState = ClaimState.New
        val effects = events.flatMap { event ->
            ClaimMachine.step(state, event).also { state = it.state }.effects
        }
        return state to effects
    }

    @Test
    fun `a request is not dispatched unless its claim row was inserted`() {
        for (event in listOf(ClaimEvent.StoreDown, ClaimEvent.Exists(ExistingClaim.Pending))) {
            val (_, effects) = run(ClaimEvent.Begin, event)
            assertTrue(ClaimEffect.Dispatch !in effects, "$event")
        }
    }

    @Test
    fun `an insert with a lost reply is resolved by reading the row back`() {
        val (state, effects) = run(ClaimEvent.Begin, ClaimEvent.Unknown, ClaimEvent.Inserted)
        assertEquals(ClaimState.Dispatched, state)
        assertEquals(
            listOf(ClaimEffect.Insert, ClaimEffect.ReadBack, ClaimEffect.Dispatch),
            effects
        )
    }

    @Test
    fun `a request that may have been executed is not dispatched again`() {
        val (state, effects) =
            run(ClaimEvent.Begin, ClaimEvent.Inserted, ClaimEvent.InDoubt, ClaimEvent.Inserted)
        assertEquals(ClaimState.Ended(ClaimEnd.MAY_HAVE_RUN), state)
        assertEquals(1, effects.count { it == ClaimEffect.Dispatch })
    }

    @Test
    fun `a row inserted after the request was refused is deleted`() {
        val (_, effects) = run(ClaimEvent.Begin, ClaimEvent.StoreDown, ClaimEvent.Inserted)
        assertEquals(ClaimEffect.Free, effects.last())
        assertTrue(ClaimEffect.Dispatch !in effects)
    }

    @Test
    fun `a first event other than Begin breaks an invariant`() {
        assertFailsWith<BrokenInvariant> { run(ClaimEvent.Answered) }
    }

    @Test
    fun `events in any order cause at most one dispatch and at most one refusal`() =
        Seeds.each { random ->
            val events = listOf(
                ClaimEvent.Inserted,
                ClaimEvent.Exists(ExistingClaim.Finished),
                ClaimEvent.Unknown,
                ClaimEvent.Absent,
                ClaimEvent.StoreDown,
                ClaimEvent.Answered,
                ClaimEvent.NotSent,
                ClaimEvent.InDoubt
            )
            repeat(200) {
                val sequence = List(12) { events.random(random) }
                val (_, effects) = run(ClaimEvent.Begin, *sequence.toTypedArray())
                assertTrue(effects.count { it == ClaimEffect.Dispatch } <= 1, "$sequence")
                assertTrue(effects.count { it is ClaimEffect.Refuse } <= 1, "$sequence")
                val isRefusedAsNotRun = ClaimEffect.Refuse(ClaimEnd.NOT_RUN) in effects
                val wasSent = ClaimEffect.Dispatch in effects && ClaimEvent.NotSent !in sequence
                assertTrue(!(isRefusedAsNotRun && wasSent), "sent but refused: $sequence")
            }
        }
}
