package cactusfold.decisions.rate

/**
 * A workspace's tokens at one router.
 *
 * @property unspentTokens granted by the holder and not yet spent.
 * @property grantExpiresAtMillis when the allowance expires, counted from before the request for it.
 * @property reserveFromMillis from when the router may use its fixed share; later than the moment at
 *   which the holder begins to set that share aside.
 */
public data class TokenGrantState(
    public val limit: RateLimit,
    public val unspentTokens: Long = 0,
    public val grantExpiresAtMillis: Long = Long.MIN_VALUE,
    public val spentTokens: Long = 0,
    public val returnedTokens: Long = 0,
    public val sequence: Long = 0,
    public val reserveTokens: Double = 0.0,
    public val reserveFromMillis: Long,
    public val reserveAtMillis: Long
)

/** Whether a request's tokens are there. */
public sealed interface SpendOutcome {
    /** The tokens are spent. */
    public data object Admitted : SpendOutcome

    /** The holder must be asked for [tokens]. */
    public data class GrantNeeded(public val tokens: Long) : SpendOutcome
}

/** What the router decided. */
public data class SpendStep(public val state: TokenGrantState, public val outcome: SpendOutcome)

/** Spends a holder's grants, and the fixed share while the holder cannot be reached. */
public class TokenGrantSpender(private val settings: TokenGrantSettings) {

    /** Returns the state of a router registered at [registeredAtMillis], without tokens. */
    public fun start(limit: RateLimit, registeredAtMillis: Long): TokenGrantState {
        val quiet = maxOf(settings.contactMillis, settings.registryFreshMillis)
        val reserveFrom = registeredAtMillis + quiet + settings.skewMillis
        return TokenGrantState(
            limit,
            reserveFromMillis = reserveFrom,
            reserveAtMillis = reserveFrom
        )
    }

    /**
     * Tries to spend [tokens] at [nowMillis].
     *
     * @param mayUseReserve whether the router's registration is in force: only then does the holder
     *   set its share aside.
     */
    public fun spend(
        state: TokenGrantState,
        tokens: Long,
        nowMillis: Long,
        mayUseReserve: Boolean
    ): SpendStep {
        val current = refillReserve(expire(state, nowMillis), nowMillis)
        if (current.unspentTokens >= tokens) {
            val next = current.copy(
                unspentTokens = current.unspentTokens - tokens,
                spentTokens = current.spentTokens + tokens
            )
            return SpendStep(next, SpendOutcome.Admitted)
        }
        if (mayUseReserve && current.reserveTokens >= tokens) {
            val next = current.copy(reserveTokens = current.reserveTokens - tokens)
            return SpendStep(next, SpendOutcome.Admitted)
        }
        return SpendStep(current, SpendOutcome.GrantNeeded(tokens - current.unspentTokens))
    }

    /** Books a grant that answers a request sent at [sentAtMillis]. Contact ends the reserve. */
    public fun granted(
        state: TokenGrantState,
        tokens: Long,
        sentAtMillis: Long,
        nowMillis: Long
    ): TokenGrantState {
        val current = expire(state, nowMillis)
        val until = sentAtMillis + settings.grantValidMillis
        val usable = if (nowMillis < until) tokens else 0
        val contacted = contacted(current, nowMillis)
        if (usable == 0L) return contacted
        val hasOlder = current.unspentTokens > 0
        return contacted.copy(
            unspentTokens = current.unspentTokens + usable,
            grantExpiresAtMillis = if (hasOlder) {
                minOf(current.grantExpiresAtMillis, until)
            } else {
                until
            }
        )
    }

    /** Books an answer without a grant. */
    public fun contacted(state: TokenGrantState, nowMillis: Long): TokenGrantState {
        val reserveFrom = nowMillis + settings.contactMillis + settings.skewMillis
        return state.copy(
            reserveTokens = 0.0,
            reserveFromMillis = reserveFrom,
            reserveAtMillis = reserveFrom
        )
    }

    private fun expire(state: TokenGrantState, nowMillis: Long): TokenGrantState =
        if (nowMillis < state.grantExpiresAtMillis || state.unspentTokens == 0L) {
            state
        } else {
            state.copy(unspentTokens = 0)
        }

    private fun refillReserve(state: TokenGrantState, nowMillis: Long): TokenGrantState {
        if (nowMillis <= state.reserveAtMillis) return state
        val share = 1.0 / settings.routerSlots
        val seconds = (nowMillis - state.reserveAtMillis) / MILLIS_PER_SECOND
        val gained = seconds * state.limit.rateTokensPerSecond * share
        val level = (state.reserveTokens + gained).coerceAtMost(state.limit.burstTokens * share)
        return state.copy(reserveTokens = level, reserveAtMillis = nowMillis)
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
