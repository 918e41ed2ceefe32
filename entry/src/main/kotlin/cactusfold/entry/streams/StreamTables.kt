package cactusfold.entry.streams

import cactusfold.decisions.streams.KnownStream
import cactusfold.decisions.streams.StreamLedger
import cactusfold.decisions.streams.VersionRecord
import cactusfold.entry.process.EventLog
import cactusfold.ports.table.ChangeFeed
import cactusfold.ports.table.FeedResult
import cactusfold.ports.table.RowChange
import cactusfold.ports.table.RowKey
import cactusfold.ports.table.RowWrite
import cactusfold.ports.table.TableStore
import cactusfold.ports.table.WriteResult
import cactusfold.protocol.entry.BoundStream
import cactusfold.protocol.entry.StoredStreams
import cactusfold.protocol.entry.StoredVersion
import cactusfold.protocol.entry.StoredVersions
import com.google.protobuf.InvalidProtocolBufferException
import kotlinx.collections.immutable.toImmutableMap

/**
 * The [record] of a service as stored under [rowVersion]. One that was written in an earlier era of
 * the store may lack versions, and counts as complete only from the time of its reading.
 */
public data class StoredRecord(public val record: VersionRecord, public val rowVersion: Long)

/** A row with streams, which may be deleted at [expiresAtMillis] by the store's clock. */
public data class StreamRow(
    public val key: String,
    public val rowVersion: Long,
    public val expiresAtMillis: Long
)

/**
 * What the store holds about streams. Times are those of the store's clock.
 */
public class StreamSnapshot(
    public val records: Map<String, StoredRecord>,
    public val streams: StreamLedger,
    public val rows: List<StreamRow>,
    public val nowMillis: Long,
    public val era: Long
)

/** Reads and writes the store's tables of software versions and of streams. */
public class StreamTables(
    private val table: TableStore,
    private val feed: ChangeFeed,
    private val events: EventLog
) {
    /** Returns the records of all services, or null if they cannot be read. */
    public suspend fun readRecords(): Map<String, StoredRecord>? =
        snapshot(VERSIONS)?.let(::recordsOf)

    /** Returns what the store holds, or null if it cannot be read. */
    public suspend fun read(): StreamSnapshot? {
        val streams = snapshot(STREAMS) ?: return null
        // A version is recorded before streams begin there, so the records are read last.
        val versions = snapshot(VERSIONS) ?: return null
        val nowMillis = versions.nowMillis ?: return null
        if (streams.era != versions.era) return null
        val records = recordsOf(versions)
        var ledger = StreamLedger()
        val rows = mutableListOf<StreamRow>()
        for (row in streams.rows) {
            val stored = decode(row, StoredStreams::parseFrom) ?: continue
            rows += StreamRow(row.sort, row.version, stored.expiresAtMillis)
            for (stream in stored.streamsList) {
                val known = KnownStream(stream.origin, stored.expiresAtMillis)
                ledger = ledger.with(stream.id, known)
            }
        }
        return StreamSnapshot(records, ledger, rows, nowMillis, versions.era)
    }

    private fun recordsOf(versions: FeedResult.Changes): Map<String, StoredRecord> =
        versions.rows.mapNotNull { row ->
            decode(row, StoredVersions::parseFrom)?.let {
                val record = recordOf(it, versions.era, versions.nowMillis ?: Long.MAX_VALUE)
                row.sort to StoredRecord(record, row.version)
            }
        }.toMap()

    private suspend fun snapshot(name: String): FeedResult.Changes? =
        when (val result = feed.snapshot(name)) {
            is FeedResult.Changes -> result
            FeedResult.HistoryGone -> null
            is FeedResult.Unavailable -> {
                events.write("streams-unread", "table" to name, "reason" to result.reason)
                null
            }
        }

    private fun <A> decode(row: RowChange, parse: (ByteArray) -> A): A? = try {
        row.value?.let(parse)
    } catch (e: InvalidProtocolBufferException) {
        events.write("streams-unreadable", "row" to row.sort, "reason" to e.message)
        null
    }

    private fun recordOf(stored: StoredVersions, era: Long, nowMillis: Long): VersionRecord =
        VersionRecord(
            stored.versionsList.associate { version ->
                version.softwareVersion to
                    version.goneSinceMillis.takeIf { version.hasGoneSinceMillis() }
            }.toImmutableMap(),
            if (stored.era == era) stored.completeSinceMillis else nowMillis
        )

    /** Replaces the record of [service], or creates it if [rowVersion] is null. */
    public suspend fun writeRecord(
        service: String,
        record: VersionRecord,
        rowVersion: Long?,
        era: Long
    ): WriteResult {
        val value = StoredVersions.newBuilder()
            .addAllVersions(
                record.goneSinceMillis.map { (version, goneSinceMillis) ->
                    StoredVersion.newBuilder().setSoftwareVersion(version)
                        .also { goneSinceMillis?.let(it::setGoneSinceMillis) }.build()
                }
            )
            .setCompleteSinceMillis(record.completeSinceMillis)
            .setEra(era).build().toByteString()
        val key = RowKey(VERSIONS, service)
        val write = rowVersion?.let { RowWrite.Replace(key, it, value) }
            ?: RowWrite.Insert(key, value)
        return table.write(listOf(write))
    }

    /** Writes [streams] as a new row and deletes the rows [expired]. */
    public suspend fun writeStreams(
        key: String,
        streams: List<BoundStream>,
        expiresAtMillis: Long,
        expired: List<StreamRow>
    ): WriteResult {
        val value = StoredStreams.newBuilder().addAllStreams(streams)
            .setExpiresAtMillis(expiresAtMillis).build().toByteString()
        val deletions = expired.map { RowWrite.Delete(RowKey(STREAMS, it.key), it.rowVersion) }
        val insertion = RowWrite.Insert(RowKey(STREAMS, key), value)
        return table.write(deletions + listOf(insertion).filter { streams.isNotEmpty() })
    }

    private companion object {
        const val VERSIONS = "versions"
        const val STREAMS = "streams"
    }
}
