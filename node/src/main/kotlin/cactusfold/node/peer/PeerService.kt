package cactusfold.node.peer

import cactusfold.node.config.ConfigManager
import cactusfold.node.events.EventRing
import cactusfold.node.rows.toEntry
import cactusfold.node.rows.toMessage
import cactusfold.protocol.Ack
import cactusfold.protocol.ClaimQuery
import cactusfold.protocol.ClaimReply
import cactusfold.protocol.ConfigEntries
import cactusfold.protocol.ConfigPosition
import cactusfold.protocol.EventList
import cactusfold.protocol.EventQuery
import cactusfold.protocol.PeerGrpcKt.PeerCoroutineImplBase
import cactusfold.protocol.SuspectReport
import kotlinx.coroutines.Dispatchers

/** The calls of the peer service whose answers depend on the role of the process. */
public interface RoleService {
    /** Returns the status of the idempotency claim in [query] at this process. */
    public suspend fun claimStatus(query: ClaimQuery): ClaimReply

    /**
     * Processes a report from another process that an upstream crashed while handling a request,
     * which may therefore be a poison request.
     */
    public fun reportSuspect(report: SuspectReport)

    /** Implementation for roles that process no requests of callers. */
    public object None : RoleService {
        override suspend fun claimStatus(query: ClaimQuery): ClaimReply =
            ClaimReply.getDefaultInstance()

        override fun reportSuspect(report: SuspectReport) {}
    }
}

/** The gRPC service that every process offers to its peers. */
public class PeerService(
    private val config: ConfigManager,
    private val events: EventRing,
    private val role: RoleService
) : PeerCoroutineImplBase(Dispatchers.Default) {

    override suspend fun offerConfig(request: ConfigEntries): ConfigPosition {
        val version = config.receiveGossip(request.entriesList.map { it.toEntry() })
        return ConfigPosition.newBuilder().setVersion(version).build()
    }

    override suspend fun fetchConfig(request: ConfigPosition): ConfigEntries {
        val limit = if (request.limit > 0) request.limit else MAX_ENTRIES
        val entries = config.entriesAbove(request.version, limit).map { it.toMessage() }
        return ConfigEntries.newBuilder().addAllEntries(entries).build()
    }

    override suspend fun events(request: EventQuery): EventList =
        EventList.newBuilder().addAllEvents(events.find(request)).build()

    override suspend fun claimStatus(request: ClaimQuery): ClaimReply = role.claimStatus(request)

    override suspend fun reportSuspect(request: SuspectReport): Ack {
        role.reportSuspect(request)
        return Ack.getDefaultInstance()
    }

    private companion object {
        const val MAX_ENTRIES = 1_000
    }
}
