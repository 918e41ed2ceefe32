package cactusfold.node.config

import cactusfold.decisions.config.ConfigDocument
import cactusfold.decisions.config.ConfigEntry
import cactusfold.decisions.config.ConfigLog
import cactusfold.decisions.config.ConfigLogEffect
import cactusfold.decisions.config.ConfigLogState
import cactusfold.decisions.config.ConfigPatch
import cactusfold.node.events.EventRing
import cactusfold.node.events.NodeEvent
import cactusfold.node.peer.PeerClients
import cactusfold.node.peer.PeerResult
import cactusfold.node.rows.Rows
import cactusfold.node.rows.toEntry
import cactusfold.node.rows.toMessage
import cactusfold.node.state.GuardedState
import cactusfold.node.time.MonotonicClock
import cactusfold.node.time.TimerService
import cactusfold.ports.table.ReadResult
import cactusfold.ports.table.RowWrite
import cactusfold.ports.table.TableStore
import cactusfold.ports.table.WriteResult
import cactusfold.protocol.ConfigEntries
import cactusfold.protocol.ConfigEntry as ConfigEntryMessage
import cactusfold.protocol.ConfigPosition
import cactusfold.settings.fleet.FleetConfig
import cactusfold.settings.schema.HostPort
import java.util.UUID
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.random.Random
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch

/** The outcome of [ConfigManager.submit]. */
public sealed interface SubmitResult {
    /** The change was committed as [version]. */
    public data class Accepted(public val version: Long) : SubmitResult

    /** Another change was committed as [version] first; this one was not applied. */
    public data class Contention(public val version: Long) : SubmitResult

    /**
     * The store could not be reached. If [mayBeAccepted], the write was sent and may have been
     * committed.
     */
    public data class Unavailable(public val reason: String, public val mayBeAccepted: Boolean) :
        SubmitResult
}

/**
 * A change to the configuration, proposed by an operator.
 *
 * @property base the version that the change applies to; it is rejected if that is not the latest.
 * @property operationId identifies the change in the log, so that its author can find out whether
 *   it was committed when the reply to the write is lost.
 */
public data class Proposal(
    public val base: Long,
    public val patch: ConfigPatch,
    public val author: String,
    public val comment: String,
    public val acceptedAtEpochMillis: Long,
    public val operationId: String = UUID.randomUUID().toString()
)

/**
 * Maintains the configuration in force: polls the configuration log in the table, accepts entries
 * from peers and gossips new ones. The version in force never decreases.
 */
public class ConfigManager(
    private val table: TableStore,
    private val peers: PeerClients,
    private val peerAddresses: () -> List<HostPort>,
    private val clock: MonotonicClock,
    private val timers: TimerService,
    private val scope: CoroutineScope,
    private val events: EventRing
) {
    private val state = GuardedState(ConfigLogState())
    private val history = GuardedState(persistentListOf<ConfigEntry>())
    private val listeners = CopyOnWriteArrayList<(FleetConfig) -> Unit>()

    @Volatile
    private var fleet: FleetConfig = FleetConfig.EMPTY

    /** The current interval between polls, which grows with the number of peers. */
    @Volatile
    public var periodMillis: Long = 0
        private set

    @Volatile
    private var lastPollAtMillis: Long? = null

    @Volatile
    private var lastContactAtMillis: Long? = null

    /** The configuration in force. */
    public val current: FleetConfig get() = fleet

    /** The configuration in force as a document of sections. */
    public val document: ConfigDocument get() = state.value.document

    /** All log entries known to this process, oldest first. */
    public val entries: List<ConfigEntry> get() = history.value

    /** Calls [listener] with the configuration in force, at once and after each change. */
    public fun listen(listener: (FleetConfig) -> Unit) {
        listeners += listener
        listener(fleet)
    }

    /** Starts polling, every [pollMillis] or less often in a large fleet. */
    public fun start(pollMillis: Long) {
        timers.subscribe("config-poll", pollMillis) { pollIfDue(pollMillis) }
    }

    /** Returns the time since the store or a peer last confirmed the configuration, or null. */
    public fun contactAgeMillis(): Long? = lastContactAtMillis?.let { clock.nowMillis() - it }

    /** In a large fleet, entries spread by gossip, and polls only find those that gossip missed. */
    private suspend fun pollIfDue(pollMillis: Long) {
        val peers = peerAddresses().size
        periodMillis = (peers * POLL_MILLIS_PER_PEER).coerceIn(pollMillis, MAX_POLL_MILLIS)
        val age = lastPollAtMillis?.let { clock.nowMillis() - it } ?: Long.MAX_VALUE
        if (age >= periodMillis) poll()
    }

    /**
     * Reads entries above the version in force from the table, or from a random peer if the table
     * is unavailable.
     */
    public suspend fun poll() {
        lastPollAtMillis = clock.nowMillis()
        val after = Rows.configSortKey(state.value.version)
        when (val rows = table.list(Rows.CONFIG, after)) {
            is ReadResult.Found -> {
                lastContactAtMillis = clock.nowMillis()
                offer(rows.value.map { ConfigEntryMessage.parseFrom(it.value).toEntry() })
            }
            is ReadResult.Unavailable -> pollPeer()
        }
    }

    private suspend fun pollPeer() {
        val peer = peerAddresses().randomOrNull() ?: return
        val position = ConfigPosition.newBuilder().setVersion(state.value.version).build()
        val answer = peers.peer(peer, PEER_TIMEOUT_MILLIS) { fetchConfig(position) }
        if (answer is PeerResult.Answer) {
            lastContactAtMillis = clock.nowMillis()
            offer(answer.value.entriesList.map { it.toEntry() })
        }
    }

    /** Applies [entries] from any source and returns the version in force afterwards. */
    public fun offer(entries: List<ConfigEntry>): Long {
        val before = state.value.version
        val effects = state.step { ConfigLog.offer(it, entries) }
        val fresh = entries.filter { it.version > before }.sortedBy { it.version }
        history.update { known -> append(known, fresh) }
        effects.forEach(::run)
        return state.value.version
    }

    /**
     * Applies [entries] pushed by a peer and forwards those above the version that was in force.
     * Returns the version in force afterwards.
     */
    public fun receiveGossip(entries: List<ConfigEntry>): Long {
        val before = state.value.version
        val version = offer(entries)
        lastContactAtMillis = clock.nowMillis()
        if (version > before) push(entries.filter { it.version > before })
        return version
    }

    private fun append(
        known: PersistentList<ConfigEntry>,
        fresh: List<ConfigEntry>
    ): PersistentList<ConfigEntry> = fresh.fold(known) { list, entry ->
        val next = (list.lastOrNull()?.version ?: 0) + 1
        if (entry.version == next) list.add(entry) else list
    }

    /** Returns up to [limit] entries above [version], oldest first. */
    public fun entriesAbove(version: Long, limit: Int): List<ConfigEntry> =
        history.value.filter { it.version > version }.take(limit)

    private fun run(effect: ConfigLogEffect) {
        when (effect) {
            is ConfigLogEffect.InForce -> activate(effect)
            is ConfigLogEffect.Fetch -> scope.launch { poll() }
        }
    }

    @Synchronized
    private fun activate(effect: ConfigLogEffect.InForce) {
        if (effect.version <= fleet.version) return
        fleet = FleetConfig.of(effect.version, effect.document)
        events.add(NodeEvent.ConfigInForce(effect.version))
        listeners.forEach { it(fleet) }
    }

    /** Tries to commit [proposal] as the next version. */
    public suspend fun submit(proposal: Proposal): SubmitResult {
        poll()
        val head = state.value.version
        if (head != proposal.base) return SubmitResult.Contention(head)
        val entry = ConfigEntry(
            head + 1,
            proposal.operationId,
            proposal.author,
            proposal.acceptedAtEpochMillis,
            proposal.patch,
            proposal.comment
        )
        val row = RowWrite.Insert(Rows.config(entry.version), entry.toMessage().toByteString())
        return when (val result = table.write(listOf(row))) {
            is WriteResult.Written -> publishAccepted(entry)
            is WriteResult.Conflict -> resolve(entry)
            is WriteResult.NotWritten -> SubmitResult.Unavailable(result.reason, false)
            is WriteResult.Unknown -> resolve(entry)
        }
    }

    /**
     * Reads the row of [entry] back and compares operation ids. After a conflict or a lost reply,
     * this is the only way to know whose write took effect.
     */
    private suspend fun resolve(entry: ConfigEntry): SubmitResult {
        val found = table.get(Rows.config(entry.version))
        val row = (found as? ReadResult.Found)?.value
            ?: return SubmitResult.Unavailable("the store did not answer", true)
        val stored = ConfigEntryMessage.parseFrom(row.value)
        if (stored.operationId == entry.operationId) return publishAccepted(entry)
        offer(listOf(stored.toEntry()))
        return SubmitResult.Contention(entry.version)
    }

    private fun publishAccepted(entry: ConfigEntry): SubmitResult {
        offer(listOf(entry))
        push(listOf(entry))
        return SubmitResult.Accepted(entry.version)
    }

    /** Sends [entries] to up to [PUSH_FANOUT] random peers, which forward them if they are new. */
    private fun push(entries: List<ConfigEntry>) {
        val messages = entries.map { it.toMessage() }
        val message = ConfigEntries.newBuilder().addAllEntries(messages).build()
        peerAddresses().shuffled(Random.Default).take(PUSH_FANOUT).forEach { peer ->
            scope.launch { peers.peer(peer, PEER_TIMEOUT_MILLIS) { offerConfig(message) } }
        }
    }

    private companion object {
        const val PEER_TIMEOUT_MILLIS = 1_000L
        const val PUSH_FANOUT = 5
        const val POLL_MILLIS_PER_PEER = 10L
        const val MAX_POLL_MILLIS = 8_000L
    }
}
