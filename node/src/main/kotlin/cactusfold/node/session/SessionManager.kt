package cactusfold.node.session

import cactusfold.decisions.lease.LeaseEffect
import cactusfold.decisions.lease.LeaseEvent
import cactusfold.decisions.lease.LeaseMachine
import cactusfold.decisions.lease.LeaseSettings
import cactusfold.decisions.lease.LeaseState
import cactusfold.decisions.lease.SessionRow
import cactusfold.decisions.lease.ShardRow
import cactusfold.node.events.EventRing
import cactusfold.node.events.NodeEvent
import cactusfold.node.process.ProcessIdentity
import cactusfold.node.rows.Rows
import cactusfold.node.state.GuardedState
import cactusfold.node.time.MonotonicClock
import cactusfold.node.time.TimerService
import cactusfold.ports.table.ReadResult
import cactusfold.ports.table.Row
import cactusfold.ports.table.RowWrite
import cactusfold.ports.table.TableStore
import cactusfold.ports.table.WriteResult
import cactusfold.protocol.StoredSession
import cactusfold.protocol.StoredShard
import cactusfold.settings.schema.HostPort
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.ThreadLocalRandom
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.apache.logging.log4j.LogManager

/**
 * Runs the [LeaseMachine]: maintains the session and shard leases of this process in the platform's
 * table, and reads those of other processes.
 *
 * The counter of a session is the version of its row, so a renewal replaces the row on condition
 * that it still has the last known version.
 */
public class SessionManager(
    private val self: SelfDescription,
    settings: LeaseSettings,
    private val table: TableStore,
    private val clock: MonotonicClock,
    private val timers: TimerService,
    private val scope: CoroutineScope,
    private val events: EventRing
) {
    private val machine = LeaseMachine(settings)
    private val state = GuardedState(newState())
    private val listeners = CopyOnWriteArrayList<ShardListener>()

    @Volatile
    private var sessionRows: Map<String, StoredSession> = emptyMap()

    @Volatile
    private var shardRows: Map<String, StoredShard> = emptyMap()

    @Volatile
    private var lastReadAtMillis: Long? = null

    @Volatile
    private var listBytes = 0L

    @Volatile
    private var registeredAtMillis: Long? = null

    private val refreshedAtMillis = ConcurrentHashMap<String, Long>()

    /** The name of the current session, which no other session ever has. */
    public val session: String get() = state.value.self

    /** The processes that have a session row, whether or not their session has expired. */
    public val members: List<FleetMember> get() = sessionRows.values.map(::memberOf)

    /** When all sessions and shards were last read from the table, or null if never. */
    public val readAtMillis: Long? get() = lastReadAtMillis

    /** Whether the session of this process has not expired. */
    public val isLive: Boolean get() = state.value.isLive(clock.nowMillis())

    /** Returns whether the session was registered at least [ageMillis] ago and has not expired. */
    public fun isRegisteredFor(ageMillis: Long): Boolean {
        val since = registeredAtMillis ?: return false
        return isLive && clock.nowMillis() - since >= ageMillis
    }

    /** The shards that this process holds now, with their fencing tokens. */
    public val heldShards: Map<String, Long>
        get() = state.value.takeIf { it.isLive(clock.nowMillis()) }?.held.orEmpty()

    public fun listen(listener: ShardListener) {
        listeners += listener
    }

    /**
     * Starts renewing the session and reading the table. The holders of shards that this process
     * would take over are read every [readEveryMillis]. The interval between reads of all rows
     * grows with their size, to stay within [LIST_BYTES_PER_SECOND].
     */
    public fun start(readEveryMillis: Long) {
        timers.subscribe("session-renewal", RENEWAL_CHECK_MILLIS) { apply(LeaseEvent.Tick) }
        timers.subscribe("session-watch", readEveryMillis) { readWatched() }
        timers.subscribe("session-list", readEveryMillis) { readTableIfDue(readEveryMillis) }
    }

    /** Sets the shards that should have a holder. */
    public fun setWantedShards(shards: Set<String>) {
        apply(LeaseEvent.ShardsWanted(shards))
    }

    /** Returns the fencing token of [shard], or null if this process does not hold it now. */
    public fun fenceOf(shard: String): Long? = state.value.fenceOf(shard, clock.nowMillis())

    /** Returns the holder of [shard] according to the latest read, or null if there was none. */
    public fun holderOf(shard: String): ShardHolder? {
        val row = shardRows[shard]?.takeIf { it.session.isNotEmpty() } ?: return null
        return ShardHolder(row.session, row.fence, HostPort.parse(row.address))
    }

    /** Releases all shards and marks the session as leaving, as part of a graceful shutdown. */
    public suspend fun stop() {
        val effects = state.step { machine.step(it, LeaseEvent.Stop, clock.nowMillis()) }
        effects.forEach { run(it) }
        renew(state.value.counter + 1, true, clock.nowMillis())
    }

    private suspend fun readTableIfDue(readEveryMillis: Long) {
        val last = lastReadAtMillis ?: return readTable()
        val period = (listBytes * MILLIS_PER_SECOND / LIST_BYTES_PER_SECOND)
            .coerceIn(readEveryMillis, MAX_LIST_MILLIS)
        if (clock.nowMillis() - last >= period || hasShardWithoutKnownHolder()) readTable()
    }

    /** Whether a wanted shard has no known holder, which justifies reading all rows early. */
    private fun hasShardWithoutKnownHolder(): Boolean =
        state.value.wanted.any { shard -> shardRows[shard]?.session.isNullOrEmpty() }

    /** Reads all sessions and shards. */
    public suspend fun readTable() {
        val sentAt = clock.nowMillis()
        val sessions = rows(Rows.SESSIONS) ?: return
        val shards = rows(Rows.SHARDS) ?: return
        listBytes = (sessions + shards)
            .sumOf { it.value.size() * ENCODING_FACTOR + ROW_OVERHEAD_BYTES }
        sessionRows = sessions.associate { it.key.sort to StoredSession.parseFrom(it.value) }
        shardRows = shards.associate { it.key.sort to StoredShard.parseFrom(it.value) }
        lastReadAtMillis = clock.nowMillis()
        val rows = shardRows.values.map(::shardRow)
        apply(LeaseEvent.TableRead(sentAt, sessions.map(::sessionRow), rows, endedLocalSessions()))
    }

    private suspend fun readWatched() {
        if (state.value.watched.isEmpty()) return
        for (shard in state.value.watched) refreshHolder(shard)
        val watched = state.value.watchedSessions
        val sentAt = clock.nowMillis()
        val rows = mutableMapOf<String, SessionRow?>()
        for (session in watched) {
            val found = table.get(Rows.session(session)) as? ReadResult.Found ?: continue
            val row = found.value
            if (row != null) {
                sessionRows = sessionRows + (session to StoredSession.parseFrom(row.value))
            }
            rows[session] = row?.let(::sessionRow)
        }
        apply(LeaseEvent.WatchedRead(sentAt, rows, endedLocalSessions()))
    }

    /**
     * Reads the current holder of [shard], for use after a call to the known holder failed. Does
     * nothing if that shard was read less than [MIN_REFRESH_MILLIS] ago.
     */
    public suspend fun refreshHolder(shard: String) {
        val now = clock.nowMillis()
        val last = refreshedAtMillis[shard]
        if (last != null && now - last < MIN_REFRESH_MILLIS) return
        refreshedAtMillis[shard] = now
        val found = table.get(Rows.shard(shard)) as? ReadResult.Found ?: return
        val stored = found.value?.let { StoredShard.parseFrom(it.value) } ?: return
        shardRows = shardRows + (shard to stored)
        apply(LeaseEvent.ShardRead(shardRow(stored)))
    }

    /** Removes the rows of other sessions that have not been renewed for [ageMillis]. */
    public suspend fun removeStale(ageMillis: Long) {
        val now = clock.nowMillis()
        for ((session, observed) in state.value.sessions) {
            if (session == this.session || now - observed.changedAtMillis < ageMillis) continue
            table.write(listOf(RowWrite.Delete(Rows.session(session), observed.row.counter)))
        }
    }

    private suspend fun rows(partition: String): List<Row>? =
        (table.list(partition) as? ReadResult.Found)?.value

    private fun endedLocalSessions(): Set<String> = sessionRows.values
        .filter { self.identity.confirmsExitOf(identityOf(it)) }
        .mapTo(mutableSetOf()) { it.session }

    private fun apply(event: LeaseEvent) {
        val effects = state.step { machine.step(it, event, clock.nowMillis()) }
        effects.forEach { effect -> runOrLaunch(effect) }
    }

    private fun runOrLaunch(effect: LeaseEffect) {
        when (effect) {
            is LeaseEffect.Acquired -> {
                events.add(NodeEvent.LeaseTaken(effect.shard, effect.fence))
                listeners.forEach { it.onShardAcquired(effect.shard, effect.fence) }
            }
            is LeaseEffect.Lost -> {
                events.add(NodeEvent.LeaseLost(effect.shard, effect.fence))
                listeners.forEach { it.onShardLost(effect.shard, effect.fence) }
            }
            else -> scope.launch { run(effect) }
        }
    }

    private suspend fun run(effect: LeaseEffect) {
        when (effect) {
            is LeaseEffect.Renew -> renew(effect.counter, effect.leaving, clock.nowMillis())
            is LeaseEffect.Take -> take(effect)
            is LeaseEffect.Release -> release(effect)
            is LeaseEffect.Acquired, is LeaseEffect.Lost -> runOrLaunch(effect)
        }
    }

    private suspend fun renew(counter: Long, leaving: Boolean, sentAtMillis: Long) {
        val key = Rows.session(session)
        val value = storedSession(leaving).toByteString()
        val write = if (counter == 1L) {
            RowWrite.Insert(key, value)
        } else {
            RowWrite.Replace(key, counter - 1, value)
        }
        when (table.write(listOf(write))) {
            is WriteResult.Written -> {
                if (registeredAtMillis == null) registeredAtMillis = clock.nowMillis()
                apply(LeaseEvent.Renewed(sentAtMillis, counter))
            }
            is WriteResult.Conflict -> reconcileRenewal()
            is WriteResult.NotWritten, is WriteResult.Unknown -> apply(LeaseEvent.RenewalFailed)
        }
    }

    /**
     * Finds out why a renewal conflicted. An earlier renewal whose reply was lost may have raised
     * the version of the row. No other process renews this row, so its version is adopted, but the
     * lease is not extended.
     */
    private suspend fun reconcileRenewal() {
        val found = table.get(Rows.session(session)) as? ReadResult.Found
        val row = found?.value
        when {
            found == null -> apply(LeaseEvent.RenewalFailed)
            row == null -> beginNewSession()
            row.version > state.value.counter -> apply(LeaseEvent.CounterFound(row.version))
            else -> apply(LeaseEvent.RenewalFailed)
        }
    }

    /** Begins a new session after another process has removed the row of this one. */
    private fun beginNewSession() {
        log.warn("session {} was removed by another process; starting a new session", session)
        apply(LeaseEvent.Superseded)
        registeredAtMillis = null
        val wanted = state.value.wanted
        state.update { newState().copy(wanted = wanted) }
    }

    private suspend fun take(effect: LeaseEffect.Take) {
        val key = Rows.shard(effect.shard)
        val row = storedShard(effect.shard, effect.newFence, session).toByteString()
        val write = if (effect.expectedFence == 0L) {
            RowWrite.Insert(key, row)
        } else {
            RowWrite.Replace(key, effect.expectedFence, row)
        }
        when (table.write(listOf(write))) {
            is WriteResult.Written -> apply(LeaseEvent.TakeSucceeded(effect.shard, effect.newFence))
            is WriteResult.Unknown -> resolveTake(effect)
            else -> takeFailed(effect.shard)
        }
    }

    private suspend fun takeFailed(shard: String) {
        apply(LeaseEvent.TakeFailed(shard))
        refreshHolder(shard)
    }

    private suspend fun resolveTake(effect: LeaseEffect.Take) {
        val found = (table.get(Rows.shard(effect.shard)) as? ReadResult.Found)?.value
        val stored = found?.let { StoredShard.parseFrom(it.value) }
        if (stored?.session == session && stored.fence == effect.newFence) {
            apply(LeaseEvent.TakeSucceeded(effect.shard, effect.newFence))
        } else {
            apply(LeaseEvent.TakeFailed(effect.shard))
        }
    }

    private suspend fun release(effect: LeaseEffect.Release) {
        val row = storedShard(effect.shard, effect.fence + 1, "").toByteString()
        table.write(listOf(RowWrite.Replace(Rows.shard(effect.shard), effect.fence, row)))
    }

    private fun newState(): LeaseState {
        val incarnation = ThreadLocalRandom.current().nextLong(Long.MAX_VALUE)
        return LeaseState("${self.name}-${incarnation.toString(RADIX)}", incarnation)
    }

    private fun storedSession(leaving: Boolean): StoredSession = StoredSession.newBuilder()
        .setSession(session)
        .setVm(self.identity.vm)
        .setBootId(self.identity.bootId)
        .setProcessId(self.identity.processId)
        .setProcessStart(self.identity.startEpochMillis)
        .setIncarnation(state.value.incarnation)
        .setRole(self.role.name)
        .setAddress(self.address.toString())
        .setAdminAddress(self.adminAddress.toString())
        .setZone(self.zone)
        .setLeaving(leaving)
        .build()

    private fun storedShard(shard: String, fence: Long, holder: String): StoredShard =
        StoredShard.newBuilder()
            .setShard(shard)
            .setFence(fence)
            .setSession(holder)
            .setIncarnation(state.value.incarnation)
            .setAddress(self.address.toString())
            .build()

    private fun sessionRow(row: Row): SessionRow {
        val stored = sessionRows.getValue(row.key.sort)
        val isController = stored.role == Role.CONTROLLER.name
        return SessionRow(
            stored.session,
            stored.incarnation,
            row.version,
            stored.leaving || !isController
        )
    }

    private fun shardRow(stored: StoredShard): ShardRow = ShardRow(
        stored.shard,
        stored.fence,
        stored.session.ifEmpty { null },
        stored.incarnation
    )

    private fun memberOf(stored: StoredSession): FleetMember = FleetMember(
        stored.session,
        Role.valueOf(stored.role),
        stored.vm,
        stored.zone,
        HostPort.parse(stored.address),
        HostPort.parse(stored.adminAddress),
        stored.leaving
    )

    private fun identityOf(stored: StoredSession): ProcessIdentity =
        ProcessIdentity(stored.vm, stored.bootId, stored.processId, stored.processStart)

    private companion object {
        const val RENEWAL_CHECK_MILLIS = 200L
        const val MIN_REFRESH_MILLIS = 200L
        const val MAX_LIST_MILLIS = 180_000L
        const val LIST_BYTES_PER_SECOND = 3_000L
        const val ROW_OVERHEAD_BYTES = 150L
        const val ENCODING_FACTOR = 2L
        const val MILLIS_PER_SECOND = 1_000L
        const val RADIX = 36
        val log = LogManager.getLogger(SessionManager::class.java)
    }
}
