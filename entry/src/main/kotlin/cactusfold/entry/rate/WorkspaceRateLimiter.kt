package cactusfold.entry.rate

import cactusfold.decisions.rate.RateLimit
import cactusfold.decisions.rate.SpendOutcome
import cactusfold.decisions.rate.TokenGrantSpender
import cactusfold.decisions.rate.TokenGrantState
import cactusfold.node.time.MonotonicClock
import cactusfold.ports.serving.ServingWorkspace
import cactusfold.protocol.TokenGrant
import cactusfold.protocol.TokenRequest
import kotlinx.coroutines.delay

/** Whether a request is within its workspace's rate. */
public sealed interface RateDecision {
    /** The tokens were taken. */
    public data object Admitted : RateDecision

    /** The rate is exceeded; tokens will be available after [retryAfterMillis]. */
    public data class OverRate(public val retryAfterMillis: Long) : RateDecision

    /** The coordinator could not be reached in time, and the local reserve was insufficient. */
    public data object Unknown : RateDecision
}

/**
 * Applies the workspaces' rates at this process.
 *
 * Tokens are requested from the coordinator for each request. While it cannot be reached, the
 * process spends a reserve: its fixed share of each workspace's rate, which the coordinator sets
 * aside.
 */
public class WorkspaceRateLimiter(
    private val member: String,
    private val incarnation: String,
    private val clock: MonotonicClock,
    private val memberCount: () -> Int?,
    private val ask: suspend (TokenRequest) -> TokenGrant?
) {
    private val states = HashMap<String, TokenGrantState>()
    private var reservesFromMillis = clock.nowMillis() + REGISTRATION_DELAY_MILLIS

    /** [REGISTRATION_DELAY_MILLIS] takes the place of the wait for a fresh registry. */
    private var settings = sharedGrantSettings.copy(registryFreshMillis = 0)
    private var spender = TokenGrantSpender(settings)

    private var isRegistered = false

    /**
     * Records that this process is registered, so that the coordinator sets a reserve aside for it:
     * at once if its VM [wasRegistered] before, else once the members have been read again.
     */
    public fun registered(wasRegistered: Boolean) {
        isRegistered = true
        val nowMillis = clock.nowMillis()
        reservesFromMillis = if (wasRegistered) nowMillis else nowMillis + REGISTRATION_DELAY_MILLIS
        states.clear()
    }

    /** Records contact with the coordinator, which suspends the use of the reserves. */
    public fun heard() {
        val nowMillis = clock.nowMillis()
        states.replaceAll { _, state -> spender.contacted(state, nowMillis) }
    }

    /**
     * Takes [tokens] from the rate of [workspace], waiting for them until [untilMillis]. While no
     * coordinator decides, for instance between two of them, it waits until [undecidedUntilMillis].
     */
    public suspend fun admit(
        workspace: ServingWorkspace,
        tokens: Long,
        untilMillis: Long,
        undecidedUntilMillis: Long = untilMillis
    ): RateDecision {
        val rate = workspace.ratePerSecond ?: return RateDecision.Admitted
        val limit = RateLimit(rate, workspace.burst)
        var refusal: RateDecision = RateDecision.Unknown
        do {
            if (trySpend(workspace.name, limit, tokens)) return RateDecision.Admitted
            val grant = ask(requestOf(workspace.name, tokens))
            when (grant?.outcome) {
                TokenGrant.Outcome.GRANTED -> {
                    recordContact(workspace.name)
                    return RateDecision.Admitted
                }
                TokenGrant.Outcome.WAIT -> {
                    recordContact(workspace.name)
                    if (clock.nowMillis() + grant.retryAfterMillis > untilMillis) {
                        return RateDecision.OverRate(grant.retryAfterMillis)
                    }
                    refusal = RateDecision.OverRate(grant.retryAfterMillis)
                    delay(grant.retryAfterMillis.coerceIn(MIN_WAIT_MILLIS, MAX_WAIT_MILLIS))
                }
                else -> delay(RETRY_MILLIS)
            }
            val limitMillis =
                if (refusal == RateDecision.Unknown) undecidedUntilMillis else untilMillis
        } while (clock.nowMillis() < limitMillis)
        return if (trySpend(workspace.name, limit, tokens)) RateDecision.Admitted else refusal
    }

    /** Spends [tokens] of this process's reserve; returns false if it has too few. */
    private fun trySpend(workspace: String, limit: RateLimit, tokens: Long): Boolean {
        val mayUseReserve = isRegistered && sizeReserve()
        val before =
            states[workspace]?.let { if (it.limit == limit) it else it.copy(limit = limit) }
                ?: spender.start(limit, reservesFromMillis)
        val step = spender.spend(before, tokens, clock.nowMillis(), mayUseReserve)
        states[workspace] = step.state
        return when (step.outcome) {
            SpendOutcome.Admitted -> true
            is SpendOutcome.GrantNeeded -> false
        }
    }

    /** Sizes the reserve by the number of entry processes; returns whether it is known. */
    private fun sizeReserve(): Boolean {
        val slots = memberCount()?.coerceAtLeast(MIN_ROUTER_SLOTS) ?: return false
        if (slots == settings.routerSlots) return true
        settings = settings.copy(routerSlots = slots)
        spender = TokenGrantSpender(settings)
        return true
    }

    private fun requestOf(workspace: String, tokens: Long): TokenRequest = TokenRequest.newBuilder()
        .setWorkspace(workspace)
        .setRouter(member)
        .setRouterIncarnation(incarnation)
        .setNeededTokens(tokens)
        .build()

    private fun recordContact(workspace: String) {
        val state = states[workspace] ?: return
        states[workspace] = spender.contacted(state, clock.nowMillis())
    }

    private companion object {
        /** Minimum number of shares of a rate; the same as in [FleetTokenBuckets]. */
        const val MIN_ROUTER_SLOTS = 4

        /**
         * Time after the registration of this process by which every coordinator's list of members
         * includes it.
         */
        const val REGISTRATION_DELAY_MILLIS = 8_000L

        /** Pause after a request for tokens that no coordinator decided. */
        const val RETRY_MILLIS = 50L

        /** Bounds of the pause between two requests for tokens, whatever the coordinator says. */
        const val MIN_WAIT_MILLIS = 5L
        const val MAX_WAIT_MILLIS = 250L
    }
}
