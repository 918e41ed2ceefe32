package cactusfold.decisions.holding

/**
 * The lease row as the store shows it.
 *
 * @property version of the row; rises with each write.
 * @property isReleased whether its holder has given it up.
 * @property isOwnVm whether its holder ran on the reader's VM; it has ended, or is the reader.
 * @property isSettled whether the quiet time before its holder's first action has passed.
 */
public data class CoordinatorLeaseRecord(
    public val holder: String,
    public val fence: Long,
    public val version: Long,
    public val isReleased: Boolean,
    public val isOwnVm: Boolean = false,
    public val isSettled: Boolean = false
)

/**
 * What a holder said of its lease.
 *
 * @property version of the row that it wrote last.
 * @property confirmedAtMillis a moment no earlier than the sending of that write.
 */
public data class AnnouncedRenewal(public val version: Long, public val confirmedAtMillis: Long)

/** A process's part in holding one lease. */
public sealed interface CoordinatorLeaseState {
    /**
     * Another process holds it, or nobody.
     *
     * @property record the row as last read; null when there is none.
     * @property unchangedSinceMillis when the row was first read in this version.
     * @property relinquishedFence a fence whose holder has promised to act no more.
     * @property heard what the holder said last.
     */
    public data class Standby(
        public val record: CoordinatorLeaseRecord? = null,
        public val unchangedSinceMillis: Long? = null,
        public val relinquishedFence: Long = 0,
        public val heard: AnnouncedRenewal? = null
    ) : CoordinatorLeaseState

    /**
     * This process holds it.
     *
     * @property confirmedAtMillis when the last write that succeeded was sent.
     * @property actsFromMillis when the predecessor's last action is surely past.
     */
    public data class LeaseHolder(
        public val fence: Long,
        public val version: Long,
        public val confirmedAtMillis: Long,
        public val actsFromMillis: Long
    ) : CoordinatorLeaseState
}

/**
 * Times of a lease.
 *
 * @property validMillis how long a holder may act after it sent a write that succeeded.
 * @property quietMillis the time that must lie between the actions of two holders.
 * @property marginMillis what a taker waits longer, for clocks that run at different speeds.
 */
public data class CoordinatorLeaseSettings(
    public val validMillis: Long,
    public val quietMillis: Long,
    public val marginMillis: Long
)

/**
 * Decides who holds a lease that is kept as one row, renewed by conditional writes.
 *
 * Each process counts on a clock of its own that goes on while it is suspended. A holder counts from
 * the sending of its renewal; a taker counts from its first reading of a row that has not changed
 * since, which its own conditional write proves, or from what the holder itself said of that version.
 */
public class CoordinatorLeaseMachine(private val times: CoordinatorLeaseSettings) {
    /** Returns the state after the row was read as [record]. */
    public fun observed(
        state: CoordinatorLeaseState,
        record: CoordinatorLeaseRecord?,
        nowMillis: Long
    ): CoordinatorLeaseState = when (state) {
        is CoordinatorLeaseState.LeaseHolder -> state
        is CoordinatorLeaseState.Standby -> {
            val isSame = state.unchangedSinceMillis != null && state.record == record
            val heard = state.heard?.takeIf { it.version == record?.version }
            val since = when {
                isSame -> state.unchangedSinceMillis
                heard != null -> minOf(heard.confirmedAtMillis, nowMillis)
                else -> nowMillis
            }
            state.copy(record = record, unchangedSinceMillis = since)
        }
    }

    /** Returns the state after the holder under [fence] has promised to act no more. */
    public fun promised(state: CoordinatorLeaseState, fence: Long): CoordinatorLeaseState =
        when (state) {
            is CoordinatorLeaseState.LeaseHolder -> state
            is CoordinatorLeaseState.Standby -> state.copy(
                relinquishedFence = maxOf(state.relinquishedFence, fence)
            )
        }

    /** Returns the state after the holder told of its last renewal. */
    public fun heard(
        state: CoordinatorLeaseState,
        renewal: AnnouncedRenewal
    ): CoordinatorLeaseState = when (state) {
        is CoordinatorLeaseState.LeaseHolder -> state
        is CoordinatorLeaseState.Standby -> state.copy(heard = renewal)
    }

    /** Returns whether a process that watches may write the row for itself. */
    public fun mayTakeOver(state: CoordinatorLeaseState, nowMillis: Long): Boolean {
        if (state !is CoordinatorLeaseState.Standby ||
            state.unchangedSinceMillis == null
        ) {
            return false
        }
        val record = state.record ?: return true
        if (isQuiet(state, record)) return true
        val waited = nowMillis - state.unchangedSinceMillis
        return waited >= times.validMillis + times.marginMillis
    }

    /** Returns the fence to take the lease with. */
    public fun nextFence(state: CoordinatorLeaseState.Standby): Long =
        (state.record?.fence ?: 0) + 1

    /**
     * Returns the state after the row was written for this process.
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
     * Returns whether no other VM can have acted within the quiet time: there was no holder before, or
     * the one before ran on this VM and had itself waited for all others.
     */
    public fun canActImmediately(state: CoordinatorLeaseState.Standby): Boolean {
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
     * Returns the state after a renewal met another version of the row. The holder's own write whose
     * reply was lost teaches the version and lengthens nothing.
     */
    public fun conflicted(
        state: CoordinatorLeaseState.LeaseHolder,
        record: CoordinatorLeaseRecord?,
        self: String,
        nowMillis: Long
    ): CoordinatorLeaseState = if (record != null &&
        record.holder == self &&
        record.fence == state.fence
    ) {
        state.copy(version = record.version)
    } else {
        CoordinatorLeaseState.Standby(record, nowMillis)
    }

    /** Returns whether this process may act as the holder. */
    public fun mayAct(state: CoordinatorLeaseState, nowMillis: Long): Boolean =
        state is CoordinatorLeaseState.LeaseHolder &&
            nowMillis >= state.actsFromMillis &&
            isValid(state, nowMillis)

    /** Returns whether the lease has not lapsed. */
    public fun isValid(state: CoordinatorLeaseState, nowMillis: Long): Boolean =
        state is CoordinatorLeaseState.LeaseHolder &&
            nowMillis - state.confirmedAtMillis < times.validMillis

    private fun isQuiet(
        state: CoordinatorLeaseState.Standby,
        record: CoordinatorLeaseRecord
    ): Boolean = record.isReleased || state.relinquishedFence >= record.fence

    private fun quiet(): Long = times.quietMillis + times.marginMillis
}
