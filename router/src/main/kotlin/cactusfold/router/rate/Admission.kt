package cactusfold.router.rate

import cactusfold.decisions.rate.TokenGrantSpender
import cactusfold.decisions.rate.TokenGrantSettings
import cactusfold.decisions.rate.RateLimit
import cactusfold.decisions.rate.SpendOutcome
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

/** Whether a request has its workspace's tokens. */
public sealed interface AdmissionResult {
    /** The tokens are spent. */
    public data object Admitted : AdmissionResult

    /** The workspace is above its rate; enough tokens will be there after [retryAfterMillis]. */
    public data class OverRate(public val retryAfterMillis: Long) : AdmissionResult

    /** Nobody who knows the workspace's tokens could be asked in time. */
    public data object HolderSilent : AdmissionResult

    /** The request asks for more tokens than the workspace's burst. */
    public data class NeverFits(public val burstTokens: Long) : AdmissionResult
}

/** Spends workspaces' tokens at this router, and asks the holders for more. */
public class Admission(
    private val core: NodeCore,
    private val settings: TokenGrantSettings,
    private val maxWaiting: Int
) {
    private inner class Account(workspace: Workspace) {
        val state = GuardedState(spender.start(workspace.limit, core.clock.nowMillis()))
        val asking = Mutex()
        var recentTokens = 0.0
        var recentAtMillis = core.clock.nowMillis()
        val waiting = AtomicInteger()

        /** Until when the holder has said that tokens lack; nobody asks before. */
        @Volatile
        var blockedUntilMillis: Long? = null

        fun blockedMillis(): Long =
            blockedUntilMillis?.let { (it - core.clock.nowMillis()).coerceAtLeast(0) } ?: 0
    }

    private val spender = TokenGrantSpender(settings)
    private val accounts = ConcurrentHashMap<String, Account>()

    /** Spends [tokens] of [workspace], waiting for them until [deadlineMillis] at the longest. */
    public suspend fun admit(
        workspace: Workspace,
        tokens: Long,
        deadlineMillis: Long
    ): AdmissionResult {
        if (tokens > workspace.limit.burstTokens) {
            return AdmissionResult.NeverFits(workspace.limit.burstTokens.toLong())
        }
        val account = accounts.computeIfAbsent(workspace.name) { Account(workspace) }
        noteUse(account, tokens)
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
                account.asking.withLock { askUnlessThere(account, workspace, tokens) }
            }
            if (answer == null) core.sessions.refreshHolder(Shards.ofRate(workspace.name))
            val wait = answer ?: HOLDER_RETRY_MILLIS
            if (wait == 0L) continue
            if (core.clock.nowMillis() + wait >= deadlineMillis) {
                return if (answer ==
                    null
                ) {
                    AdmissionResult.HolderSilent
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
     * Asks the holder. Returns 0 when it is worth trying again at once, how long to wait when tokens
     * lack, and null when the holder did not answer.
     */
    private suspend fun askUnlessThere(
        account: Account,
        workspace: Workspace,
        tokens: Long
    ): Long? {
        val missing = tokens - usable(account)
        if (missing <= 0) return 0
        val holder = core.sessions.holderOf(Shards.ofRate(workspace.name))
            ?: return null
        val sentAt = core.clock.nowMillis()
        val request = requestFor(account, workspace, missing)
        val answer = core.peers.holder(holder.address, ASK_TIMEOUT_MILLIS) {
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

    private fun usable(account: Account): Long {
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

    private fun noteUse(account: Account, tokens: Long) {
        synchronized(account) {
            val now = core.clock.nowMillis()
            val elapsed = (now - account.recentAtMillis).toDouble()
            val decay = Math.exp(-elapsed / USE_WINDOW_MILLIS)
            account.recentTokens = account.recentTokens * decay + tokens
            account.recentAtMillis = now
        }
    }

    /** Tokens worth having in advance: what was used lately, for half the validity of a grant. */
    private fun prefetch(account: Account): Long = synchronized(account) {
        (account.recentTokens * settings.grantValidMillis / USE_WINDOW_MILLIS / 2).toLong()
    }

    private companion object {
        const val ASK_TIMEOUT_MILLIS = 500L
        const val HOLDER_RETRY_MILLIS = 50L
        const val USE_WINDOW_MILLIS = 2_000.0
    }
}
