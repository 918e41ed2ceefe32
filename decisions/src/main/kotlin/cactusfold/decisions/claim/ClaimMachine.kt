package cactusfold.decisions.claim

import cactusfold.decisions.Step
import cactusfold.decisions.invariant
import cactusfold.decisions.unchanged
import cactusfold.decisions.with

/** How far a request that may not be repeated has come at the router that serves it. */
public sealed interface ClaimState {
    /** Nothing has been sent. */
    public data object New : ClaimState

    /** The claim row is being inserted. [attempts] counts read-backs of an unknown outcome. */
    public data class Claiming(public val attempts: Int) : ClaimState

    /** The row is ours and the request goes to the upstream, once. */
    public data object Dispatched : ClaimState

    /** The request has its end. */
    public data class Ended(public val end: ClaimEnd) : ClaimState
}

/** The end of a non-repeatable request, as its caller sees it. */
public enum class ClaimEnd {
    /** The upstream's whole answer. */
    ANSWERED,

    /** An earlier request's answer, or the wait for it. */
    JOINED,

    /** Refused; the request was surely not run. */
    NOT_RUN,

    /** The request may have run; nobody knows. */
    MAY_HAVE_RUN
}

/** The row that another request left under the same idempotency key. */
public sealed interface ExistingClaim {
    /** The owner is at work, or was when it last wrote. */
    public data object Pending : ExistingClaim

    /** The owner's answer is stored. */
    public data object Finished : ExistingClaim

    /** The owner does not know whether its request ran. */
    public data object InDoubt : ExistingClaim
}

/** What happens to a claim. */
public sealed interface ClaimEvent {
    /** The request was admitted. */
    public data object Begin : ClaimEvent

    /** The insert took effect. */
    public data object Inserted : ClaimEvent

    /** A row was there before. */
    public data class Exists(public val claim: ExistingClaim) : ClaimEvent

    /** The insert's outcome is unknown: its reply was lost or late. */
    public data object Unknown : ClaimEvent

    /** Reading back found no row with our operation id, and the insert can no longer take effect. */
    public data object Absent : ClaimEvent

    /** The store cannot be reached. */
    public data object StoreDown : ClaimEvent

    /** The upstream's whole answer is here. */
    public data object Answered : ClaimEvent

    /** The upstream was never reached. */
    public data object NotSent : ClaimEvent

    /** The connection broke, or time ran out, after something was sent. */
    public data object InDoubt : ClaimEvent
}

/** What a claim asks its surroundings to do. */
public sealed interface ClaimEffect {
    /** Insert the claim row if absent. */
    public data object Insert : ClaimEffect

    /** Read the row and compare its operation id with ours. */
    public data object ReadBack : ClaimEffect

    /** Send the request to the upstream. Happens at most once for each claim. */
    public data object Dispatch : ClaimEffect

    /** Store the answer in the claim row and give it to the caller. */
    public data object StoreAnswer : ClaimEffect

    /** Mark the claim row as in doubt. */
    public data object StoreDoubt : ClaimEffect

    /** Delete our claim row: the request was surely not run. */
    public data object Free : ClaimEffect

    /** Wait for the owner's answer, or give the stored one. */
    public data class Join(public val claim: ExistingClaim) : ClaimEffect

    /** Refuse the request as [end]. */
    public data class Refuse(public val end: ClaimEnd) : ClaimEffect
}

/** Decides what a router does with a request that may run at most once. */
public object ClaimMachine {
    private const val MAX_READ_BACKS = 3

    /** Returns what follows from [event]. */
    public fun step(state: ClaimState, event: ClaimEvent): Step<ClaimState, ClaimEffect> =
        when (state) {
            ClaimState.New -> begin(event)
            is ClaimState.Claiming -> claiming(state, event)
            ClaimState.Dispatched -> dispatched(event)
            is ClaimState.Ended -> ended(state, event)
        }

    private fun begin(event: ClaimEvent): Step<ClaimState, ClaimEffect> {
        invariant(event == ClaimEvent.Begin) { "a claim begins with Begin, not $event" }
        return (ClaimState.Claiming(0) as ClaimState).with(ClaimEffect.Insert)
    }

    private fun claiming(
        state: ClaimState.Claiming,
        event: ClaimEvent
    ): Step<ClaimState, ClaimEffect> = when (event) {
        ClaimEvent.Inserted -> ClaimState.Dispatched.with(ClaimEffect.Dispatch)
        is ClaimEvent.Exists -> end(ClaimEnd.JOINED, ClaimEffect.Join(event.claim))
        ClaimEvent.Unknown -> readBack(state)
        ClaimEvent.Absent, ClaimEvent.StoreDown -> refuse(ClaimEnd.NOT_RUN, ClaimEffect.Free)
        else -> state.unchanged()
    }

    private fun readBack(state: ClaimState.Claiming): Step<ClaimState, ClaimEffect> =
        if (state.attempts >= MAX_READ_BACKS) {
            refuse(ClaimEnd.NOT_RUN, ClaimEffect.Free)
        } else {
            ClaimState.Claiming(state.attempts + 1).with(ClaimEffect.ReadBack)
        }

    private fun dispatched(event: ClaimEvent): Step<ClaimState, ClaimEffect> = when (event) {
        ClaimEvent.Answered -> end(ClaimEnd.ANSWERED, ClaimEffect.StoreAnswer)
        ClaimEvent.NotSent -> refuse(ClaimEnd.NOT_RUN, ClaimEffect.Free)
        ClaimEvent.InDoubt -> refuse(ClaimEnd.MAY_HAVE_RUN, ClaimEffect.StoreDoubt)
        else -> ClaimState.Dispatched.unchanged()
    }

    private fun ended(state: ClaimState.Ended, event: ClaimEvent): Step<ClaimState, ClaimEffect> =
        when (event) {
            ClaimEvent.Inserted -> if (state.end == ClaimEnd.NOT_RUN) {
                state.with(ClaimEffect.Free)
            } else {
                state.unchanged()
            }
            else -> state.unchanged()
        }

    private fun end(end: ClaimEnd, effect: ClaimEffect): Step<ClaimState, ClaimEffect> =
        ClaimState.Ended(end).with(effect)

    private fun refuse(end: ClaimEnd, clean: ClaimEffect): Step<ClaimState, ClaimEffect> =
        ClaimState.Ended(end).with(clean, ClaimEffect.Refuse(end))
}
