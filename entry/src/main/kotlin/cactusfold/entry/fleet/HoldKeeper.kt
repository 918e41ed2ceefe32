package cactusfold.entry.fleet

import cactusfold.decisions.holding.AnnouncedRenewal
import cactusfold.decisions.holding.CoordinatorLeaseMachine
import cactusfold.decisions.holding.CoordinatorLeaseRecord
import cactusfold.decisions.holding.CoordinatorLeaseState
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
public class HoldKeeper(
    private val table: TableStore,
    private val machine: CoordinatorLeaseMachine,
    private val clock: MonotonicClock,
    private val events: EventLog,
    private val self: StoredHold,
    private val renewMillis: Long,
    private val isLinked: () -> Boolean
) {
    private val key = RowKey(TABLE, ROW)
    private var state: CoordinatorLeaseState = CoordinatorLeaseState.Standby()
    private var isStopping = false

    /** The coordinator that the row named last; null before it was read. */
    public var coordinator: CoordinatorAddress? = null
        private set

    /** Called when this process becomes the coordinator, with its fence. */
    public var onTaken: (Long) -> Unit = {}

    /** Called when this process ceases to be the coordinator, with its fence. */
    public var onLost: (Long) -> Unit = {}

    /** Whether this process is the coordinator. */
    public val isCoordinator: Boolean get() = machine.isValid(state, clock.nowMillis())

    /** Whether this process may order anything now. */
    public val mayAct: Boolean get() = machine.mayAct(state, clock.nowMillis())

    /** The fence of this process while it is the coordinator, else 0. */
    public val fence: Long get() = (state as? CoordinatorLeaseState.LeaseHolder)?.fence ?: 0

    /** This process's last renewal, for the members; null while it is not the coordinator. */
    public val renewal: AnnouncedRenewal?
        get() = (state as? CoordinatorLeaseState.LeaseHolder)?.let {
            AnnouncedRenewal(it.version, it.confirmedAtMillis)
        }

    /** Takes note of what the coordinator said of its last renewal. */
    public fun heard(renewal: AnnouncedRenewal) {
        state = machine.heard(state, renewal)
    }

    /** Takes note that the coordinator under [fence] promised to act no more. */
    public fun promised(fence: Long) {
        state = machine.promised(state, fence)
    }

    /** Takes or renews the lease until cancelled. */
    public suspend fun run() {
        while (true) {
            when (val now = state) {
                is CoordinatorLeaseState.LeaseHolder -> renew(now)
                is CoordinatorLeaseState.Standby -> watch()
            }
        }
    }

    /** Gives the lease up for good. */
    public suspend fun release() {
        isStopping = true
        val holding = state as? CoordinatorLeaseState.LeaseHolder ?: return
        state = CoordinatorLeaseState.Standby()
        onLost(holding.fence)
        val isSettled = clock.nowMillis() >= holding.actsFromMillis
        val value = stored(holding.fence, isSettled).setIsReleased(true).build().toByteString()
        table.write(listOf(RowWrite.Replace(key, holding.version, value)))
        events.write("lease-released", "fence" to holding.fence)
    }

    private suspend fun renew(holding: CoordinatorLeaseState.LeaseHolder) {
        delay(renewMillis)
        if (state !== holding) return
        val sentAtMillis = clock.nowMillis()
        val isSettled = sentAtMillis >= holding.actsFromMillis
        val value = stored(holding.fence, isSettled).build().toByteString()
        val result = table.write(listOf(RowWrite.Replace(key, holding.version, value)))
        if (state !== holding) return
        when (result) {
            is WriteResult.Written ->
                state = machine.renewed(holding, result.version ?: holding.version, sentAtMillis)
            is WriteResult.Conflict, is WriteResult.Unknown -> readBack(holding)
            is WriteResult.NotWritten -> delay(RETRY_MILLIS)
        }
        if (!machine.isValid(state, clock.nowMillis())) lose(holding)
    }

    private suspend fun readBack(holding: CoordinatorLeaseState.LeaseHolder) {
        val read = table.get(key)
        if (read is ReadResult.Found && state === holding) {
            state =
                machine.conflicted(
                    holding,
                    recordOf(read.value),
                    self.vm + self.boot,
                    clock.nowMillis()
                )
        }
    }

    private fun lose(holding: CoordinatorLeaseState.LeaseHolder) {
        if (state is CoordinatorLeaseState.LeaseHolder) state = CoordinatorLeaseState.Standby()
        events.write("lease-lost", "fence" to holding.fence)
        onLost(holding.fence)
    }

    private suspend fun watch() {
        if (isStopping || (isLinked() && coordinator != null)) return delay(IDLE_MILLIS)
        val read = table.get(key)
        if (read is ReadResult.Found) {
            state = machine.observed(state, recordOf(read.value), clock.nowMillis())
            if (machine.mayTakeOver(state, clock.nowMillis()) && !isStopping) return take()
        }
        delay(WATCH_MILLIS + Random.nextLong(WATCH_MILLIS))
    }

    private suspend fun take() {
        val watching = state as? CoordinatorLeaseState.Standby ?: return
        val fence = machine.nextFence(watching)
        val value = stored(fence, machine.canActImmediately(watching)).build().toByteString()
        val sentAtMillis = clock.nowMillis()
        val write = watching.record?.let { RowWrite.Replace(key, it.version, value) }
            ?: RowWrite.Insert(key, value)
        when (val result = table.write(listOf(write))) {
            is WriteResult.Written -> {
                val version = result.version ?: 0
                state = machine.took(watching, version, sentAtMillis, clock.nowMillis())
                coordinator = CoordinatorAddress(self.vm, HostPort.parse(self.address), fence)
                events.write("lease-taken", "fence" to fence, "before" to watching.record?.holder)
                onTaken(fence)
            }
            // The next reading tells what became of it.
            is WriteResult.Conflict, is WriteResult.Unknown, is WriteResult.NotWritten ->
                delay(Random.nextLong(RETRY_MILLIS))
        }
    }

    private fun stored(fence: Long, isSettled: Boolean): StoredHold.Builder =
        self.toBuilder().setFence(fence).setIsSettled(isSettled)

    /** A row that another program wrote names no coordinator and may be taken over. */
    private fun recordOf(row: Row?): CoordinatorLeaseRecord? {
        if (row == null) return null
        val hold = try {
            StoredHold.parseFrom(row.value)
        } catch (e: InvalidProtocolBufferException) {
            events.write("lease-unreadable", "reason" to e.message)
            return CoordinatorLeaseRecord("", 0, row.version, isReleased = false)
        }
        if (hold.address.isNotEmpty() && hold.address != self.address) {
            coordinator = CoordinatorAddress(hold.vm, HostPort.parse(hold.address), hold.fence)
        }
        // An earlier process at this address is gone, or this one could not listen here.
        val isPredecessor = hold.address == self.address && hold.boot != self.boot
        val isReleased = hold.isReleased || isPredecessor
        return CoordinatorLeaseRecord(
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
        const val IDLE_MILLIS = 100L

        /** Least pause between two readings of the row; at most twice that. */
        const val WATCH_MILLIS = 400L
        const val RETRY_MILLIS = 100L
    }
}
