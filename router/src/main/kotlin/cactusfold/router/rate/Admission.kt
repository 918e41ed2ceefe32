package cactusfold.router.rate

import cactusfold.decisions.rate.RateLimit
import cactusfold.decisions.rate.SpendOutcome
import cactusfold.decisions.rate.TokenGrantSettings
import cactusfold.decisions.rate.TokenGrantSpender
import cactusfold.node.launch.NodeCore
import cactusfold.node.peer.PeerResult
import cactusfold.node.rows.Shards
import cactusfold.node.state.GuardedState
import cactusfold.protocol.TokenGrant
import cactusfold.protocol.TokenRequest
import cactusfold.settings.fleet.Workspace
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock

/** Result of admitting a request against its workspace's rate limit. */
public sealed interface AdmissionResult {
    /** The tokens are spent. */
    public data object Admitted : AdmissionResult

    /** The workspace exceeds its rate; retry after [retryAfterMillis]. */
    public data class OverRate(public val retryAfterMillis: Long) : AdmissionResult

    /** The holder of the workspace's token bucket did not answer before the deadline. */
    public data object HolderUnreachable : AdmissionResult

    /** The request costs more tokens than the workspace's burst, so it can never be admitted. */
    public data class ExceedsBurst(public val burstTokens: Long) : AdmissionResult
}

/**
 * Admits requests against the rate limits of their workspaces.
 *
 * Spends token grants at this router and requests further grants from the holders of the token
 * buckets. At most [maxWaiting] requests of a workspace wait for tokens.
 */
public class Admission(
    private val core: NodeCore,
    private val settings: TokenGrantSettings,
    private val maxWaiting: Int
) {
    private inner class Account(workspace: Workspace) {
        val state = GuardedState(spender.start(workspace.limit, core.clock.nowMillis()))
        val grantRequestMutex = Mutex()
        var recentTokens = 0.0
        var recentAtMillis = core.clock.nowMillis()
        val waiting = AtomicInteger()

        /** Until when the holder has no tokens to grant; no request is sent to it before. */
        @Volatile
        var blockedUntilMillis: Long? = null

        fun blockedMillis(): Long =
            blockedUntilMillis?.let { (it - core.clock.nowMillis()).coerceAtLeast(0) } ?: 0
    }

    private val spender = TokenGrantSpender(settings)
    private val accounts = ConcurrentHashMap<String, Account>()

    /** Spends [tokens] of [workspace], waiting for them until [deadlineMillis] at most. */
    public suspend fun admit(
        workspace: Workspace,
        tokens: Long,
        deadlineMillis: Long
    ): AdmissionResult {
        if (tokens > workspace.limit.burstTokens) {
            return AdmissionResult.ExceedsBurst(workspace.limit.burstTokens.toLong())
        }
        val account = accounts.computeIfAbsent(workspace.name) { Account(workspace) }
        recordUsage(account, tokens)
        if (account.waiting.incrementAndGet() > maxWaiting) {
            account.waiting.decrementAndGet()
            return AdmissionResult.OverRate(account.blockedMillis().coerceAtLeast(1))
        }
        try {
            return awaitTokens(account, workspace, tokens, deadlineMillis)
        } finally {
            account.waiting.decrementAndGet()
        }
    }

    private suspend fun awaitTokens(
        account: Account,
        workspace: Workspace,
        tokens: Long,
        deadlineMillis: Long
    ): AdmissionResult {
        while (true) {
            if (spend(account, workspace.limit, tokens)) return AdmissionResult.Admitted
            val blocked = account.blockedMillis()
            val answer = if (blocked > 0) {
                blocked
            } else {
                account.grantRequestMutex.withLock {
                    requestMissingTokens(account, workspace, tokens)
                }
            }
            if (answer == null) core.sessions.refreshHolder(Shards.ofRate(workspace.name))
            val wait = answer ?: HOLDER_RETRY_MILLIS
            if (wait == 0L) continue
            if (core.clock.nowMillis() + wait >= deadlineMillis) {
                return if (answer == null) {
                    AdmissionResult.HolderUnreachable
                } else {
                    AdmissionResult.OverRate(wait)
                }
            }
            delay(wait)
        }
    }

    private fun spend(account: Account, limit: RateLimit, tokens: Long): Boolean =
        account.state.exchange { state ->
            val now = core.clock.nowMillis()
            val mayUseReserve = core.sessions.isRegisteredFor(settings.registryFreshMillis)
            val step = spender.spend(state.copy(limit = limit), tokens, now, mayUseReserve)
            step.state to (step.outcome == SpendOutcome.Admitted)
        }

    /**
     * Requests a grant from the holder unless enough tokens have arrived meanwhile. Returns 0 if
     * spending can be retried at once, the time to wait in milliseconds if the holder lacks tokens,
     * and null if there is no holder or it gave no usable answer.
     */
    private suspend fun requestMissingTokens(
        account: Account,
        workspace: Workspace,
        tokens: Long
    ): Long? {
        val missing = tokens - unexpiredGrantTokens(account)
        if (missing <= 0) return 0
        val holder = core.sessions.holderOf(Shards.ofRate(workspace.name))
            ?: return null
        val sentAt = core.clock.nowMillis()
        val request = requestFor(account, workspace, missing)
        val answer = core.peers.holder(holder.address, GRANT_TIMEOUT_MILLIS) {
            requestTokens(request)
        }
        val grant = (answer as? PeerResult.Answer)?.value ?: return null
        val now = core.clock.nowMillis()
        return when (grant.outcome) {
            TokenGrant.Outcome.GRANTED -> {
                account.state.update { spender.granted(it, grant.grantedTokens, sentAt, now) }
                0
            }
            TokenGrant.Outcome.WAIT -> {
                account.state.update { spender.contacted(it, now) }
                val wait = grant.retryAfterMillis.coerceAtLeast(1)
                account.blockedUntilMillis = now + wait
                wait
            }
            else -> null
        }
    }

    private fun unexpiredGrantTokens(account: Account): Long {
        val state = account.state.value
        return if (core.clock.nowMillis() < state.grantExpiresAtMillis) state.unspentTokens else 0
    }

    private fun requestFor(account: Account, workspace: Workspace, needed: Long): TokenRequest {
        val state = account.state.update { it.copy(sequence = it.sequence + 1) }
        return TokenRequest.newBuilder()
            .setWorkspace(workspace.name)
            .setRouter(core.sessions.session)
            .setRouterIncarnation(core.sessions.session)
            .setSequence(state.sequence)
            .setNeededTokens(needed)
            .setPrefetchTokens(prefetch(account))
            .setSpentTokens(state.spentTokens)
            .setReturnedTokens(state.returnedTokens)
            .build()
    }

    private fun recordUsage(account: Account, tokens: Long) {
        synchronized(account) {
            val now = core.clock.nowMillis()
            val elapsed = (now - account.recentAtMillis).toDouble()
            val decay = Math.exp(-elapsed / USAGE_WINDOW_MILLIS)
            account.recentTokens = account.recentTokens * decay + tokens
            account.recentAtMillis = now
        }
    }

    /** Tokens to prefetch: the recent use over half the validity period of a grant. */
    private fun prefetch(account: Account): Long = synchronized(account) {
        (account.recentTokens * settings.grantValidMillis / USAGE_WINDOW_MILLIS / 2).toLong()
    }

    private companion object {
        const val GRANT_TIMEOUT_MILLIS = 500L
        const val HOLDER_RETRY_MILLIS = 50L
        const val USAGE_WINDOW_MILLIS = 2_000.0
    }
}
