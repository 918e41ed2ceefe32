package cactusfold.decisions.holding

/**
 * The lease row of the coordinator as read from the store.
 *
 * @property holder the process that wrote the row; a new incarnation is another holder.
 * @property fence fencing token of the lease; each new holder takes the next higher one.
 * @property version version of the row, which rises with each write.
 * @property isReleased whether the holder has released the lease.
 * @property isOwnVm whether the holder runs or ran on the reader's VM. It is then either the reader
 *   itself or a process that has ended.
 * @property isSettled whether the quiet period before the holder's first action has passed.
 * @property era the store's era that the holder knew when it wrote the row.
 */
public data class CoordinatorLeaseRecord(
    public val holder: String,
    public val fence: Long,
    public val version: Long,
    public val isReleased: Boolean,
    public val isOwnVm: Boolean = false,
    public val isSettled: Boolean = false,
    public val era: Long = 0
)

/**
 * A renewal that the lease holder announced directly, not through the store.
 *
 * @property version version of the row that the holder wrote last.
 * @property confirmedAtMillis a time no earlier than the sending of that write.
 * @property era the store's era in which [version] is that of the row.
 */
public data class AnnouncedRenewal(
    public val version: Long,
    public val confirmedAtMillis: Long,
    public val era: Long = 0
)

/** The state of the coordinator lease from the point of view of one process. */
public sealed interface CoordinatorLeaseState {
    /**
     * Another process holds the lease, or none does.
     *
     * @property record the row as last read; null if it does not exist.
     * @property unchangedSinceMillis from when the TTL of the holder is counted: the first reading
     *   of this version of the row, or the announced renewal if that was earlier. Null before the
     *   first reading.
     * @property relinquishedFence the highest fence whose holder has promised not to act any more.
     * @property heard the last renewal that the holder announced.
     * @property era the store's era at the last reading. It rises when the store loses recent
     *   writes; the row then may be an earlier one, while a holder that is not in it still acts.
     */
    public data class Standby(
        public val record: CoordinatorLeaseRecord? = null,
        public val unchangedSinceMillis: Long? = null,
        public val relinquishedFence: Long = 0,
        public val heard: AnnouncedRenewal? = null,
        public val era: Long = 0
    ) : CoordinatorLeaseState

    /**
     * This process holds the lease.
     *
     * @property confirmedAtMillis when the last successful write was sent.
     * @property actsFromMillis when this process may begin to act: by then the quiet period since
     *   the last possible action of the previous holder has passed.
     */
    public data class LeaseHolder(
        public val fence: Long,
        public val version: Long,
        public val confirmedAtMillis: Long,
        public val actsFromMillis: Long
    ) : CoordinatorLeaseState
}

/**
 * Durations of the coordinator lease.
 *
 * @property ttlMillis how long a holder may act after it sent a write that succeeded.
 * @property quietMillis minimum time between the last action of one holder and the first action of
 *   the next.
 * @property marginMillis additional wait before a takeover, for clocks that run at different
 *   speeds.
 */
public data class CoordinatorLeaseSettings(
    public val ttlMillis: Long,
    public val quietMillis: Long,
    public val marginMillis: Long
)

/**
 * Decides which process holds a lease that is stored as one row and renewed by conditional writes.
 *
 * Each process measures time on its own clock, which continues while the process is suspended. The
 * holder counts the TTL from sending its renewal. A process that takes over counts it from its
 * first reading of the row, or from the renewal that the holder announced for that version. Its
 * conditional write proves that the row has not changed since.
 */
public class CoordinatorLeaseMachine(private val times: CoordinatorLeaseSettings) {
    /**
     * Returns the state after the row was read as [record], null if it does not exist, in the
     * store's [era].
     */
    public fun observed(
        state: CoordinatorLeaseState,
        record: CoordinatorLeaseRecord?,
        nowMillis: Long,
        era: Long = 0
    ): CoordinatorLeaseState = when (state) {
        is CoordinatorLeaseState.LeaseHolder -> state
        is CoordinatorLeaseState.Standby -> {
            val isSameEra = state.era == era
            val isUnchanged = state.unchangedSinceMillis != null &&
                state.record == record &&
                isSameEra
            // Versions of an earlier era are given out again, to other writes.
            val heard = state.heard?.takeIf { it.version == record?.version && it.era == era }
            val since = when {
                isUnchanged -> state.unchangedSinceMillis
                heard != null -> minOf(heard.confirmedAtMillis, nowMillis)
                else -> nowMillis
            }
            state.copy(record = record, unchangedSinceMillis = since, heard = heard, era = era)
        }
    }

    /** Returns the state after the holder with [fence] has promised not to act any more. */
    public fun promised(state: CoordinatorLeaseState, fence: Long): CoordinatorLeaseState =
        when (state) {
            is CoordinatorLeaseState.LeaseHolder -> state
            is CoordinatorLeaseState.Standby -> state.copy(
                relinquishedFence = maxOf(state.relinquishedFence, fence)
            )
        }

    /** Returns the state after the holder announced its last [renewal]. */
    public fun heard(
        state: CoordinatorLeaseState,
        renewal: AnnouncedRenewal
    ): CoordinatorLeaseState = when (state) {
        is CoordinatorLeaseState.LeaseHolder -> state
        is CoordinatorLeaseState.Standby -> state.copy(heard = renewal)
    }

    /** Returns whether a standby process may write the row with itself as the holder. */
    public fun mayTakeOver(state: CoordinatorLeaseState, nowMillis: Long): Boolean {
        if (state !is CoordinatorLeaseState.Standby ||
            state.unchangedSinceMillis == null
        ) {
            return false
        }
        val record = state.record
        if (isOfThisEra(state) && (record == null || isRelinquished(state, record))) return true
        val waited = nowMillis - state.unchangedSinceMillis
        return waited >= times.ttlMillis + times.marginMillis
    }

    /**
     * Returns the fence with which this process would take over the lease. Fences of different eras
     * lie in different ranges, since the row no longer shows those that the store has lost. Within
     * a range they follow the version of the row that is replaced: a write that was sent in an
     * earlier era may still take effect and put an older fence into the row.
     */
    public fun nextFence(state: CoordinatorLeaseState.Standby): Long {
        val last = state.record?.fence ?: 0
        if (state.era <= FIRST_ERA) return last + 1
        val rangeStart = (state.era - FIRST_ERA) * FENCES_PER_ERA
        return maxOf(last, rangeStart + (state.record?.version ?: 0)) + 1
    }

    /**
     * Returns the state after the row was written with this process as the holder.
     *
     * @param sentAtMillis when the write was sent.
     */
    public fun took(
        state: CoordinatorLeaseState.Standby,
        version: Long,
        sentAtMillis: Long,
        nowMillis: Long
    ): CoordinatorLeaseState.LeaseHolder {
        val actsFrom = if (canActImmediately(state)) nowMillis else nowMillis + quiet()
        return CoordinatorLeaseState.LeaseHolder(nextFence(state), version, sentAtMillis, actsFrom)
    }

    /**
     * Returns whether a new holder may skip the quiet period, because no other VM can have acted
     * during it: there was no previous holder, or the previous one ran on this VM and had completed
     * its own quiet period.
     */
    public fun canActImmediately(state: CoordinatorLeaseState.Standby): Boolean {
        if (!isOfThisEra(state)) return false
        val record = state.record ?: return true
        return record.isOwnVm && record.isSettled
    }

    /** Returns the state after a renewal sent at [sentAtMillis] has succeeded. */
    public fun renewed(
        state: CoordinatorLeaseState.LeaseHolder,
        version: Long,
        sentAtMillis: Long
    ): CoordinatorLeaseState.LeaseHolder = state.copy(
        version = version,
        confirmedAtMillis = maxOf(state.confirmedAtMillis, sentAtMillis)
    )

    /**
     * Returns the state after a renewal failed because the row had another version. If this holder
     * wrote that version and the reply was lost, only the version is updated and the lease is not
     * extended.
     *
     * @param isSameEra whether the store has lost no writes since the last renewal. If it has, the
     *   row may have returned to this holder after another one took over, unless the lease is
     *   valid.
     */
    public fun conflicted(
        state: CoordinatorLeaseState.LeaseHolder,
        record: CoordinatorLeaseRecord?,
        self: String,
        nowMillis: Long,
        isSameEra: Boolean = true
    ): CoordinatorLeaseState = if (record != null &&
        record.holder == self &&
        record.fence == state.fence &&
        (isSameEra || isValid(state, nowMillis))
    ) {
        state.copy(version = record.version)
    } else {
        CoordinatorLeaseState.Standby(record, nowMillis)
    }

    /**
     * Returns the state after a renewal succeeded in another era of the store than the row was last
     * read or written in. It may have replaced the row of another holder.
     */
    public fun displaced(): CoordinatorLeaseState = CoordinatorLeaseState.Standby()

    /** Returns whether this process holds the lease and its quiet period has passed. */
    public fun mayAct(state: CoordinatorLeaseState, nowMillis: Long): Boolean =
        state is CoordinatorLeaseState.LeaseHolder &&
            nowMillis >= state.actsFromMillis &&
            isValid(state, nowMillis)

    /** Returns whether this process holds the lease and it has not expired. */
    public fun isValid(state: CoordinatorLeaseState, nowMillis: Long): Boolean =
        state is CoordinatorLeaseState.LeaseHolder &&
            nowMillis - state.confirmedAtMillis < times.ttlMillis

    /**
     * Returns whether the row was written in the present era, so that no holder that the store has
     * lost can still act: the writer of the first such row waited for it.
     */
    private fun isOfThisEra(state: CoordinatorLeaseState.Standby): Boolean =
        state.era <= FIRST_ERA || state.record?.era == state.era

    private fun isRelinquished(
        state: CoordinatorLeaseState.Standby,
        record: CoordinatorLeaseRecord
    ): Boolean = record.isReleased || state.relinquishedFence >= record.fence

    private fun quiet(): Long = times.quietMillis + times.marginMillis

    private companion object {
        /** A store that has lost nothing yet counts this or, if it counts no eras, 0. */
        const val FIRST_ERA = 1L

        /** More than the store can give out versions. */
        const val FENCES_PER_ERA = 1_000_000_000_000L
    }
}
