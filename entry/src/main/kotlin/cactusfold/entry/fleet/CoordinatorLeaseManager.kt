package cactusfold.entry.fleet

import cactusfold.decisions.holding.HeardRenewal
import cactusfold.decisions.holding.HoldMachine
import cactusfold.decisions.holding.HoldRecord
import cactusfold.decisions.holding.HoldState
import cactusfold.entry.process.EventLog
import cactusfold.node.time.MonotonicClock
import cactusfold.ports.table.ReadResult
import cactusfold.ports.table.Row
import cactusfold.ports.table.RowKey
import cactusfold.ports.table.RowWrite
import cactusfold.ports.table.TableStore
import cactusfold.ports.table.WriteResult
import cactusfold.protocol.entry.StoredHold
import cactusfold.settings.schema.HostPort
import com.google.protobuf.InvalidProtocolBufferException
import kotlin.random.Random
import kotlinx.coroutines.delay

/** Where the coordinator can be reached. */
public data class CoordinatorAddress(
    public val vm: String,
    public val address: HostPort,
    public val fence: Long
)

/** Keeps the coordinator's lease: takes it when nobody holds it, renews it while held. */
public class CoordinatorLeaseManager(
    private val table: TableStore,
    private val machine: HoldMachine,
    private val clock: MonotonicClock,
    private val events: EventLog,
    private val self: StoredHold,
    private val renewMillis: Long,
    private val isConnected: () -> Boolean
) {
    private val key = RowKey(TABLE, ROW)
    private var state: HoldState = HoldState.Watching()
    private var isStopping = false

    /** The coordinator that the row named last; null before it was read. */
    public var coordinator: CoordinatorAddress? = null
        private set

    /** Called when this process becomes the coordinator, with its fence. */
    public var onLeaseAcquired: (Long) -> Unit = {}

    /** Called when this process ceases to be the coordinator, with its fence. */
    public var onLeaseLost: (Long) -> Unit = {}

    /** Whether this process is the coordinator. */
    public val isCoordinator: Boolean get() = machine.isValid(state, clock.nowMillis())

    /** Whether this process may order anything now. */
    public val mayAct: Boolean get() = machine.mayAct(state, clock.nowMillis())

    /** The fence of this process while it is the coordinator, else 0. */
    public val fence: Long get() = (state as? HoldState.Holding)?.fence ?: 0

    /** This process's last renewal, for the members; null while it is not the coordinator. */
    public val renewal: HeardRenewal?
        get() = (state as? HoldState.Holding)?.let {
            HeardRenewal(it.version, it.confirmedAtMillis)
        }

    /** Takes note of what the coordinator said of its last renewal. */
    public fun recordRenewal(renewal: HeardRenewal) {
        state = machine.heard(state, renewal)
    }

    /** Takes note that the coordinator under [fence] promised to act no more. */
    public fun recordRelease(fence: Long) {
        state = machine.promised(state, fence)
    }

    /** Takes or renews the lease until cancelled. */
    public suspend fun run() {
        while (true) {
            when (val now = state) {
                is HoldState.Holding -> renew(now)
                is HoldState.Watching -> checkLease()
            }
        }
    }

    /** Gives the lease up for good. */
    public suspend fun release() {
        isStopping = true
        val holding = state as? HoldState.Holding ?: return
        state = HoldState.Watching()
        onLeaseLost(holding.fence)
        val isSettled = clock.nowMillis() >= holding.actsFromMillis
        val value = leaseValue(holding.fence, isSettled).setIsReleased(true).build().toByteString()
        table.write(listOf(RowWrite.Replace(key, holding.version, value)))
        events.write("lease-released", "fence" to holding.fence)
    }

    private suspend fun renew(holding: HoldState.Holding) {
        delay(renewMillis)
        if (state !== holding) return
        val sentAtMillis = clock.nowMillis()
        val isSettled = sentAtMillis >= holding.actsFromMillis
        val value = leaseValue(holding.fence, isSettled).build().toByteString()
        val result = table.write(listOf(RowWrite.Replace(key, holding.version, value)))
        if (state !== holding) return
        when (result) {
            is WriteResult.Written ->
                state = machine.renewed(holding, result.version ?: holding.version, sentAtMillis)
            is WriteResult.Conflict, is WriteResult.Unknown -> resolveConflict(holding)
            is WriteResult.NotWritten -> delay(RETRY_DELAY_MILLIS)
        }
        if (!machine.isValid(state, clock.nowMillis())) recordLoss(holding)
    }

    private suspend fun resolveConflict(holding: HoldState.Holding) {
        val read = table.get(key)
        if (read is ReadResult.Found && state === holding) {
            state =
                machine.conflicted(
                    holding,
                    decodeLease(read.value),
                    self.vm + self.boot,
                    clock.nowMillis()
                )
        }
    }

    private fun recordLoss(holding: HoldState.Holding) {
        if (state is HoldState.Holding) state = HoldState.Watching()
        events.write("lease-lost", "fence" to holding.fence)
        onLeaseLost(holding.fence)
    }

    private suspend fun checkLease() {
        if (isStopping || (isConnected() && coordinator != null)) return delay(IDLE_INTERVAL_MILLIS)
        val read = table.get(key)
        if (read is ReadResult.Found) {
            state = machine.observed(state, decodeLease(read.value), clock.nowMillis())
            if (machine.mayTake(state, clock.nowMillis()) && !isStopping) return takeOver()
        }
        delay(MIN_READ_INTERVAL_MILLIS + Random.nextLong(MIN_READ_INTERVAL_MILLIS))
    }

    private suspend fun takeOver() {
        val watching = state as? HoldState.Watching ?: return
        val fence = machine.nextFence(watching)
        val value = leaseValue(fence, machine.hasNoOtherBefore(watching)).build().toByteString()
        val sentAtMillis = clock.nowMillis()
        val write = watching.record?.let { RowWrite.Replace(key, it.version, value) }
            ?: RowWrite.Insert(key, value)
        when (val result = table.write(listOf(write))) {
            is WriteResult.Written -> {
                val version = result.version ?: 0
                state = machine.took(watching, version, sentAtMillis, clock.nowMillis())
                coordinator = CoordinatorAddress(self.vm, HostPort.parse(self.address), fence)
                events.write("lease-taken", "fence" to fence, "before" to watching.record?.holder)
                onLeaseAcquired(fence)
            }
            // The next reading tells what became of it.
            is WriteResult.Conflict, is WriteResult.Unknown, is WriteResult.NotWritten ->
                delay(Random.nextLong(RETRY_DELAY_MILLIS))
        }
    }

    private fun leaseValue(fence: Long, isSettled: Boolean): StoredHold.Builder =
        self.toBuilder().setFence(fence).setIsSettled(isSettled)

    /** A row that another program wrote names no coordinator and may be taken over. */
    private fun decodeLease(row: Row?): HoldRecord? {
        if (row == null) return null
        val hold = try {
            StoredHold.parseFrom(row.value)
        } catch (e: InvalidProtocolBufferException) {
            events.write("lease-unreadable", "reason" to e.message)
            return HoldRecord("", 0, row.version, isReleased = false)
        }
        if (hold.address.isNotEmpty() && hold.address != self.address) {
            coordinator = CoordinatorAddress(hold.vm, HostPort.parse(hold.address), hold.fence)
        }
        // An earlier process at this address is gone, or this one could not listen here.
        val isPredecessor = hold.address == self.address && hold.boot != self.boot
        val isReleased = hold.isReleased || isPredecessor
        return HoldRecord(
            holder = hold.vm + hold.boot,
            fence = hold.fence,
            version = row.version,
            isReleased = isReleased,
            isOwnVm = hold.address == self.address,
            isSettled = hold.isSettled
        )
    }

    private companion object {
        const val TABLE = "lease"
        const val ROW = "coordinator"

        /** Pause between two looks while the coordinator is heard. */
        const val IDLE_INTERVAL_MILLIS = 100L

        /** Least pause between two readings of the row; at most twice that. */
        const val MIN_READ_INTERVAL_MILLIS = 400L
        const val RETRY_DELAY_MILLIS = 100L
    }
}
