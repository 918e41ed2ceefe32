package cactusfold.router.rate

import cactusfold.decisions.rate.AllowanceSpender
import cactusfold.decisions.rate.ContactSettings
import cactusfold.decisions.rate.RateLimit
import cactusfold.decisions.rate.Spend
import cactusfold.node.launch.NodeCore
import cactusfold.node.peer.PeerResult
import cactusfold.node.rows.Shards
import cactusfold.node.state.Guarded
import cactusfold.protocol.TokenGrant
import cactusfold.protocol.TokenRequest
import cactusfold.settings.fleet.Workspace
import java.util.concurrent.ConcurrentHashMap
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock

/** Whether a request has its workspace's tokens. */
public sealed interface AdmissionResult {
    /** The tokens are spent. */
    public data object Admitted : AdmissionResult

    /** The workspace is above its rate; enough tokens will be there after [retryAfterMillis]. */
    public data class OverRate(public val retryAfterMillis: Long) : AdmissionResult

    /** The request asks for more tokens than the workspace's burst. */
    public data class NeverFits(public val burstTokens: Long) : AdmissionResult
}

/** Spends workspaces' tokens at this router, and asks the holders for more. */
public class Admission(private val core: NodeCore, private val settings: ContactSettings) {
    private inner class Account(workspace: Workspace) {
        val state = Guarded(spender.start(workspace.limit, core.clock.nowMillis()))
        val asking = Mutex()
        var recentTokens = 0.0
        var recentAtMillis = core.clock.nowMillis()
    }

    private val spender = AllowanceSpender(settings)
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
        while (true) {
            if (spend(account, workspace.limit, tokens)) return AdmissionResult.Admitted
            val wait = account.asking.withLock { askUnlessThere(account, workspace, tokens) }
                ?: HOLDER_RETRY_MILLIS.also {
                    core.sessions.refreshHolder(Shards.ofRate(workspace.name))
                }
            if (wait == 0L) continue
            val now = core.clock.nowMillis()
            if (now + wait >= deadlineMillis) return AdmissionResult.OverRate(wait)
            delay(wait)
        }
    }

    private fun spend(account: Account, limit: RateLimit, tokens: Long): Boolean =
        account.state.exchange { state ->
            val step = spender.spend(state.copy(limit = limit), tokens, core.clock.nowMillis())
            step.state to (step.outcome == Spend.Admitted)
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
                grant.retryAfterMillis.coerceAtLeast(1)
            }
            else -> null
        }
    }

    private fun usable(account: Account): Long {
        val state = account.state.value
        return if (core.clock.nowMillis() < state.allowanceUntilMillis) state.allowanceTokens else 0
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
