package cactusfold.decisions

/**
 * The outcome of one event in a decision: the state that follows and the effects to carry out.
 *
 * Decisions are pure functions `(state, event, nowMillis) -> Step`. They open no socket, read no
 * clock and draw no random number, so the same code runs in production, in a replay and in a
 * randomised run.
 */
public data class Step<out S, out F>(public val state: S, public val effects: List<F>)

/** Returns a step without effects. */
public fun <S> S.unchanged(): Step<S, Nothing> = Step(this, emptyList())

/** Returns a step with [effects]. */
public fun <S, F> S.with(vararg effects: F): Step<S, F> = Step(this, effects.asList())
