package cactusfold.decisions.rate

/**
 * Bounds on what a cold upstream may get in any one second, over all VMs: its rate times [overage],
 * and [slack] requests.
 */
public data class ColdBounds(public val overage: Double = 1.5, public val slack: Double = 5.0)

/** Version of an upstream's row; numbers of two eras of the store cannot be compared. */
public data class RowVersion(public val era: Long, public val number: Long)

/**
 * One read of an upstream's row.
 *
 * @property version by which a row that was read before is recognised.
 * @property begunAtMillis when the read began.
 * @property writtenAfterMillis a time after which a row of a new version was certainly written: when
 *   the last read began that did not show it.
 */
public data class RowReading(
    public val version: RowVersion,
    public val begunAtMillis: Long,
    public val writtenAfterMillis: Long
)

/**
 * What a process knows of whether one start of an upstream is cold.
 *
 * A statement never makes the upstream warm earlier than it may be: a row states the time left when
 * it was written, which is counted from when it was read, and older statements do not replace later
 * ones unless they are longer.
 *
 * @property coldUntilMillis until when it is cold by what it stated.
 * @property statedAtMillis the time at which that was true or which was before it.
 * @property suspectedAtMillis when something was observed after which it may have become cold; null
 *   if a row that was written later has been read.
 * @property rowVersion version of the last row that was read; null if there was none.
 * @property rowAtMillis a time after which the last row that is known here was written.
 */
public data class ColdState(
    public val coldUntilMillis: Long = Long.MIN_VALUE / 2,
    public val statedAtMillis: Long = Long.MIN_VALUE / 2,
    public val suspectedAtMillis: Long? = null,
    public val rowVersion: RowVersion? = null,
    public val rowAtMillis: Long = Long.MIN_VALUE / 2
) {
    /** Whether it has not been seen to be warm since it may have become cold. */
    public val isSuspected: Boolean get() = suspectedAtMillis != null

    /** Whether it states that it is cold. */
    public fun isStatedCold(nowMillis: Long): Boolean = nowMillis < coldUntilMillis

    /** Whether its requests are limited. */
    public fun isCold(nowMillis: Long): Boolean = isSuspected || isStatedCold(nowMillis)

    /** Returns the state after its row, which states [warmupMillis], was read. */
    public fun rowRead(warmupMillis: Long, row: RowReading, nowMillis: Long): ColdState {
        val isRepeated = row.version == rowVersion
        val stated = if (isRepeated) {
            this
        } else {
            stated(nowMillis + warmupMillis, row.writtenAfterMillis)
        }
        val rowMillis = if (isRepeated) rowAtMillis else maxOf(rowAtMillis, row.writtenAfterMillis)
        val next = stated.copy(rowVersion = row.version, rowAtMillis = rowMillis)
        return if (rowMillis < (suspectedAtMillis ?: return next)) {
            next.shown(row.begunAtMillis)
        } else {
            next.copy(suspectedAtMillis = null)
        }
    }

    /**
     * Returns the state after a read that began at [begunAtMillis] has shown that the row is still
     * there, or is there again. Soon after what was observed it may be that of an earlier start.
     */
    public fun shown(begunAtMillis: Long): ColdState {
        val suspected = suspectedAtMillis ?: return this
        if (begunAtMillis < suspected + ROW_LIFETIME_MILLIS) return this
        return copy(suspectedAtMillis = null, rowAtMillis = maxOf(rowAtMillis, suspected))
    }

    /**
     * Returns the state after an answer to a request sent at [sentAtMillis], which states that the
     * upstream stays cold for [coldMillis].
     */
    public fun answered(coldMillis: Long, sentAtMillis: Long, nowMillis: Long): ColdState =
        stated(nowMillis + coldMillis, sentAtMillis)

    /** Returns the state after something was observed that may mean another, cold start. */
    public fun suspected(nowMillis: Long): ColdState =
        copy(suspectedAtMillis = maxOf(suspectedAtMillis ?: nowMillis, nowMillis))

    /**
     * Returns the state after another process told what it knows, as [other] on this clock.
     *
     * @param isCoordinator whether the other one is the coordinator, to which all suspicions are
     *   reported, so that it has seen this one when it says that the row was written since.
     */
    public fun heard(other: ColdState, isCoordinator: Boolean): ColdState {
        // Without its latency a message seems to be newer than it is.
        val shown = other.statedAtMillis - MESSAGE_MARGIN_MILLIS
        val isExtended = other.coldUntilMillis > coldUntilMillis + MESSAGE_MARGIN_MILLIS
        val next = if (isExtended || shown > statedAtMillis) {
            stated(other.coldUntilMillis, shown)
        } else {
            this
        }
        val suspicion = other.suspectedAtMillis
        val marginMillis = if (isCoordinator) SAME_EVENT_MILLIS else -MESSAGE_MARGIN_MILLIS
        return when {
            suspicion == null -> next.copy(
                suspectedAtMillis = suspectedAtMillis?.takeIf {
                    it >
                        other.rowAtMillis + marginMillis
                },
                rowAtMillis = maxOf(rowAtMillis, other.rowAtMillis)
            )
            suspectedAtMillis == null && suspicion > rowAtMillis ->
                next.copy(suspectedAtMillis = suspicion)
            else -> next
        }
    }

    private fun stated(untilMillis: Long, atMillis: Long): ColdState = when {
        atMillis >= statedAtMillis -> copy(coldUntilMillis = untilMillis, statedAtMillis = atMillis)
        untilMillis > coldUntilMillis -> copy(coldUntilMillis = untilMillis)
        else -> this
    }

    public companion object {
        /** Rows of starts that have ended are gone after this time, as they expire. */
        public const val ROW_LIFETIME_MILLIS: Long = 5_000

        /** Longer than a message between two processes takes in general. */
        private const val MESSAGE_MARGIN_MILLIS = 500L

        /**
         * Processes observe one event this far apart at most. If a row was written between what
         * they observed, the later one is reported and announced once more.
         */
        private const val SAME_EVENT_MILLIS = 1_000L

        /** Tokens for cold upstreams are used within this time, so that few come together. */
        public const val USE_WITHIN_MILLIS: Long = 500

        /** Tokens that a member may have from before it knew that it is in contact. */
        private const val SPARE_TOKENS = 1.0

        /** Members that lost contact one by one take their turns at random times. */
        private const val RESERVE_SHARE = 0.5
        private const val MILLIS_PER_SECOND = 1_000.0

        /**
         * Returns the limit of a cold upstream that tolerates [requestsPerSecond]. Tokens of a
         * second and of [USE_WITHIN_MILLIS] before it may be used together with a full burst.
         */
        public fun limit(requestsPerSecond: Double, bounds: ColdBounds): RateLimit {
            val limit = RateLimit.ofRequests(requestsPerSecond)
            val rate = limit.rateTokensPerSecond
            val seconds = 1 + USE_WITHIN_MILLIS / MILLIS_PER_SECOND
            val room = bounds.overage * rate + bounds.slack - seconds * rate - SPARE_TOKENS
            return limit.copy(
                burstTokens = minOf(limit.burstTokens, room).coerceAtLeast(limit.unitTokens),
                reserveShare = RESERVE_SHARE,
                useWithinMillis = USE_WITHIN_MILLIS
            )
        }
    }
}
