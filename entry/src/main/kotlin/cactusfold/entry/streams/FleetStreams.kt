package cactusfold.entry.streams

import cactusfold.decisions.streams.KnownStream
import cactusfold.decisions.streams.StreamLedger
import cactusfold.decisions.streams.StreamOrigin
import cactusfold.decisions.streams.VersionRecord
import cactusfold.decisions.streams.soleOrigin
import cactusfold.entry.fleet.CoordinatorLeaseManager
import cactusfold.entry.process.EventLog
import cactusfold.entry.upstream.UpstreamDirectory
import cactusfold.node.time.MonotonicClock
import cactusfold.ports.table.WriteResult
import cactusfold.protocol.entry.BoundStream
import cactusfold.protocol.entry.ServiceVersions
import cactusfold.protocol.entry.StoredVersions
import cactusfold.protocol.entry.StreamAnswer
import cactusfold.protocol.entry.StreamRequest
import java.util.Locale
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull

/**
 * The streams of the fleet and the software versions at which they began, while this process is the
 * coordinator. Both are stored, since all processes may end at once.
 *
 * @param onRead called when the tables were read, after which members report their streams anew.
 * @param onChange called with each service whose recorded versions changed.
 */
public class FleetStreams(
    private val tables: StreamTables,
    private val lease: CoordinatorLeaseManager,
    private val directory: UpstreamDirectory,
    private val clock: MonotonicClock,
    private val events: EventLog,
    private val services: () -> ResumableServices,
    private val onRead: () -> Unit,
    private val onChange: (ServiceVersions) -> Unit
) {
    private val wake = Channel<Unit>(Channel.CONFLATED)
    private val records = HashMap<String, StoredRecord>()
    private val rows = mutableListOf<StreamRow>()
    private val unwritten = LinkedHashMap<String, BoundStream>()
    private val announced = HashMap<String, ServiceVersions>()
    private var ledger = StreamLedger()
    private var readFence: Long? = null
    private var era = 0L
    private var storeClockOffsetMillis = 0L
    private var sequence = 0L
    private var writtenAtMillis = Long.MIN_VALUE / 2

    private val isRead: Boolean get() = lease.isCoordinator && readFence == lease.fence
    private val storeNowMillis: Long get() = clock.nowMillis() + storeClockOffsetMillis

    /** Number of streams whose origin is known. */
    public val count: Int get() = ledger.size

    /** Messages about the recorded versions of all services. */
    public val messages: List<ServiceVersions> get() = announced.values.toList()

    /** Keeps the tables up to date while this process is the coordinator, until cancelled. */
    public suspend fun run() {
        while (true) {
            if (lease.isCoordinator) {
                step()
                delay(STEP_MILLIS)
                withTimeoutOrNull(nextStepMillis()) { wake.receive() }
            } else {
                forget()
                // A lease that expired while its renewal is on the way may become valid again.
                if (lease.fence == 0L) wake.receive() else delay(STEP_MILLIS)
            }
        }
    }

    /** Has a change of the lease, the configuration, the upstreams or the streams acted on. */
    public fun wake() {
        wake.trySend(Unit)
    }

    /** How long nothing has to be done unless something changes. */
    private fun nextStepMillis(): Long = when {
        !isRead -> 0
        unwritten.isEmpty() -> EXPIRY_CHECK_MILLIS
        else -> (writtenAtMillis + WRITE_INTERVAL_MILLIS - clock.nowMillis()).coerceAtLeast(0)
    }

    private fun forget() {
        readFence = null
        records.clear()
        announced.clear()
        unwritten.clear()
        rows.clear()
        ledger = StreamLedger()
    }

    private suspend fun step() {
        if (!isRead && !read()) return
        if (!directory.isKnown) return
        ledger = ledger.withoutExpired(clock.nowMillis())
        recordVersions()
        writeStreams()
    }

    /** Records the versions that are registered now, and announces what is recorded. */
    private suspend fun recordVersions() {
        val resumable = services()
        if (resumable.names.isEmpty()) return
        for (service in resumable.names + records.keys) {
            // No stream begins any more at a service that no route names.
            val serving =
                if (service in resumable.names) directory.versionsOf(service) else emptySet()
            record(service, serving, resumable.keptMillis)
        }
        if (!isRead) return
        val needsReports = soleOrigin(resumable.keptMillis) == null
        records.forEach { (service, stored) -> announce(service, stored.record, needsReports) }
    }

    private fun soleOrigin(keptMillis: Long): StreamOrigin? =
        soleOrigin(records.mapValues { it.value.record }, storeNowMillis, keptMillis)

    private suspend fun read(): Boolean {
        val fence = lease.fence
        val snapshot = tables.read() ?: return false
        if (!lease.isCoordinator || lease.fence != fence) return false
        val nowMillis = clock.nowMillis()
        storeClockOffsetMillis = snapshot.nowMillis - nowMillis
        era = snapshot.era
        records.clear()
        records.putAll(snapshot.records)
        rows.clear()
        rows += snapshot.rows
        for (id in snapshot.streams.ids) {
            val stream = snapshot.streams.find(id) ?: continue
            val expiresAtMillis = stream.expiresAtMillis - storeClockOffsetMillis
            ledger = ledger.with(id, stream.copy(expiresAtMillis = expiresAtMillis))
        }
        readFence = fence
        onRead()
        events.write("streams-read", "streams" to ledger.size, "services" to records.size)
        return true
    }

    private suspend fun record(service: String, serving: Set<String>, keptMillis: Long) {
        val stored = records[service]
        val before = stored?.record ?: VersionRecord.unknownBefore(storeNowMillis)
        val next = before.seen(serving, storeNowMillis, keptMillis)
        if (next != stored?.record) write(service, next, stored)
    }

    private suspend fun write(service: String, record: VersionRecord, before: StoredRecord?) {
        val fence = lease.fence
        val result = tables.writeRecord(service, record, before, era)
        if (!lease.isCoordinator || lease.fence != fence) return
        val version = (result as? WriteResult.Written)?.takeIf { it.era == era }?.version
        if (version != null) {
            val row = tables.rowOf(record, before?.row ?: StoredVersions.getDefaultInstance(), era)
            records[service] = StoredRecord(record, version, row)
        } else {
            events.write("versions-unwritten", "service" to service, "end" to "$result")
            // The row may have been written after all, or by another coordinator.
            readFence = null
        }
    }

    private fun announce(service: String, record: VersionRecord, needsReports: Boolean) {
        val message = ServiceVersions.newBuilder().setService(service)
            .addAllSoftwareVersions(record.serving.sorted())
            .setNeedsReports(needsReports).build()
        if (announced.put(service, message) != message) onChange(message)
    }

    private suspend fun writeStreams() {
        val nowMillis = clock.nowMillis()
        if (nowMillis - writtenAtMillis < WRITE_INTERVAL_MILLIS) return
        val expired = rows.filter { it.expiresAtMillis < storeNowMillis }.take(MAX_DELETIONS)
        if (unwritten.isEmpty() && expired.size < MAX_DELETIONS) return
        writtenAtMillis = nowMillis
        unwritten.keys.retainAll(ledger.ids)
        val batch = unwritten.values.take(MAX_STREAMS)
        val key = String.format(Locale.ROOT, "%019d-%09d", lease.fence, sequence++)
        val expiresAtMillis = storeNowMillis + (batch.maxOfOrNull { it.keptMillis } ?: 0)
        val result = tables.writeStreams(key, batch, expiresAtMillis, expired)
        rows -= expired.toSet()
        if (result !is WriteResult.Written || result.version == null) {
            events.write("streams-unwritten", "streams" to batch.size, "end" to "$result")
            return
        }
        unwritten -= batch.map { it.id }.toSet()
        if (batch.isNotEmpty()) rows += StreamRow(key, result.version!!, expiresAtMillis)
    }

    /** Records streams that a member has reported. */
    public fun reported(streams: List<BoundStream>) {
        val nowMillis = clock.nowMillis()
        for (stream in streams) {
            val before = ledger.find(stream.id)
            val reported = KnownStream(stream.origin, nowMillis + stream.keptMillis)
            ledger = ledger.with(stream.id, reported)
            if (before == null || before.origin != stream.origin) unwritten[stream.id] = stream
        }
        if (streams.isNotEmpty()) wake()
    }

    /** Returns where the stream began that [request] is about. */
    public fun ask(request: StreamRequest): StreamAnswer {
        val answer = StreamAnswer.newBuilder()
        val stream = ledger.find(request.id).takeIf { lease.isCoordinator }
        val known = stream?.origin
        if (known != null) {
            return answer.setOutcome(StreamAnswer.Outcome.KNOWN).setService(known.service)
                .setSoftwareVersion(known.softwareVersion).build()
        }
        if (stream != null) return answer.setOutcome(StreamAnswer.Outcome.UNCERTAIN).build()
        if (!isRead) return answer.setOutcome(StreamAnswer.Outcome.UNDECIDED).build()
        val sole = soleOrigin(services().keptMillis)
            ?: return answer.setOutcome(StreamAnswer.Outcome.UNKNOWN).build()
        return answer.setOutcome(StreamAnswer.Outcome.SOLE_VERSION).setService(sole.service)
            .setSoftwareVersion(sole.softwareVersion).build()
    }

    private companion object {
        /** Changes are collected for this long. */
        const val STEP_MILLIS = 50L

        /** Interval of checks for what expires; streams and versions are kept for many seconds. */
        const val EXPIRY_CHECK_MILLIS = 1_000L

        /**
         * Interval between two writes of streams; those of the last one are lost with the power.
         */
        const val WRITE_INTERVAL_MILLIS = 300L

        /** Bounds of one transaction, far below those of the store. */
        const val MAX_STREAMS = 500
        const val MAX_DELETIONS = 20
    }
}
