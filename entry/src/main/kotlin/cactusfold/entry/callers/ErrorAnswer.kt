package cactusfold.entry.callers

/** An error answer that this process gives instead of an upstream's answer. */
public sealed interface ErrorAnswer {
    public val status: Int

    /** Identifies the reason in logs, metrics and the response body. */
    public val code: String

    /** Delay after which the caller may retry; null when a retry would not help. */
    public val retryAfterMillis: Long? get() = null

    /** The request was not executed and will not be. */
    public data class NotRun(override val code: String, override val retryAfterMillis: Long?) :
        ErrorAnswer {
        override val status: Int get() = 503
    }

    /** The workspace has exceeded its rate; the request was not executed. */
    public data class OverRate(override val retryAfterMillis: Long) : ErrorAnswer {
        override val status: Int get() = 429
        override val code: String get() = "over-rate"
    }

    /** No complete answer arrived; the request may have been executed. */
    public data class MayHaveRun(override val code: String) : ErrorAnswer {
        override val status: Int get() = 502
    }

    /** The deadline has passed; the request may have been executed. */
    public data object TimedOut : ErrorAnswer {
        override val status: Int get() = 504
        override val code: String get() = "timed-out"
    }

    /** The request is invalid, unauthorized or matches no route. */
    public data class Rejected(override val status: Int, override val code: String) : ErrorAnswer

    public companion object {
        /** Code of the refusal of a process that is about to end. */
        public const val STOPPING: String = "stopping"
    }
}
