package cactusfold.entry.streams

import cactusfold.decisions.streams.KnownStream
import cactusfold.decisions.streams.StreamLedger
import cactusfold.decisions.streams.StreamOrigin
import cactusfold.node.time.MonotonicClock
import cactusfold.protocol.entry.BoundStream
import kotlinx.coroutines.Job

/**
 * The streams that began, or went on, at this process, until their callers can return no more.
 *
 * @param onNew called when there is a stream to report.
 */
public class OwnStreams(
    private val clock: MonotonicClock,
    private val versions: RecordedVersions,
    private val onNew: () -> Unit
) {
    private var ledger = StreamLedger()
    private val unsent = LinkedHashSet<String>()
    private val checks = HashMap<String, Job>()

    /** Number of streams. */
    public val count: Int get() = ledger.size

    /** Number of streams that were not reported. */
    public val unsentCount: Int get() = unsent.size

    /**
     * Returns the stream that began with request [id], or null; waits for the check of its origin.
     */
    public suspend fun find(id: String): KnownStream? {
        checks[id]?.join()
        return ledger.find(id)
    }

    /** Records that the stream [id] has begun, and that [check] finds out where. */
    public fun awaits(id: String, check: Job) {
        checks[id] = check
        check.invokeOnCompletion { checks.remove(id, check) }
    }

    /**
     * Records the [origin], null if it is uncertain, of a stream to which its caller may return for
     * [keptMillis].
     */
    public fun began(id: String, origin: StreamOrigin?, keptMillis: Long) {
        val nowMillis = clock.nowMillis()
        dropExpired(nowMillis)
        ledger = ledger.with(id, KnownStream(origin, nowMillis + keptMillis))
        unsent += id
        if (needsReport(origin)) onNew()
    }

    /** Returns the streams to report that were not reported before. */
    public fun takeUnsent(): List<BoundStream> {
        if (unsent.isEmpty()) return emptyList()
        val nowMillis = clock.nowMillis()
        dropExpired(nowMillis)
        val sent = unsent.mapNotNull { id -> ledger.find(id)?.let { id to it } }
            .filter { (_, stream) -> needsReport(stream.origin) }
        unsent -= sent.mapTo(mutableSetOf()) { it.first }
        return sent.map { (id, stream) -> stream.message(id, nowMillis) }
    }

    private fun dropExpired(nowMillis: Long) {
        val left = ledger.withoutExpired(nowMillis)
        if (left === ledger) return
        ledger = left
        unsent.retainAll(left.ids)
    }

    private fun needsReport(origin: StreamOrigin?) =
        origin == null || versions.needsReports(origin.service)

    /** Has all streams reported again, to another coordinator. */
    public fun markUnsent() {
        unsent += ledger.ids
    }
}
