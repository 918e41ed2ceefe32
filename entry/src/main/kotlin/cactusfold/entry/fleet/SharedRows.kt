package cactusfold.entry.fleet

import cactusfold.entry.upstream.RegisteredRow
import cactusfold.ports.serving.UpstreamEntry
import cactusfold.protocol.entry.FleetNotice
import cactusfold.protocol.entry.UpstreamRow
import com.google.protobuf.ByteString
import kotlinx.collections.immutable.persistentSetOf

/** Which members news is sent to at once; others learn of it with their next heartbeat. */
internal enum class NewsUrgency {
    /** There is no news. */
    NONE,

    /** The members that wait for a model that it concerns. */
    CONCERNED,
    ALL
}

/** Passes the rows of upstreams on to the members, when they change in what members use. */
internal class SharedRows(private val news: SharedNews) {
    private val sent = HashMap<String, UpstreamEntry>()

    /** Forgets what was passed on, for instance since the store's versions count anew. */
    fun clear(): Unit = sent.clear()

    /** Passes on [row] if it is news. Returns who has to learn of it at once. */
    fun registered(row: RegisteredRow): NewsUrgency {
        val entry = usedByMembers(row.entry)
        val before = sent.put(entry.id, entry)
        if (before == entry) return NewsUrgency.NONE
        val isNewStart = before?.startedAtEpochMillis != entry.startedAtEpochMillis
        // What the start before had loaded must not be applied to this one.
        if (isNewStart) news.remove(holdingsKey(entry.id))
        val message = UpstreamRow.newBuilder().setUpstream(entry.id).setVersion(row.row.version)
            .setValue(ByteString.copyFrom(row.row.value))
        val notice = FleetNotice.newBuilder().addUpstreamRows(message).build()
        news.put(rowKey(entry.id), notice, entry.adaptersByModel.keys)
        val hasBegunToLeave = entry.isDraining && before?.isDraining != true
        // Another start under the same id gets what is sent to the one before.
        val hasBecomeCold = entry.warmupMillis > 0 && before?.warmupMillis == 0L
        return if (hasBegunToLeave || hasBecomeCold) NewsUrgency.ALL else NewsUrgency.CONCERNED
    }

    /** Passes on that [upstream] is not registered as of [version]. */
    fun ended(upstream: String, version: Long, nowMillis: Long) {
        sent.remove(upstream)
        news.remove(holdingsKey(upstream))
        val message = UpstreamRow.newBuilder().setUpstream(upstream).setVersion(version)
        val notice = FleetNotice.newBuilder().addUpstreamRows(message).build()
        news.end(rowKey(upstream), notice, nowMillis)
    }

    /** Leaves out what only the coordinator needs, which changes often. */
    private fun usedByMembers(entry: UpstreamEntry): UpstreamEntry = entry.copy(
        timeToShutdownMillis = null,
        modelsInHostMemory = persistentSetOf(),
        modelsOnDisk = persistentSetOf()
    )

    companion object {
        /** Key of the news about what [upstream] has loaded. */
        fun holdingsKey(upstream: String): String = "holdings $upstream"

        private fun rowKey(upstream: String) = "row $upstream"
    }
}
