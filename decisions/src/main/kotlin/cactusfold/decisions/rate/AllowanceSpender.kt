package cactusfold.decisions.rate

/**
 * A workspace's tokens at one router.
 *
 * @property allowanceTokens granted by the holder and not yet spent.
 * @property allowanceUntilMillis when the allowance expires, counted from before the request for it.
 * @property reserveFromMillis from when the router may use its fixed share; later than the moment at
 *   which the holder begins to set that share aside.
 */
public data class AllowanceState(
    public val limit: RateLimit,
    public val allowanceTokens: Long = 0,
    public val allowanceUntilMillis: Long = Long.MIN_VALUE,
    public val spentTokens: Long = 0,
    public val returnedTokens: Long = 0,
    public val sequence: Long = 0,
    public val reserveTokens: Double = 0.0,
    public val reserveFromMillis: Long,
    public val reserveAtMillis: Long
)

/** Whether a request's tokens are there. */
public sealed interface Spend {
    /** The tokens are spent. */
    public data object Admitted : Spend

    /** The holder must be asked for [tokens]. */
    public data class Ask(public val tokens: Long) : Spend
}

/** What the router decided. */
public data class SpendStep(public val state: AllowanceState, public val outcome: Spend)

/** Spends a holder's grants, and the fixed share while the holder cannot be reached. */
public class AllowanceSpender(private val settings: ContactSettings) {

    /** Returns the state of a router registered at [registeredAtMillis], without tokens. */
    public fun start(limit: RateLimit, registeredAtMillis: Long): AllowanceState {
        val quiet = maxOf(settings.contactMillis, settings.registryFreshMillis)
        val reserveFrom = registeredAtMillis + quiet + settings.skewMillis
        return AllowanceState(limit, reserveFromMillis = reserveFrom, reserveAtMillis = reserveFrom)
    }

    /**
     * Tries to spend [tokens] at [nowMillis].
     *
     * @param mayUseReserve whether the router's registration is in force: only then does the holder
     *   set its share aside.
     */
    public fun spend(
        state: AllowanceState,
        tokens: Long,
        nowMillis: Long,
        mayUseReserve: Boolean
    ): SpendStep {
        val current = refillReserve(expire(state, nowMillis), nowMillis)
        if (current.allowanceTokens >= tokens) {
            val next = current.copy(
                allowanceTokens = current.allowanceTokens - tokens,
                spentTokens = current.spentTokens + tokens
            )
            return SpendStep(next, Spend.Admitted)
        }
        if (mayUseReserve && current.reserveTokens >= tokens) {
            val next = current.copy(reserveTokens = current.reserveTokens - tokens)
            return SpendStep(next, Spend.Admitted)
        }
        return SpendStep(current, Spend.Ask(tokens - current.allowanceTokens))
    }

    /** Books a grant that answers a request sent at [sentAtMillis]. Contact ends the reserve. */
    public fun granted(
        state: AllowanceState,
        tokens: Long,
        sentAtMillis: Long,
        nowMillis: Long
    ): AllowanceState {
        val current = expire(state, nowMillis)
        val until = sentAtMillis + settings.grantValidMillis
        val usable = if (nowMillis < until) tokens else 0
        val contacted = contacted(current, nowMillis)
        if (usable == 0L) return contacted
        val hasOlder = current.allowanceTokens > 0
        return contacted.copy(
            allowanceTokens = current.allowanceTokens + usable,
            allowanceUntilMillis = if (hasOlder) {
                minOf(current.allowanceUntilMillis, until)
            } else {
                until
            }
        )
    }

    /** Books an answer without a grant. */
    public fun contacted(state: AllowanceState, nowMillis: Long): AllowanceState {
        val reserveFrom = nowMillis + settings.contactMillis + settings.skewMillis
        return state.copy(
            reserveTokens = 0.0,
            reserveFromMillis = reserveFrom,
            reserveAtMillis = reserveFrom
        )
    }

    private fun expire(state: AllowanceState, nowMillis: Long): AllowanceState =
        if (nowMillis < state.allowanceUntilMillis || state.allowanceTokens == 0L) {
            state
        } else {
            state.copy(allowanceTokens = 0)
        }

    private fun refillReserve(state: AllowanceState, nowMillis: Long): AllowanceState {
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
