package cactusfold.entry.callers

import cactusfold.entry.rate.Admission
import cactusfold.ports.serving.ServingRoute
import cactusfold.ports.serving.ServingWorkspace

/** What became of a request before it is sent anywhere. */
public sealed interface Admitted {
    /**
     * It may be served.
     *
     * @property workspace null where the route needs no key.
     * @property deadlineAtMillis when its caller or its route gives it up.
     */
    public class Yes(
        public val route: ServingRoute,
        public val workspace: ServingWorkspace?,
        public val deadlineAtMillis: Long
    ) : Admitted

    /** It is answered by the system. */
    public class No(public val answer: OwnAnswer) : Admitted
}

/** Finds a request's route and workspace, and checks its key and its workspace's rate. */
public class RequestAdmission(private val parts: FlowParts, private val request: CallerRequest) {

    /** Admits the request or says why not; waits for tokens within half of the latency target. */
    public suspend fun admit(): Admitted {
        val table = parts.table() ?: return Admitted.No(OwnAnswer.NotRun("starting", START_MILLIS))
        val route = table.route(request.host, request.path)
            ?: return Admitted.No(OwnAnswer.Rejected(NOT_FOUND, "no-route"))
        val needsKey = table.config.isAuthenticationEnabled && !route.allowsAnonymous
        if (needsKey && !parts.isConfigFresh()) return Admitted.No(KEYS_UNSURE)
        val workspace = if (needsKey) request.facts.key?.let(table::workspace) else null
        val refusal = when {
            needsKey && workspace == null -> OwnAnswer.Rejected(UNAUTHORIZED, "unknown-key")
            request.facts.id == null -> OwnAnswer.Rejected(BAD_REQUEST, "no-request-id")
            else -> null
        }
        if (refusal != null) return Admitted.No(refusal)
        val waitsMillis = request.facts.requestTimeoutMillis ?: route.timeoutMillis
        val limitAt = request.arrivedAtMillis + minOf(route.timeoutMillis, waitsMillis)
        val overRate = workspace?.let { spend(it, route, limitAt) }
        return overRate?.let { Admitted.No(it) } ?: Admitted.Yes(route, workspace, limitAt)
    }

    /**
     * Returns why a request that was admitted may not be sent now, or null. Time has passed since: its
     * key may have been withdrawn, or the process may have been suspended.
     */
    public fun recheck(admitted: Admitted.Yes): OwnAnswer? {
        val workspace = admitted.workspace ?: return null
        if (!parts.isConfigFresh()) return KEYS_UNSURE
        val now = request.facts.key?.let { parts.table()?.workspace(it) }
        return if (now?.name == workspace.name) {
            null
        } else {
            OwnAnswer.Rejected(UNAUTHORIZED, "key-withdrawn")
        }
    }

    private suspend fun spend(
        workspace: ServingWorkspace,
        route: ServingRoute,
        deadlineAtMillis: Long
    ): OwnAnswer? {
        val patientUntil = request.arrivedAtMillis + route.targetMillis / PATIENCE_DIVISOR
        val tokens = costOf(workspace)
        val untilMillis = minOf(deadlineAtMillis, patientUntil)
        return when (val admission = parts.allowances.admit(workspace, tokens, untilMillis)) {
            Admission.Admitted -> null
            Admission.Unknown -> OwnAnswer.NotRun("rate-unsure", STALE_MILLIS)
            is Admission.OverRate -> {
                parts.events.write(
                    "over-rate",
                    "request" to request.facts.id,
                    "workspace" to workspace.name,
                    "tokens" to tokens,
                    "rate_per_s" to workspace.ratePerSecond,
                    "burst" to workspace.burst,
                    "retry_after_ms" to admission.retryAfterMillis
                )
                OwnAnswer.OverRate(admission.retryAfterMillis)
            }
        }
    }

    private fun costOf(workspace: ServingWorkspace): Long {
        val tokens = request.facts.promptTokens?.let { it + (request.facts.outputTokens ?: 0) }
        return when {
            !workspace.isRateInTokens -> 1
            else -> tokens ?: workspace.defaultRequestTokens
        }
    }

    private companion object {
        const val BAD_REQUEST = 400
        const val UNAUTHORIZED = 401
        const val NOT_FOUND = 404

        /** Share of the latency target that a request waits for tokens. */
        const val PATIENCE_DIVISOR = 2
        const val START_MILLIS = 500L
        const val STALE_MILLIS = 1_000L
        val KEYS_UNSURE = OwnAnswer.NotRun("keys-unsure", STALE_MILLIS)
    }
}
