package cactusfold.decisions.rate

/**
 * The tokens of one rate limit at one router.
 *
 * The reserve is the router's fixed share of the rate, which it may spend while it cannot reach the
 * holder of the bucket.
 *
 * @property unspentTokens tokens that the holder has granted and that are not spent yet.
 * @property grantExpiresAtMillis when the grants expire, counted from before the request for them.
 * @property spentTokens granted tokens spent so far; cumulative, reported to the holder.
 * @property returnedTokens granted tokens returned so far; cumulative, reported to the holder.
 * @property sequence number of the last request for tokens.
 * @property reserveFromMillis from when the router may use its reserve. This is later than the time
 *   at which the holder begins to set the reserve aside.
 * @property reserveAtMillis when the reserve was last refilled.
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

/** Whether the tokens of a request could be spent locally. */
public sealed interface SpendOutcome {
    /** The tokens are spent. */
    public data object Admitted : SpendOutcome

    /** The router has to request [tokens] more from the holder. */
    public data class GrantNeeded(public val tokens: Long) : SpendOutcome
}

/** The outcome of an attempt to spend tokens, with the state that follows. */
public data class SpendStep(public val state: TokenGrantState, public val outcome: SpendOutcome)

/**
 * Spends the tokens granted by the holder, and the reserve while the holder is unreachable.
 *
 * @property position of the router among all routers, from zero; null if it is not known, and then
 *   the router has no turn.
 */
public class TokenGrantSpender(
    private val settings: TokenGrantSettings,
    private val position: Int? = null
) {

    /** Returns the initial state of a router registered at [registeredAtMillis]: no tokens. */
    public fun start(limit: RateLimit, registeredAtMillis: Long): TokenGrantState {
        val unreservedMillis = maxOf(settings.contactMillis, settings.registryFreshMillis)
        val reserveFrom = registeredAtMillis + unreservedMillis + settings.skewMillis
        return TokenGrantState(
            limit,
            reserveFromMillis = reserveFrom,
            reserveAtMillis = reserveFrom
        )
    }

    /**
     * Tries to spend [tokens] at [nowMillis].
     *
     * @param mayUseReserve whether the router is currently registered; the holder sets reserves
     *   aside for registered routers only.
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

    /**
     * Adds the [tokens] granted in reply to a request sent at [sentAtMillis]. The contact with the
     * holder ends the use of the reserve.
     */
    public fun granted(
        state: TokenGrantState,
        tokens: Long,
        sentAtMillis: Long,
        nowMillis: Long
    ): TokenGrantState = kept(contacted(state, nowMillis), tokens, sentAtMillis, nowMillis)

    /**
     * Adds [tokens] that were spent and then not used; they were granted in reply to a request sent
     * at [sentAtMillis], or taken from the reserve then.
     */
    public fun kept(
        state: TokenGrantState,
        tokens: Long,
        sentAtMillis: Long,
        nowMillis: Long
    ): TokenGrantState {
        val current = expire(state, nowMillis)
        val until = sentAtMillis + settings.grantValidMillis
        if (nowMillis >= until || tokens == 0L) return current
        val hasEarlierGrant = current.unspentTokens > 0
        return current.copy(
            unspentTokens = current.unspentTokens + tokens,
            grantExpiresAtMillis = if (hasEarlierGrant) {
                minOf(current.grantExpiresAtMillis, until)
            } else {
                until
            }
        )
    }

    /** Records contact with the holder, which ends the use of the reserve. */
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
        if (state.limit.burstTokens * share < state.limit.unitTokens) {
            return refillInTurn(state, nowMillis)
        }
        val seconds = (nowMillis - state.reserveAtMillis) / MILLIS_PER_SECOND
        val gained = seconds * state.limit.rateTokensPerSecond * state.limit.reserveShare * share
        val level = (state.reserveTokens + gained).coerceAtMost(state.limit.burstTokens * share)
        return state.copy(reserveTokens = level, reserveAtMillis = nowMillis)
    }

    /**
     * Refills a reserve that is less than the tokens of one spend: the routers take turns, and each
     * may spend these tokens once in its turn. Routers that lost the holder at the same time have
     * the same turns, so together they keep the rate.
     */
    private fun refillInTurn(state: TokenGrantState, nowMillis: Long): TokenGrantState {
        val turnsPerSecond =
            state.limit.rateTokensPerSecond * state.limit.reserveShare / state.limit.unitTokens
        val turnMillis = MILLIS_PER_SECOND / turnsPerSecond
        val turn = ((nowMillis - state.reserveFromMillis) / turnMillis).toLong()
        val isOwn = (turn % settings.routerSlots).toInt() == position
        val beganAtMillis = state.reserveFromMillis + turn * turnMillis
        return when {
            !isOwn -> state.copy(reserveTokens = 0.0)
            state.reserveAtMillis > beganAtMillis -> state
            else -> state.copy(
                reserveTokens = state.limit.unitTokens,
                // Later than the beginning of the turn, so that a turn is used once.
                reserveAtMillis = maxOf(nowMillis, beganAtMillis.toLong() + 1)
            )
        }
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
