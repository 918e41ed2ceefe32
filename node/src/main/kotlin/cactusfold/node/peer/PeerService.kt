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

/** What only some roles can answer. */
public interface RoleService {
    /** Tells how far the claim in [query] has come here. */
    public suspend fun claimStatus(query: ClaimQuery): ClaimReply

    /** Takes note of a crash seen by another process. */
    public fun reportSuspect(report: SuspectReport)

    /** A role without requests of its own. */
    public object None : RoleService {
        override suspend fun claimStatus(query: ClaimQuery): ClaimReply =
            ClaimReply.getDefaultInstance()

        override fun reportSuspect(report: SuspectReport) {}
    }
}

/** The calls that every process answers. */
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
