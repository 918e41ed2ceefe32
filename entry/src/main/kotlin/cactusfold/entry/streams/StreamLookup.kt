package cactusfold.entry.streams

import cactusfold.decisions.streams.KnownStream
import cactusfold.decisions.streams.StreamOrigin
import cactusfold.decisions.streams.soleOrigin
import cactusfold.node.time.MonotonicClock
import cactusfold.protocol.entry.StreamAnswer
import cactusfold.protocol.entry.StreamRequest
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull

/** What is known of a stream that a caller resumes. */
public sealed interface StreamFinding {
    /** The stream began at [origin], as known from [source]. */
    public data class Found(public val origin: StreamOrigin, public val source: String) :
        StreamFinding

    /** No process and no row of the store knows the stream, and it may be of several versions. */
    public data object Unknown : StreamFinding

    /** The stream is known, but not the version at which it began. */
    public data object Uncertain : StreamFinding

    /** Nobody could be asked in time. */
    public data object Undecided : StreamFinding
}

/**
 * Finds out where streams began that callers resume: at this process, the coordinator or, without
 * one, the store.
 *
 * @param readStore returns what the store holds; null if it cannot be read.
 * @param ask asks the coordinator; null if there is none or it does not answer.
 * @param keptMillis how long callers may return to a stream.
 */
public class StreamLookup(
    private val own: OwnStreams,
    private val readStore: suspend () -> StreamSnapshot?,
    private val clock: MonotonicClock,
    private val keptMillis: () -> Long,
    private val ask: suspend (StreamRequest) -> StreamAnswer?
) {
    private val reading = Mutex()
    private var snapshot: StreamSnapshot? = null
    private var readAtMillis = Long.MIN_VALUE / 2

    /**
     * Finds the stream that began with request [id], null if the caller names none. Waits until
     * [untilMillis] for an answer.
     */
    public suspend fun find(id: String?, untilMillis: Long): StreamFinding {
        id?.let { own.find(it) }?.let { return found(it, "own") }
        val request = StreamRequest.newBuilder().setId(id.orEmpty()).build()
        val beganMillis = clock.nowMillis()
        while (true) {
            val answer = ask(request)
            val finding = when (answer?.outcome) {
                null, StreamAnswer.Outcome.UNDECIDED, StreamAnswer.Outcome.UNRECOGNIZED ->
                    findStored(id, beganMillis, untilMillis)
                StreamAnswer.Outcome.UNKNOWN -> StreamFinding.Unknown
                StreamAnswer.Outcome.UNCERTAIN -> StreamFinding.Uncertain
                // The first word is also that of an answer that says it in other fields.
                StreamAnswer.Outcome.KNOWN, StreamAnswer.Outcome.SOLE_VERSION ->
                    if (answer.softwareVersion.isEmpty()) {
                        findStored(id, beganMillis, untilMillis)
                    } else {
                        val isKnown = answer.outcome == StreamAnswer.Outcome.KNOWN
                        StreamFinding.Found(
                            StreamOrigin(answer.service, answer.softwareVersion),
                            if (isKnown) "coordinator" else "sole"
                        )
                    }
            }
            if (finding is StreamFinding.Found || finding is StreamFinding.Uncertain) return finding
            val nowMillis = clock.nowMillis()
            // The report of the process where the stream began may still be on its way.
            val endsAtMillis = when (finding) {
                StreamFinding.Unknown -> minOf(untilMillis, beganMillis + REPORT_MILLIS)
                else -> untilMillis
            }
            if (nowMillis + RETRY_MILLIS > endsAtMillis) return finding
            delay(RETRY_MILLIS)
        }
    }

    private suspend fun findStored(
        id: String?,
        arrivedMillis: Long,
        untilMillis: Long
    ): StreamFinding {
        val stored = withTimeoutOrNull(untilMillis - clock.nowMillis()) {
            snapshotSince(arrivedMillis)
        } ?: return StreamFinding.Undecided
        id?.let(stored.streams::find)?.let { return found(it, "store") }
        val records = stored.records.mapValues { it.value.record }
        val sole = soleOrigin(records, stored.nowMillis, keptMillis())
            ?: return StreamFinding.Undecided
        return StreamFinding.Found(sole, "store-sole")
    }

    /**
     * Returns a snapshot of the store whose read began at [arrivedMillis] or later; an earlier one
     * may lack a version that was recorded since. Requests that wait meanwhile share the read; one
     * that failed is repeated only for those that ask after it.
     */
    private suspend fun snapshotSince(arrivedMillis: Long): StreamSnapshot? {
        val askedMillis = clock.nowMillis()
        return reading.withLock {
            if (readAtMillis < if (snapshot == null) askedMillis else arrivedMillis) {
                delay(readAtMillis + READ_INTERVAL_MILLIS - clock.nowMillis())
                readAtMillis = clock.nowMillis()
                // The read may be canceled, and what was read before is older.
                snapshot = null
                snapshot = readStore()
            }
            snapshot
        }
    }

    private fun found(stream: KnownStream, source: String): StreamFinding =
        stream.origin?.let { StreamFinding.Found(it, source) } ?: StreamFinding.Uncertain

    private companion object {
        /** Time in which the report of a stream that has begun arrives at the coordinator. */
        const val REPORT_MILLIS = 400L
        const val RETRY_MILLIS = 50L

        /** Keeps the reads of all processes without a coordinator within the store's limit. */
        const val READ_INTERVAL_MILLIS = 200L
    }
}
