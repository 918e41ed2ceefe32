package cactusfold.entry.rate

import cactusfold.decisions.rate.RateLimit
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
    private val held = MemberTokens(clock) { FleetPlace(memberCount()) }

    /** Records that this process is registered; [wasRegistered] if its VM was so before. */
    public fun registered(wasRegistered: Boolean): Unit = held.registered(wasRegistered)

    /** Records contact with the coordinator, which suspends the use of the reserves. */
    public fun heard(): Unit = held.heard()

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
        val subject = RateSubject.Workspace(workspace.name)
        var refusal: RateDecision = RateDecision.Unknown
        do {
            if (held.trySpend(subject, limit, tokens)) return RateDecision.Admitted
            val askedAtMillis = clock.nowMillis()
            val grant = ask(requestOf(workspace.name, tokens))
            when (grant?.outcome) {
                TokenGrant.Outcome.GRANTED -> {
                    held.heard(subject)
                    if (isGrantValid(askedAtMillis, clock.nowMillis())) return RateDecision.Admitted
                }
                TokenGrant.Outcome.WAIT -> {
                    held.heard(subject)
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
        return if (held.trySpend(subject, limit, tokens)) RateDecision.Admitted else refusal
    }

    private fun requestOf(workspace: String, tokens: Long): TokenRequest = TokenRequest.newBuilder()
        .setWorkspace(workspace)
        .setRouter(member)
        .setRouterIncarnation(incarnation)
        .setNeededTokens(tokens)
        .build()

    private companion object {
        /** Pause after a request for tokens that no coordinator decided. */
        const val RETRY_MILLIS = 50L

        /** Bounds of the pause between two requests for tokens, whatever the coordinator says. */
        const val MIN_WAIT_MILLIS = 5L
        const val MAX_WAIT_MILLIS = 250L
    }
}
