package cactusfold.router.callers

import cactusfold.decisions.queue.QueueRefusal
import cactusfold.router.rate.AdmissionResult

/** Whether a refused request was run. Only a sure "not run" may be sent again without care. */
public enum class RunState(public val header: String) {
    /** The request was surely not run. */
    NOT_RUN("not-run"),

    /** The request may have been run; nobody knows. */
    MAY_HAVE_RUN("may-have-run")
}

/** A final answer other than the upstream's. [retryAfterMillis] is null when a retry is no help. */
public data class Refusal(
    public val status: Int,
    public val type: String,
    public val code: String,
    public val message: String,
    public val run: RunState = RunState.NOT_RUN,
    public val retryAfterMillis: Long? = null
) {
    /** All refusals that a router gives. */
    public companion object {
        private const val INVALID = "invalid_request_error"
        private const val AUTHENTICATION = "authentication_error"
        private const val PERMISSION = "permission_error"
        private const val RATE = "rate_limit_error"
        private const val UPSTREAM = "upstream_error"
        private const val OVERLOADED = "overloaded_error"
        private const val RETRY_SOON_MILLIS = 1_000L

        /** The request lacks a key. */
        public val MISSING_KEY: Refusal =
            Refusal(401, AUTHENTICATION, "missing_key", "send a key as 'Authorization: Bearer KEY'")

        /** The key is not valid, or was withdrawn. */
        public val INVALID_KEY: Refusal =
            Refusal(401, AUTHENTICATION, "invalid_key", "the key is not valid or was withdrawn")

        /** No route matches. */
        public val UNKNOWN_ROUTE: Refusal =
            Refusal(404, INVALID, "unknown_route", "no route for this path")

        /** The body is not a JSON object. */
        public val BAD_JSON: Refusal =
            Refusal(400, INVALID, "bad_json", "the body is not a JSON object")

        /** The body is above the limit. */
        public val BODY_TOO_LARGE: Refusal =
            Refusal(413, INVALID, "body_too_large", "the body is larger than this router takes")

        /** The caller took too long to send its request. */
        public val SLOW_REQUEST: Refusal =
            Refusal(408, INVALID, "request_timeout", "the request was not received in time")

        /** The process is about to stop. */
        public val STOPPING: Refusal =
            Refusal(
                503,
                OVERLOADED,
                "stopping",
                "this router stops; send the request again",
                retryAfterMillis = 0
            )

        /** This router can't learn of withdrawn keys at present. */
        public val CUT_OFF: Refusal = Refusal(
            503,
            OVERLOADED,
            "cut_off",
            "this router is cut off from the others; send the request again",
            retryAfterMillis = 0
        )

        /** The store is needed to make sure that the request runs once, and it is down. */
        public val CLAIM_UNAVAILABLE: Refusal = Refusal(
            503,
            OVERLOADED,
            "claim_unavailable",
            "the request may run only once, and that can't be made sure now",
            retryAfterMillis = RETRY_SOON_MILLIS
        )

        /** The idempotency key came with another request before. */
        public val KEY_REUSED: Refusal = Refusal(
            422,
            INVALID,
            "idempotency_key_reused",
            "the idempotency key was used for another request"
        )

        /** An equal request may have run, and its answer is not known. */
        public val IN_DOUBT: Refusal = Refusal(
            409,
            UPSTREAM,
            "may_have_run",
            "this request or an equal one may have run; look before sending it under a new key",
            RunState.MAY_HAVE_RUN
        )

        /** An equal request is still at work. */
        public val STILL_RUNNING: Refusal = Refusal(
            409,
            UPSTREAM,
            "still_running",
            "an equal request is still at work; ask again for its answer",
            RunState.MAY_HAVE_RUN,
            RETRY_SOON_MILLIS
        )

        /** The request was in flight on upstreams that crashed. */
        public val CRASHES_UPSTREAMS: Refusal = Refusal(
            422,
            UPSTREAM,
            "crashes_upstreams",
            "this request was in flight on upstreams that crashed and is not run again"
        )

        /** A field is missing or of the wrong kind. */
        public fun badField(field: String, expected: String): Refusal =
            Refusal(400, INVALID, "bad_field", "'$field' must be $expected")

        /** The model does not exist, or the workspace may not use it. */
        public fun unknownModel(model: String): Refusal =
            Refusal(404, INVALID, "model_not_found", "no model '$model' for this key")

        /** The request's workspace is above its rate. */
        public fun of(result: AdmissionResult): Refusal? = when (result) {
            AdmissionResult.Admitted -> null
            is AdmissionResult.OverRate -> Refusal(
                429,
                RATE,
                "over_rate",
                "the workspace is above its rate",
                retryAfterMillis = result.retryAfterMillis
            )
            AdmissionResult.HolderUnreachable ->
                overloaded("rate_unavailable", "the workspace's rate can't be looked up now")
            is AdmissionResult.ExceedsBurst -> Refusal(
                422,
                RATE,
                "above_burst",
                "the request counts for more tokens than the workspace's burst of " +
                    "${result.burstTokens}; lower max_tokens"
            )
        }

        /** The request can't be served in time. */
        public fun of(reason: QueueRefusal): Refusal = when (reason) {
            QueueRefusal.FULL -> overloaded("queue_full", "too many requests wait")
            QueueRefusal.LATE -> overloaded("late", "the request can't be served within its target")
            QueueRefusal.CANCELLED -> overloaded("withdrawn", "the route or model was removed")
        }

        /** The upstream failed. */
        public fun upstream(reason: String, run: RunState): Refusal = Refusal(
            if (run == RunState.NOT_RUN) 503 else 502,
            UPSTREAM,
            if (run == RunState.NOT_RUN) "upstream_unreachable" else "upstream_failed",
            reason,
            run,
            RETRY_SOON_MILLIS.takeIf { run == RunState.NOT_RUN }
        )

        private fun overloaded(code: String, message: String): Refusal =
            Refusal(503, OVERLOADED, code, message, retryAfterMillis = RETRY_SOON_MILLIS)
    }
}
