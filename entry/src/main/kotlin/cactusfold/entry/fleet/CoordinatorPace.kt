package cactusfold.entry.fleet

/** Pauses that keep the coordinator's work in proportion to the size of the fleet. */
internal object CoordinatorPace {
    /**
     * Returns how long changes are collected before a notice to a member is sent. With a member for
     * each millisecond, the coordinator sends at most about 1,000 notices a second.
     */
    fun noticeMillis(members: Int): Long =
        members.toLong().coerceIn(MIN_NOTICE_MILLIS, MAX_NOTICE_MILLIS)

    /** Returns how long a member collects changes before it sends a report. */
    fun reportMillis(members: Int?): Long =
        noticeMillis(members ?: 0).coerceAtLeast(MIN_REPORT_MILLIS)

    /** Returns the pause after a plan that took [tookMillis]; planning takes up to a fifth. */
    fun planPauseMillis(tookMillis: Long): Long =
        (tookMillis * PLAN_PAUSE_FACTOR).coerceIn(MIN_PLAN_PAUSE_MILLIS, MAX_PLAN_PAUSE_MILLIS)

    private const val MIN_NOTICE_MILLIS = 5L

    /** Members learn of a loaded model within this time. */
    private const val MAX_NOTICE_MILLIS = 100L
    private const val MIN_REPORT_MILLIS = 10L
    private const val PLAN_PAUSE_FACTOR = 4

    /** Requests for several models often arrive together; one plan then covers them. */
    private const val MIN_PLAN_PAUSE_MILLIS = 5L
    private const val MAX_PLAN_PAUSE_MILLIS = 400L
}
