package cactusfold.entry.streams

import cactusfold.decisions.streams.KnownStream
import cactusfold.decisions.streams.StreamLedger
import cactusfold.decisions.streams.VersionRecord
import cactusfold.entry.process.EventLog
import cactusfold.entry.process.StoredRows
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
import kotlinx.collections.immutable.toImmutableMap

private val NO_ROW = StoredVersions.getDefaultInstance()

/**
 * The [record] of a service as stored under [rowVersion]. One that was written in an earlier era of
 * the store may lack versions, and counts as complete only from the time of its reading.
 */
public data class StoredRecord(
    public val record: VersionRecord,
    public val rowVersion: Long,
    internal val row: StoredVersions = NO_ROW
)

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
    private val events: EventLog,
    private val storedRows: StoredRows
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
            val stored = decode(STREAMS, row, StoredStreams::parseFrom) ?: continue
            rows += StreamRow(row.sort, row.version, stored.expiresAtMillis)
            for (stream in stored.streamsList) {
                val known = KnownStream(stream.origin, stored.expiresAtMillis)
                ledger = ledger.with(stream.id, known)
            }
        }
        return StreamSnapshot(records, ledger, rows, nowMillis, versions.era)
    }

    private fun recordsOf(versions: FeedResult.Changes): Map<String, StoredRecord> =
        versions.rows.filter { it.value != null }.associate { row ->
            val nowMillis = versions.nowMillis ?: Long.MAX_VALUE
            val stored = decode(VERSIONS, row, StoredVersions::parseFrom)
            // A service whose row cannot be read may have had any versions until now.
            val record = stored?.let { recordOf(it, versions.era, nowMillis) }
                ?: VersionRecord.unknownBefore(nowMillis)
            row.sort to StoredRecord(record, row.version, stored ?: NO_ROW)
        }

    private suspend fun snapshot(name: String): FeedResult.Changes? =
        when (val result = feed.snapshot(name)) {
            is FeedResult.Changes -> result
            FeedResult.HistoryGone -> null
            is FeedResult.Unavailable -> {
                events.write("streams-unread", "table" to name, "reason" to result.reason)
                null
            }
        }

    private fun <A> decode(table: String, row: RowChange, parse: (ByteArray) -> A): A? =
        row.value?.let { storedRows.decode(table, row.sort, row.version, it, parse) }

    private fun recordOf(stored: StoredVersions, era: Long, nowMillis: Long): VersionRecord =
        VersionRecord(
            stored.versionsList.associate { version ->
                version.softwareVersion to
                    version.goneSinceMillis.takeIf { version.hasGoneSinceMillis() }
            }.toImmutableMap(),
            if (stored.era == era) stored.completeSinceMillis else nowMillis
        )

    /**
     * Replaces the record [before] of [service], or creates it if that is null. Fields of newer
     * builds stay in the row.
     */
    public suspend fun writeRecord(
        service: String,
        record: VersionRecord,
        before: StoredRecord?,
        era: Long
    ): WriteResult {
        val value = rowOf(record, before?.row ?: NO_ROW, era).toByteString()
        val key = RowKey(VERSIONS, service)
        val write = before?.let { RowWrite.Replace(key, it.rowVersion, value) }
            ?: RowWrite.Insert(key, value)
        return table.write(listOf(write))
    }

    /** Returns the row of [record], with what [before] says that this build does not know. */
    internal fun rowOf(record: VersionRecord, before: StoredVersions, era: Long): StoredVersions {
        val versionsBefore = before.versionsList.associateBy { it.softwareVersion }
        val versions = record.goneSinceMillis.map { (version, goneSinceMillis) ->
            val builder = versionsBefore[version]?.toBuilder()
                ?: StoredVersion.newBuilder().setSoftwareVersion(version)
            builder.clearGoneSinceMillis()
            goneSinceMillis?.let(builder::setGoneSinceMillis)
            builder.build()
        }
        return before.toBuilder().clearVersions().addAllVersions(versions)
            .setCompleteSinceMillis(record.completeSinceMillis).setEra(era).build()
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
