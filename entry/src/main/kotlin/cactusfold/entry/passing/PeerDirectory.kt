package cactusfold.entry.passing

import cactusfold.entry.process.StoredRows
import cactusfold.node.time.MonotonicClock
import cactusfold.ports.table.ReadResult
import cactusfold.ports.table.Row
import cactusfold.protocol.entry.StoredMember
import cactusfold.settings.schema.HostPort
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch

/**
 * The other members that take requests, as the store lists them. They are read only while a request
 * needs one.
 *
 * @param readMembers reads the table of members.
 */
public class PeerDirectory(
    private val vm: String,
    private val scope: CoroutineScope,
    private val clock: MonotonicClock,
    private val choice: PeerChoice,
    private val storedRows: StoredRows,
    private val readMembers: suspend () -> ReadResult<List<Row>>
) {
    private var peers = emptyMap<String, Peer>()
    private var nextReadAtMillis = 0L
    private var reading: Job? = null

    /** Reads the members if no peer is known, since requests will need one. */
    public fun prepare() {
        if (peers.isEmpty()) refresh()
    }

    /**
     * Returns a peer for a request for [service] that is not in [tried], or null; waits for a read
     * only if none is known. Peers of other zones come first if it [leavesZone].
     */
    public suspend fun choose(
        tried: Set<String>,
        service: String,
        leavesZone: Boolean = false
    ): Peer? {
        val read = refresh()
        if (peers.isEmpty()) read?.join()
        val untried = peers.values.filter { it.vm !in tried }
        return choice.choose(untried, service, clock.nowMillis(), leavesZone)
    }

    private fun refresh(): Job? {
        val nowMillis = clock.nowMillis()
        if (reading?.isActive != true && nowMillis >= nextReadAtMillis) {
            nextReadAtMillis = nowMillis + READ_INTERVAL_MILLIS
            reading = scope.launch { read() }
        }
        return reading
    }

    private suspend fun read() {
        val rows = readMembers() as? ReadResult.Found ?: return
        val known = peers
        peers = rows.value.mapNotNull(::memberOf)
            .filter { it.vm != vm }
            .mapNotNull { known[it.vm]?.takeIf(it::isAt) ?: peerOf(it) }
            .associateBy { it.vm }
    }

    private fun memberOf(row: Row): StoredMember? = storedRows.decode(
        row.key.partition,
        row.key.sort,
        row.version,
        row.value.toByteArray(),
        StoredMember::parseFrom
    )

    private fun peerOf(member: StoredMember): Peer? =
        HostPort.parseOrNull(member.passingAddress)?.let { Peer(member.vm, member.zone, it) }

    private companion object {
        const val READ_INTERVAL_MILLIS = 2_000L
    }
}

private fun StoredMember.isAt(peer: Peer): Boolean =
    peer.zone == zone && peer.address.toString() == passingAddress
