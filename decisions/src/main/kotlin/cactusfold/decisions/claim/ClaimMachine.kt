package cactusfold.decisions.claim

import cactusfold.decisions.Step
import cactusfold.decisions.invariant
import cactusfold.decisions.unchanged
import cactusfold.decisions.with

/** The progress of a non-repeatable request at the router that serves it. */
public sealed interface ClaimState {
    /** Nothing has been sent. */
    public data object New : ClaimState

    /**
     * The claim row is being inserted. [attempts] counts how often the row was read back because
     * the outcome of the insert was unknown.
     */
    public data class Claiming(public val attempts: Int) : ClaimState

    /** The row belongs to this request, which is sent to the upstream once. */
    public data object Dispatched : ClaimState

    /** The request has ended. */
    public data class Ended(public val end: ClaimEnd) : ClaimState
}

/** How a non-repeatable request ended for its caller. */
public enum class ClaimEnd {
    /** The caller got the complete response of the upstream. */
    ANSWERED,

    /** The caller was referred to an earlier request: it gets that response or waits for it. */
    JOINED,

    /** Refused; the request was certainly not executed. */
    NOT_RUN,

    /** Refused; whether the request was executed is unknown. */
    MAY_HAVE_RUN
}

/** The claim row of another request with the same idempotency key. */
public sealed interface ExistingClaim {
    /** The owner was processing its request when it last wrote the row. */
    public data object Pending : ExistingClaim

    /** The response to the owner's request is stored. */
    public data object Finished : ExistingClaim

    /** The owner does not know whether its request was executed. */
    public data object InDoubt : ExistingClaim
}

/** An input of [ClaimMachine]. */
public sealed interface ClaimEvent {
    /** The request was admitted. */
    public data object Begin : ClaimEvent

    /** The insert took effect. */
    public data object Inserted : ClaimEvent

    /** A row with the same key already existed. */
    public data class Exists(public val claim: ExistingClaim) : ClaimEvent

    /** The outcome of the insert is unknown because its reply was lost or late. */
    public data object Unknown : ClaimEvent

    /**
     * The row was read back and is absent or has another operation ID, and the insert can no longer
     * take effect.
     */
    public data object Absent : ClaimEvent

    /** The store is unreachable. */
    public data object StoreDown : ClaimEvent

    /** The complete response of the upstream was received. */
    public data object Answered : ClaimEvent

    /** The upstream was never reached. */
    public data object NotSent : ClaimEvent

    /** The connection broke or the request timed out after part of it was sent. */
    public data object InDoubt : ClaimEvent
}

/** An action that [ClaimMachine] asks its caller to perform. */
public sealed interface ClaimEffect {
    /** Inserts the claim row if absent. */
    public data object Insert : ClaimEffect

    /** Reads the claim row back and compares its operation ID with that of this request. */
    public data object ReadBack : ClaimEffect

    /** Sends the request to the upstream; requested at most once per claim. */
    public data object Dispatch : ClaimEffect

    /** Stores the response in the claim row and returns it to the caller. */
    public data object StoreAnswer : ClaimEffect

    /** Marks the claim row as in doubt. */
    public data object StoreDoubt : ClaimEffect

    /** Deletes the claim row of this request, which was certainly not executed. */
    public data object Free : ClaimEffect

    /** Returns the stored response of the owner, or waits for it. */
    public data class Join(public val claim: ExistingClaim) : ClaimEffect

    /** Refuses the request as [end]. */
    public data class Refuse(public val end: ClaimEnd) : ClaimEffect
}

/** Decides how a router processes a request that may be executed at most once. */
public object ClaimMachine {
    private const val MAX_READ_BACKS = 3

    /** Returns the step for [event]. */
    public fun step(state: ClaimState, event: ClaimEvent): Step<ClaimState, ClaimEffect> =
        when (state) {
            ClaimState.New -> begin(event)
            is ClaimState.Claiming -> claiming(state, event)
            ClaimState.Dispatched -> dispatched(event)
            is ClaimState.Ended -> ended(state, event)
        }

    private fun begin(event: ClaimEvent): Step<ClaimState, ClaimEffect> {
        invariant(event == ClaimEvent.Begin) {
            "the first event of a claim must be Begin, but was $event"
        }
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

    private fun refuse(end: ClaimEnd, cleanup: ClaimEffect): Step<ClaimState, ClaimEffect> =
        ClaimState.Ended(end).with(cleanup, ClaimEffect.Refuse(end))
}
