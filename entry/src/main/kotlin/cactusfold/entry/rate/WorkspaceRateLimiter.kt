package cactusfold.entry.rate

import cactusfold.decisions.rate.RateLimit
import cactusfold.entry.queueing.RequestTimes
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
 * The tokens that a request needs of its workspace's rate.
 *
 * @property times what its rank among waiting requests depends on.
 * @property untilMillis when the wait ends if there are too few tokens.
 * @property undecidedUntilMillis when it ends if no coordinator decides, such as between two.
 */
public data class TokenNeed(
    public val tokens: Long,
    public val times: RequestTimes,
    public val untilMillis: Long,
    public val undecidedUntilMillis: Long = untilMillis
)

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
    private var lastRequest = 0L
    private val held = MemberTokens(clock) { FleetPlace(memberCount()) }

    /** Records that this process is registered; [wasRegistered] if its VM was so before. */
    public fun registered(wasRegistered: Boolean): Unit = held.registered(wasRegistered)

    /** Records contact with the coordinator, which suspends the use of the reserves. */
    public fun heard(): Unit = held.heard()

    /**
     * Takes the tokens that [need] states from the rate of [workspace]. The coordinator grants them
     * in the order of the requests' ranks, and refuses at once what it cannot grant in time.
     */
    public suspend fun admit(workspace: ServingWorkspace, need: TokenNeed): RateDecision {
        val rate = workspace.ratePerSecond ?: return RateDecision.Admitted
        val limit = RateLimit(rate, workspace.burst)
        val subject = RateSubject.Workspace(workspace.name)
        val tokens = need.tokens
        val untilMillis = need.untilMillis
        val requestId = (++lastRequest).toString()
        var refusal: RateDecision = RateDecision.Unknown
        do {
            if (held.trySpend(subject, limit, tokens)) return RateDecision.Admitted
            val askedAtMillis = clock.nowMillis()
            val grant = ask(requestOf(workspace.name, need, requestId))
            when (grant?.outcome) {
                TokenGrant.Outcome.GRANTED -> {
                    held.heard(subject)
                    // The first word is also that of an answer that says it in other fields.
                    val isGranted = grant.grantedTokens >= need.tokens
                    if (isGranted && isGrantValid(askedAtMillis, clock.nowMillis())) {
                        return RateDecision.Admitted
                    }
                    if (!isGranted) delay(RETRY_MILLIS)
                }
                TokenGrant.Outcome.WAIT -> {
                    held.heard(subject)
                    if (clock.nowMillis() + grant.retryAfterMillis > untilMillis) {
                        return RateDecision.OverRate(grant.retryAfterMillis)
                    }
                    refusal = RateDecision.OverRate(grant.retryAfterMillis)
                    // A call that the coordinator has held is repeated without a pause.
                    val pauseMillis =
                        grant.retryAfterMillis.coerceIn(MIN_WAIT_MILLIS, MAX_WAIT_MILLIS)
                    delay(pauseMillis - (clock.nowMillis() - askedAtMillis))
                }
                TokenGrant.Outcome.REFUSED -> {
                    held.heard(subject)
                    return RateDecision.OverRate(grant.retryAfterMillis)
                }
                else -> delay(RETRY_MILLIS)
            }
            val limitMillis =
                if (refusal == RateDecision.Unknown) need.undecidedUntilMillis else untilMillis
        } while (clock.nowMillis() < limitMillis)
        return if (held.trySpend(subject, limit, tokens)) RateDecision.Admitted else refusal
    }

    private fun requestOf(workspace: String, need: TokenNeed, id: String): TokenRequest {
        val nowMillis = clock.nowMillis()
        return TokenRequest.newBuilder()
            .setWorkspace(workspace)
            .setRouter(member)
            .setRouterIncarnation(incarnation)
            .setNeededTokens(need.tokens)
            .setRequestId(id)
            .setPriority(need.times.priority)
            .setTargetInMillis(need.times.targetAtMillis - nowMillis)
            .setLimitInMillis((need.untilMillis - nowMillis).coerceAtLeast(1))
            .setWork(need.times.workTokens)
            .setAgeMillis(nowMillis - need.times.arrivedAtMillis)
            .build()
    }

    private companion object {
        /** Pause after a request for tokens that no coordinator decided. */
        const val RETRY_MILLIS = 50L

        /** Bounds of the pause between two requests for tokens, whatever the coordinator says. */
        const val MIN_WAIT_MILLIS = 5L
        const val MAX_WAIT_MILLIS = 250L
    }
}
