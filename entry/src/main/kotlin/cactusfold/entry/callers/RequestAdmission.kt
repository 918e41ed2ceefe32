package cactusfold.entry.callers

import cactusfold.decisions.queue.RequestRank
import cactusfold.entry.queueing.RequestTimes
import cactusfold.entry.rate.RateDecision
import cactusfold.entry.rate.TokenNeed
import cactusfold.ports.serving.ServingRoute
import cactusfold.ports.serving.ServingWorkspace

/** Whether a request may be sent to an upstream. */
public sealed interface AdmissionDecision {
    /**
     * The request may be sent.
     *
     * @property workspace null where the route needs no key.
     * @property deadlineAtMillis the deadline: the earlier of the caller's and the route's.
     */
    public class Admitted(
        public val route: ServingRoute,
        public val workspace: ServingWorkspace?,
        public val deadlineAtMillis: Long
    ) : AdmissionDecision

    /** The request is answered with an error. */
    public class Refused(public val answer: ErrorAnswer) : AdmissionDecision
}

/** Resolves a request's route and workspace and checks its API key and the workspace's rate. */
public class RequestAdmission(
    private val dependencies: RequestFlowDependencies,
    private val request: CallerRequest
) {

    /** Admits or refuses the request; waits for rate tokens as long as it can be answered in time. */
    public suspend fun admit(): AdmissionDecision {
        val table =
            dependencies.table()
                ?: return AdmissionDecision.Refused(
                    ErrorAnswer.NotRun("starting", STARTING_RETRY_AFTER_MILLIS)
                )
        val route = table.route(request.host, request.path)
            ?: return AdmissionDecision.Refused(ErrorAnswer.Rejected(NOT_FOUND, "no-route"))
        val needsKey = table.config.isAuthenticationEnabled && !route.allowsAnonymous
        if (needsKey && !dependencies.isConfigFresh()) return AdmissionDecision.Refused(STALE_KEYS)
        val workspace = if (needsKey) request.facts.key?.let(table::workspace) else null
        val refusal = when {
            needsKey && workspace == null -> ErrorAnswer.Rejected(UNAUTHORIZED, "unknown-key")
            request.facts.id == null -> ErrorAnswer.Rejected(BAD_REQUEST, "no-request-id")
            else -> null
        }
        if (refusal != null) return AdmissionDecision.Refused(refusal)
        val callerTimeoutMillis = request.facts.requestTimeoutMillis ?: route.timeoutMillis
        val deadlineAtMillis =
            request.arrivedAtMillis + minOf(route.timeoutMillis, callerTimeoutMillis)
        val overRate = workspace?.let { spend(it, route, deadlineAtMillis) }
        return overRate?.let { AdmissionDecision.Refused(it) }
            ?: AdmissionDecision.Admitted(route, workspace, deadlineAtMillis)
    }

    /**
     * Returns why a request that was admitted earlier must not be sent now, or null if it may. Its
     * key may have been withdrawn since, or the process may have been suspended and hold a stale
     * configuration.
     */
    public fun recheck(admitted: AdmissionDecision.Admitted): ErrorAnswer? {
        val workspace = admitted.workspace ?: return null
        if (!dependencies.isConfigFresh()) return STALE_KEYS
        val current = request.facts.key?.let { dependencies.table()?.workspace(it) }
        return if (current?.name == workspace.name) {
            null
        } else {
            ErrorAnswer.Rejected(UNAUTHORIZED, "key-withdrawn")
        }
    }

    /** Returns what the rank of an admitted request depends on. */
    public fun timesOf(admitted: AdmissionDecision.Admitted): RequestTimes =
        timesOf(admitted.route, admitted.workspace, admitted.deadlineAtMillis)

    private fun timesOf(
        route: ServingRoute,
        workspace: ServingWorkspace?,
        deadlineAtMillis: Long
    ): RequestTimes = RequestTimes.of(
        request.facts,
        route,
        workspace,
        request.arrivedAtMillis,
        deadlineAtMillis,
        dependencies.queues.times,
        dependencies.table()?.priorities.orEmpty()
    )

    private suspend fun spend(
        workspace: ServingWorkspace,
        route: ServingRoute,
        deadlineAtMillis: Long
    ): ErrorAnswer? {
        val times = timesOf(route, workspace, deadlineAtMillis)
        val startedAtMillis = dependencies.clock.nowMillis()
        val rank = times.rank(startedAtMillis)
        val limitMillis = deadlineAtMillis - request.arrivedAtMillis
        val limitWaitMillis = limitMillis / LIMIT_SHARE_DIVISOR
        val targetWaitMillis = minOf(limitMillis, route.targetMillis / TARGET_SHARE_DIVISOR)
        val patienceMillis = route.patienceMillis?.let { it / PATIENCE_SHARE_DIVISOR }
        val undecidedWaitMillis = minOf(limitWaitMillis, patienceMillis ?: limitWaitMillis)
        val need = TokenNeed(
            tokens = costOf(workspace),
            times = times,
            untilMillis = times.latestAtMillis,
            undecidedUntilMillis =
            request.arrivedAtMillis + maxOf(undecidedWaitMillis, targetWaitMillis)
        )
        val decision = dependencies.rateLimiter.admit(workspace, need)
        val waitedMillis = dependencies.clock.nowMillis() - startedAtMillis
        if (workspace.ratePerSecond != null) {
            dependencies.meters.recordQueued(TOKENS, times.priority, waitedMillis)
        }
        return when (decision) {
            RateDecision.Admitted -> null.also {
                if (waitedMillis >= LOGGED_WAIT_MILLIS) {
                    logQueued("queued", workspace, rank, waitedMillis)
                }
            }
            RateDecision.Unknown ->
                ErrorAnswer.NotRun("rate-unsure", UNVERIFIABLE_RETRY_AFTER_MILLIS)
            is RateDecision.OverRate -> {
                dependencies.events.write(
                    "over-rate",
                    "request" to request.facts.id,
                    "workspace" to workspace.name,
                    "tokens" to need.tokens,
                    "rate_per_s" to workspace.ratePerSecond,
                    "burst" to workspace.burst,
                    "retry_after_ms" to decision.retryAfterMillis
                )
                dependencies.meters.recordRefused(TOKENS, times.priority, "over-rate")
                logQueued(
                    "refused",
                    workspace,
                    rank,
                    waitedMillis,
                    "reason" to "over-rate",
                    "retry_after_ms" to decision.retryAfterMillis
                )
                ErrorAnswer.OverRate(decision.retryAfterMillis)
            }
        }
    }

    private fun logQueued(
        event: String,
        workspace: ServingWorkspace,
        rank: RequestRank,
        waitedMillis: Long,
        vararg more: Pair<String, Any?>
    ) = dependencies.events.write(
        event,
        "request" to request.facts.id,
        "for" to TOKENS,
        "workspace" to workspace.name,
        "rank" to rank.toString(),
        "waited_ms" to waitedMillis,
        *more
    )

    private fun costOf(workspace: ServingWorkspace): Long = workspace.costOf(
        request.facts.promptTokens?.let { it + (request.facts.outputTokens ?: 0) }
    )

    private companion object {
        const val BAD_REQUEST = 400
        const val UNAUTHORIZED = 401
        const val NOT_FOUND = 404

        /**
         * A request waits for a coordinator for at least the latency target divided by this, and at
         * least the shares of its other limits below.
         */
        const val TARGET_SHARE_DIVISOR = 2

        /** What the request waits for, in logs and metrics. */
        const val TOKENS = "tokens"

        /** A request that is granted tokens sooner has not waited, but was on its way. */
        const val LOGGED_WAIT_MILLIS = 20L

        /**
         * While no coordinator decides about rates, a request waits for at most its time limit
         * divided by this. Another coordinator takes over within seconds, and callers retry only a
         * few times.
         */
        const val LIMIT_SHARE_DIVISOR = 4

        /** A stream waits for at most the time after which its caller gives up divided by this. */
        const val PATIENCE_SHARE_DIVISOR = 2
        const val STARTING_RETRY_AFTER_MILLIS = 500L

        /** Retry delay while keys or rates cannot be checked. */
        const val UNVERIFIABLE_RETRY_AFTER_MILLIS = 1_000L

        /** A key may have been withdrawn by a configuration that has not arrived yet. */
        val STALE_KEYS = ErrorAnswer.NotRun("keys-unsure", UNVERIFIABLE_RETRY_AFTER_MILLIS)
    }
}
