package cactusfold.router.callers

import cactusfold.decisions.queue.QueueRefusal
import cactusfold.router.rate.AdmissionResult

/** Whether a refused request was run. Only [NOT_RUN] makes a retry safe in every case. */
public enum class RunState(public val header: String) {
    /** The request is known not to have run. */
    NOT_RUN("not-run"),

    /** It is unknown whether the request ran. */
    MAY_HAVE_RUN("may-have-run")
}

/** An error response from the router. [retryAfterMillis] is null if retrying does not help. */
public data class Refusal(
    public val status: Int,
    public val type: String,
    public val code: String,
    public val message: String,
    public val run: RunState = RunState.NOT_RUN,
    public val retryAfterMillis: Long? = null
) {
    /** The error responses of a router. */
    public companion object {
        private const val INVALID = "invalid_request_error"
        private const val AUTHENTICATION = "authentication_error"
        private const val PERMISSION = "permission_error"
        private const val RATE = "rate_limit_error"
        private const val UPSTREAM = "upstream_error"
        private const val OVERLOADED = "overloaded_error"
        private const val RETRY_SOON_MILLIS = 1_000L

        /** The request has no API key. */
        public val MISSING_KEY: Refusal =
            Refusal(401, AUTHENTICATION, "missing_key", "send a key as 'Authorization: Bearer KEY'")

        /** The API key is invalid or was withdrawn. */
        public val INVALID_KEY: Refusal =
            Refusal(401, AUTHENTICATION, "invalid_key", "the key is invalid or was withdrawn")

        /** No route matches. */
        public val UNKNOWN_ROUTE: Refusal =
            Refusal(404, INVALID, "unknown_route", "no route matches this path")

        /** The body is not a JSON object. */
        public val BAD_JSON: Refusal =
            Refusal(400, INVALID, "bad_json", "the body is not a JSON object")

        /** The body exceeds the size limit. */
        public val BODY_TOO_LARGE: Refusal =
            Refusal(
                413,
                INVALID,
                "body_too_large",
                "the body exceeds the size limit of this router"
            )

        /** The request was not received within the timeout. */
        public val SLOW_REQUEST: Refusal =
            Refusal(
                408,
                INVALID,
                "request_timeout",
                "the request was not received within the timeout"
            )

        /** The process is shutting down. */
        public val STOPPING: Refusal =
            Refusal(
                503,
                OVERLOADED,
                "stopping",
                "this router is shutting down; retry the request",
                retryAfterMillis = 0
            )

        /**
         * This router has lost contact with the store and its peers, and could accept keys that
         * have been withdrawn meanwhile.
         */
        public val CUT_OFF: Refusal = Refusal(
            503,
            OVERLOADED,
            "cut_off",
            "this router has lost contact with the store and its peers; retry the request",
            retryAfterMillis = 0
        )

        /** The store, which ensures that the request runs at most once, is unavailable. */
        public val CLAIM_UNAVAILABLE: Refusal = Refusal(
            503,
            OVERLOADED,
            "claim_unavailable",
            "at-most-once execution cannot be guaranteed at the moment",
            retryAfterMillis = RETRY_SOON_MILLIS
        )

        /** The idempotency key was used for a different request before. */
        public val KEY_REUSED: Refusal = Refusal(
            422,
            INVALID,
            "idempotency_key_reused",
            "the idempotency key was used for a different request"
        )

        /** An equal request may have run, and its response is unknown. */
        public val IN_DOUBT: Refusal = Refusal(
            409,
            UPSTREAM,
            "may_have_run",
            "this request or an equal one may have run; check before sending it under a new key",
            RunState.MAY_HAVE_RUN
        )

        /** An equal request is still running. */
        public val STILL_RUNNING: Refusal = Refusal(
            409,
            UPSTREAM,
            "still_running",
            "an equal request is still running; retry to get its response",
            RunState.MAY_HAVE_RUN,
            RETRY_SOON_MILLIS
        )

        /** The request is a poison request: it was in flight on upstreams that crashed. */
        public val CRASHES_UPSTREAMS: Refusal = Refusal(
            422,
            UPSTREAM,
            "crashes_upstreams",
            "this request was in flight on upstreams that crashed and will not be retried"
        )

        /** A field is missing or has the wrong type. */
        public fun badField(field: String, expected: String): Refusal =
            Refusal(400, INVALID, "bad_field", "'$field' must be $expected")

        /** The model does not exist, or the workspace may not use it. */
        public fun unknownModel(model: String): Refusal = Refusal(
            404,
            INVALID,
            "model_not_found",
            "model '$model' does not exist or this key may not use it"
        )

        /** Returns the refusal for [result], or null if the request was admitted. */
        public fun of(result: AdmissionResult): Refusal? = when (result) {
            AdmissionResult.Admitted -> null
            is AdmissionResult.OverRate -> Refusal(
                429,
                RATE,
                "over_rate",
                "the workspace exceeds its token rate",
                retryAfterMillis = result.retryAfterMillis
            )
            AdmissionResult.HolderUnreachable ->
                overloaded(
                    "rate_unavailable",
                    "the workspace's token rate cannot be checked at the moment"
                )
            is AdmissionResult.ExceedsBurst -> Refusal(
                422,
                RATE,
                "above_burst",
                "the request costs more tokens than the workspace's burst of " +
                    "${result.burstTokens}; lower max_tokens"
            )
        }

        /** Returns the refusal for a request that left the queue for [reason]. */
        public fun of(reason: QueueRefusal): Refusal = when (reason) {
            QueueRefusal.FULL -> overloaded("queue_full", "too many requests are queued")
            QueueRefusal.LATE -> overloaded(
                "late",
                "the request cannot be served before its deadline"
            )
            QueueRefusal.CANCELLED -> overloaded("withdrawn", "the route or model was removed")
        }

        /** Returns the refusal for an upstream failure. */
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
