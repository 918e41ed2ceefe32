package cactusfold.entry.fleet

import cactusfold.decisions.holding.AnnouncedRenewal
import cactusfold.decisions.holding.CoordinatorLeaseMachine
import cactusfold.decisions.holding.CoordinatorLeaseRecord
import cactusfold.decisions.holding.CoordinatorLeaseState
import cactusfold.entry.process.EventLog
import cactusfold.entry.process.StoredRows
import cactusfold.node.time.MonotonicClock
import cactusfold.ports.table.ReadResult
import cactusfold.ports.table.Row
import cactusfold.ports.table.RowKey
import cactusfold.ports.table.RowWrite
import cactusfold.ports.table.TableStore
import cactusfold.ports.table.WriteResult
import cactusfold.protocol.entry.StoredHold
import cactusfold.settings.schema.HostPort
import kotlin.random.Random
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull

/** Address of the coordinator that holds the lease under the fencing token [fence]. */
public data class CoordinatorAddress(
    public val vm: String,
    public val address: HostPort,
    public val fence: Long
)

/** Takes the coordinator's lease when it is free or expired, and renews it while held. */
public class CoordinatorLeaseManager(
    private val table: TableStore,
    private val machine: CoordinatorLeaseMachine,
    private val clock: MonotonicClock,
    private val events: EventLog,
    private val storedRows: StoredRows,
    private val self: StoredHold,
    private val renewMillis: Long,
    private val takeoverDelayMillis: Long,
    private val readIntervalMillis: () -> Long,
    private val connectedUntilMillis: () -> Long
) {
    private val contactLost = Channel<Unit>(Channel.CONFLATED)
    private val released = Channel<Unit>(Channel.CONFLATED)
    private val key = RowKey(TABLE, ROW)
    private var state: CoordinatorLeaseState = CoordinatorLeaseState.Standby()
    private var isStopping = false
    private var era = 0L

    /** The lease holder as last read or written; null until the lease row has been read. */
    public var coordinator: CoordinatorAddress? = null
        private set(value) {
            val isOther = value != field
            field = value
            if (isOther) onCoordinatorChanged()
        }

    /** Called when another process, or this one, has become the coordinator. */
    public var onCoordinatorChanged: () -> Unit = {}

    /** Called with the fencing token when this process becomes the coordinator. */
    public var onLeaseAcquired: (Long) -> Unit = {}

    /** Called with the fencing token when this process ceases to be the coordinator. */
    public var onLeaseLost: (Long) -> Unit = {}

    /** Whether this process is the coordinator. */
    public val isCoordinator: Boolean get() = machine.isValid(state, clock.nowMillis())

    /**
     * Whether this process may send orders: it holds the lease, and the quiet time after the
     * previous holder has passed.
     */
    public val mayAct: Boolean get() = machine.mayAct(state, clock.nowMillis())

    /** The fencing token of this process while it is the coordinator, else 0. */
    public val fence: Long get() = (state as? CoordinatorLeaseState.LeaseHolder)?.fence ?: 0

    /** The last renewal by this process, sent to members; null if it is not the coordinator. */
    public val renewal: AnnouncedRenewal?
        get() = (state as? CoordinatorLeaseState.LeaseHolder)?.let {
            AnnouncedRenewal(it.version, it.confirmedAtMillis, era)
        }

    /** Records the last lease renewal that the coordinator announced. */
    public fun recordRenewal(renewal: AnnouncedRenewal) {
        state = machine.heard(state, renewal)
    }

    /** Records that the coordinator with the fencing token [fence] has stopped acting. */
    public fun recordRelease(fence: Long) {
        val before = state
        state = machine.promised(state, fence)
        // A process that is not the coordinator any more repeats it at each attempt to connect.
        if (state != before) released.trySend(Unit)
    }

    /** Has the lease row read again, since the coordinator is not connected any more. */
    public fun contactLost() {
        contactLost.trySend(Unit)
    }

    /** Takes or renews the lease until cancelled. */
    public suspend fun run() {
        while (true) {
            when (val now = state) {
                is CoordinatorLeaseState.LeaseHolder -> renew(now)
                is CoordinatorLeaseState.Standby -> checkLease()
            }
        }
    }

    /** Releases the lease and does not take it again. */
    public suspend fun release() {
        isStopping = true
        val holding = state as? CoordinatorLeaseState.LeaseHolder ?: return
        state = CoordinatorLeaseState.Standby()
        onLeaseLost(holding.fence)
        val isSettled = clock.nowMillis() >= holding.actsFromMillis
        val value = leaseValue(holding.fence, isSettled).setIsReleased(true).build().toByteString()
        table.write(listOf(RowWrite.Replace(key, holding.version, value)))
        events.write("lease-released", "fence" to holding.fence)
    }

    private suspend fun renew(holding: CoordinatorLeaseState.LeaseHolder) {
        delay(renewMillis)
        if (state !== holding) return
        val sentAtMillis = clock.nowMillis()
        val isSettled = sentAtMillis >= holding.actsFromMillis
        val value = leaseValue(holding.fence, isSettled).build().toByteString()
        val result = table.write(listOf(RowWrite.Replace(key, holding.version, value)))
        if (state !== holding) return
        when (result) {
            is WriteResult.Written -> if (result.era == era) {
                state = machine.renewed(holding, result.version ?: holding.version, sentAtMillis)
            } else {
                state = machine.displaced()
            }
            is WriteResult.Conflict, is WriteResult.Unknown -> resolveConflict(holding)
            is WriteResult.NotWritten -> delay(RETRY_DELAY_MILLIS)
        }
        if (!machine.isValid(state, clock.nowMillis())) recordLoss(holding)
    }

    private suspend fun resolveConflict(holding: CoordinatorLeaseState.LeaseHolder) {
        val read = table.get(key)
        if (read is ReadResult.Found && state === holding) {
            val isSameEra = read.era == era
            noteEra(read.era)
            state =
                machine.conflicted(
                    holding,
                    decodeLease(read.value),
                    self.vm + self.boot,
                    clock.nowMillis(),
                    isSameEra
                )
        }
    }

    private fun recordLoss(holding: CoordinatorLeaseState.LeaseHolder) {
        if (state is CoordinatorLeaseState.LeaseHolder) state = CoordinatorLeaseState.Standby()
        events.write("lease-lost", "fence" to holding.fence)
        onLeaseLost(holding.fence)
    }

    private suspend fun checkLease() {
        val connectedMillis = connectedUntilMillis() - clock.nowMillis()
        if (connectedMillis > 0 && coordinator != null) {
            withTimeoutOrNull(connectedMillis) { contactLost.receive() }
            return
        }
        val read = table.get(key)
        if (read is ReadResult.Found) {
            observe(read)
            if (machine.mayTakeOver(state, clock.nowMillis()) && !isStopping) {
                return takeOverAfterDelay()
            }
        }
        withTimeoutOrNull(jittered(readIntervalMillis())) { released.receive() }
    }

    private fun jittered(millis: Long): Long =
        millis - millis / JITTER_DIVISOR + Random.nextLong(2 * millis / JITTER_DIVISOR + 1)

    private fun observe(read: ReadResult.Found<Row?>) {
        noteEra(read.era)
        state = machine.observed(state, decodeLease(read.value), clock.nowMillis(), read.era)
    }

    /**
     * Leaves the lease to a faster VM, unless this process follows another one on its own VM, which
     * needs no quiet time.
     */
    private suspend fun takeOverAfterDelay() {
        val isOwnVm = (state as? CoordinatorLeaseState.Standby)?.record?.isOwnVm ?: false
        if (takeoverDelayMillis > 0 && !isOwnVm) {
            delay(takeoverDelayMillis)
            val read = table.get(key) as? ReadResult.Found ?: return
            observe(read)
            if (!machine.mayTakeOver(state, clock.nowMillis()) || isStopping) return
        }
        takeOver()
    }

    private fun noteEra(read: Long) {
        if (read == era) return
        if (era != 0L) events.write("store-era", "for" to "lease", "era" to read, "before" to era)
        era = read
    }

    private suspend fun takeOver() {
        val watching = state as? CoordinatorLeaseState.Standby ?: return
        val fence = machine.nextFence(watching)
        val value = leaseValue(fence, machine.canActImmediately(watching)).build().toByteString()
        val sentAtMillis = clock.nowMillis()
        val write = watching.record?.let { RowWrite.Replace(key, it.version, value) }
            ?: RowWrite.Insert(key, value)
        when (val result = table.write(listOf(write))) {
            // The row that was replaced is not the one that was read.
            is WriteResult.Written -> if (result.era != watching.era) {
                delay(Random.nextLong(RETRY_DELAY_MILLIS))
            } else {
                val version = result.version ?: 0
                state = machine.took(watching, version, sentAtMillis, clock.nowMillis())
                coordinator = CoordinatorAddress(self.vm, HostPort.parse(self.address), fence)
                events.write("lease-taken", "fence" to fence, "before" to watching.record?.holder)
                onLeaseAcquired(fence)
            }
            // The next read of the row shows the result of the write.
            is WriteResult.Conflict, is WriteResult.Unknown, is WriteResult.NotWritten ->
                delay(Random.nextLong(RETRY_DELAY_MILLIS))
        }
    }

    private fun leaseValue(fence: Long, isSettled: Boolean): StoredHold.Builder =
        self.toBuilder().setFence(fence).setIsSettled(isSettled).setEra(era)

    private fun decodeLease(row: Row?): CoordinatorLeaseRecord? {
        if (row == null) return null
        val hold = storedRows.decode(
            TABLE,
            ROW,
            row.version,
            row.value.toByteArray(),
            StoredHold::parseFrom
        ) ?: return unknownHolder(row.version)
        noteCoordinator(hold, row.version)
        // Only one process can listen on this address, so the earlier incarnation has ended.
        val isPredecessor = hold.address == self.address && hold.boot != self.boot
        val isReleased = hold.isReleased || isPredecessor
        return CoordinatorLeaseRecord(
            holder = hold.vm + hold.boot,
            fence = hold.fence,
            version = row.version,
            isReleased = isReleased,
            isOwnVm = hold.address == self.address,
            isSettled = hold.isSettled,
            era = hold.era
        )
    }

    /** A coordinator whose address has another form is not found, but holds the lease. */
    private fun noteCoordinator(hold: StoredHold, version: Long) {
        if (hold.address.isEmpty() || hold.address == self.address) return
        val address = HostPort.parseOrNull(hold.address)
        if (address == null) {
            storedRows.unreadable(TABLE, ROW, version, "the address is '${hold.address}'")
        } else {
            coordinator = CoordinatorAddress(hold.vm, address, hold.fence)
        }
    }

    /**
     * A row that cannot be read may be that of a holder who acts: it may be taken over only when it
     * has not changed for the time of a lease. Each fence took a write, so none exceeds [version].
     */
    private fun unknownHolder(version: Long) =
        CoordinatorLeaseRecord("", fence = version, version, isReleased = false)

    private companion object {
        const val TABLE = "lease"
        const val ROW = "coordinator"

        /** Intervals between reads of the row vary by a third, so that processes spread. */
        const val JITTER_DIVISOR = 3
        const val RETRY_DELAY_MILLIS = 100L
    }
}
