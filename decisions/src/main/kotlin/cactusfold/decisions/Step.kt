package cactusfold.decisions

/**
 * The result of one event in a state machine: the next state and the effects to perform.
 *
 * State machines are pure functions `(state, event, nowMillis) -> Step`. They perform no I/O, read
 * no clock and draw no random numbers, so the same code runs in production, in a replay and in a
 * randomized test.
 */
public data class Step<out S, out F>(public val state: S, public val effects: List<F>)

/** Returns a step to this state without effects. */
public fun <S> S.unchanged(): Step<S, Nothing> = Step(this, emptyList())

/** Returns a step to this state with [effects]. */
public fun <S, F> S.with(vararg effects: F): Step<S, F> = Step(this, effects.asList())
