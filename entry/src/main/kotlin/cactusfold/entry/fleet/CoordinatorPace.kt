package cactusfold.entry.fleet

/** Pauses that keep the coordinator's work in proportion to the size of the fleet. */
internal object CoordinatorPace {
    /**
     * Returns how long changes are collected before a notice to a member is sent. With a member for
     * each millisecond, the coordinator sends at most about 1,000 notices a second.
     */
    fun noticeMillis(members: Int): Long =
        members.toLong().coerceIn(MIN_NOTICE_MILLIS, MAX_NOTICE_MILLIS)

    /**
     * Returns how long changes are collected while the process runs behind by [lagMillis], for
     * instance since it has just taken over and most of its code is not compiled yet.
     */
    fun noticeMillis(members: Int, lagMillis: Double): Long =
        (noticeMillis(members) + LAG_FACTOR * lagMillis.toLong()).coerceAtMost(MAX_LATE_MILLIS)

    /** Returns by how much a heartbeat is put off while the process runs behind by [lagMillis]. */
    fun latePauseMillis(lagMillis: Double): Long = (LAG_FACTOR * lagMillis.toLong())
        .coerceAtMost(MAX_LATE_MILLIS)

    /**
     * Returns how long a process waits before it takes a free lease, by the [cores] of its VM, so
     * that the coordinator is a VM that can carry the work if there is one.
     */
    fun takeoverDelayMillis(cores: Double): Long =
        ((1 - cores).coerceIn(0.0, 1.0) * MAX_TAKEOVER_DELAY_MILLIS).toLong()

    /** Returns how long a member collects changes before it sends a report. */
    fun reportMillis(members: Int?): Long =
        noticeMillis(members ?: 0).coerceAtLeast(MIN_REPORT_MILLIS)

    /** Returns the pause after a plan that took [tookMillis]; planning takes up to a fifth. */
    fun planPauseMillis(tookMillis: Long): Long =
        (tookMillis * PLAN_PAUSE_FACTOR).coerceIn(MIN_PLAN_PAUSE_MILLIS, MAX_PLAN_PAUSE_MILLIS)

    private const val MIN_NOTICE_MILLIS = 5L

    /** Members learn of a loaded model within this time. */
    private const val MAX_NOTICE_MILLIS = 100L
    private const val LAG_FACTOR = 4

    /** With the interval of heartbeats, less than the silence after which a member gives up. */
    private const val MAX_LATE_MILLIS = 400L

    /** Enough for a fast VM to read the row and write it first. */
    private const val MAX_TAKEOVER_DELAY_MILLIS = 500
    private const val MIN_REPORT_MILLIS = 10L
    private const val PLAN_PAUSE_FACTOR = 4

    /** Requests for several models often arrive together; one plan then covers them. */
    private const val MIN_PLAN_PAUSE_MILLIS = 5L
    private const val MAX_PLAN_PAUSE_MILLIS = 400L
}
