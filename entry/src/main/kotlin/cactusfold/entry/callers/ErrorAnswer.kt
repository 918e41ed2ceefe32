package cactusfold.entry.callers

/** Why the system answers a request itself. */
public sealed interface ErrorAnswer {
    public val status: Int

    /** A word for logs and metrics. */
    public val code: String

    /** When the caller may come again; null when that would not help. */
    public val retryAfterMillis: Long? get() = null

    /** The request has not run and never will. */
    public data class NotRun(override val code: String, override val retryAfterMillis: Long?) :
        ErrorAnswer {
        override val status: Int get() = 503
    }

    /** The workspace is over its rate; the request has not run. */
    public data class OverRate(override val retryAfterMillis: Long) : ErrorAnswer {
        override val status: Int get() = 429
        override val code: String get() = "over-rate"
    }

    /** The request may have run. */
    public data class MayHaveRun(override val code: String) : ErrorAnswer {
        override val status: Int get() = 502
    }

    /** The time limit has come; the request may have run. */
    public data object TimedOut : ErrorAnswer {
        override val status: Int get() = 504
        override val code: String get() = "timed-out"
    }

    /** The request can't be served as it is. */
    public data class Rejected(override val status: Int, override val code: String) : ErrorAnswer
}
