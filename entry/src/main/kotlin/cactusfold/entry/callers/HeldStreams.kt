package cactusfold.entry.callers

import cactusfold.decisions.held.HeldOutput
import cactusfold.decisions.held.HeldStream
import cactusfold.entry.process.EventLog
import cactusfold.node.time.MonotonicClock
import io.micrometer.core.instrument.MeterRegistry
import io.vertx.core.Future
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.withTimeoutOrNull

/**
 * What is written to the callers of streams and not sent yet, in one budget of [budgetBytes].
 *
 * The upstream of a caller that is behind is paused as long as that does not make it cut its answer
 * off. Then the answer is read on into the budget. Beyond the budget, streams end as [HeldOutput]
 * decides, and those that go on are paused.
 */
public class HeldStreams(
    budgetBytes: Long,
    private val clock: MonotonicClock,
    private val events: EventLog,
    private val metrics: MeterRegistry
) {
    private val output = HeldOutput(budgetBytes)
    private val behind = mutableSetOf<Stream>()

    /** Memory of all that waits for callers of streams. */
    public var heldBytes: Long = 0
        private set

    private val isOver: Boolean get() = heldBytes > output.budgetBytes

    init {
        metrics.gauge("cactusfold.streams.held.bytes", this) { it.heldBytes.toDouble() }
    }

    /**
     * Returns the account of a stream.
     *
     * @param cut resets the connection of the caller, so that the stream cannot pass as complete.
     */
    public fun open(cut: () -> Unit): Stream = Stream(cut)

    /** The bytes of one stream that wait for its caller. */
    public inner class Stream internal constructor(private val cut: () -> Unit) {
        private var id: String? = null
        private var priority = 0
        private var isResumable = false

        /** Whether the stream was ended because its caller reads too slowly. */
        public var isDropped: Boolean = false
            private set

        private var unsentBytes = 0L
        private var behindSinceMillis = 0L
        private var lastReadAtMillis = 0L

        /** Whether the upstream was paused for as long as it tolerates. */
        private var readsOn = false
        private var sent: CompletableDeferred<Unit>? = null

        /**
         * States what is known of the request with [id]: its [priority], of which 0 is the most
         * urgent, and whether its caller may resume the stream after the last event.
         */
        public fun describe(id: String?, priority: Int, isResumable: Boolean) {
            this.id = id
            this.priority = priority
            this.isResumable = isResumable
        }

        /** Records that [bytes] were written to the caller; [write] completes when they are sent. */
        public fun written(bytes: Int, write: Future<Void>) {
            // What was on its way when the stream was dropped is not counted again.
            if (write.isComplete || isDropped) return
            val takenBytes = bytes + WRITE_OVERHEAD_BYTES
            if (unsentBytes == 0L) {
                behindSinceMillis = clock.nowMillis()
                lastReadAtMillis = behindSinceMillis
                behind += this
            }
            unsentBytes += takenBytes
            heldBytes += takenBytes
            write.onComplete { release(takenBytes) }
            if (isOver) endExcess()
        }

        private fun release(takenBytes: Long) {
            if (isDropped) return
            val wasOver = isOver
            unsentBytes -= takenBytes
            heldBytes -= takenBytes
            lastReadAtMillis = clock.nowMillis()
            if (unsentBytes == 0L) behind -= this
            if (unsentBytes <= RESUME_BYTES) readsOn = false
            wake()
            if (wasOver && !isOver) wakeAll()
        }

        internal fun wake() {
            if (!mustPause(RESUME_BYTES)) sent?.complete(Unit)
        }

        private fun mustPause(aboveBytes: Long): Boolean =
            unsentBytes > 0 && (isOver || (!readsOn && unsentBytes > aboveBytes))

        /** Suspends while the upstream is to be paused; until it is cancelled after a drop. */
        public suspend fun awaitRoom() {
            if (isDropped) awaitCancellation()
            if (!mustPause(PAUSE_BYTES)) return
            val room = CompletableDeferred<Unit>().also { sent = it }
            if (withTimeoutOrNull(HeldOutput.SLOW_MILLIS) { room.await() } == null) {
                readsOn = true
                if (isOver) endExcess()
            }
            sent = null
            if (isDropped) awaitCancellation()
        }

        internal fun view() = HeldStream(
            this,
            priority,
            unsentBytes,
            behindSinceMillis,
            lastReadAtMillis,
            isResumable
        )

        internal fun drop(nowMillis: Long) {
            events.write(
                "stream-dropped",
                "request" to id,
                "reason" to REASON,
                "held_bytes" to unsentBytes,
                "priority" to priority,
                "behind_ms" to nowMillis - behindSinceMillis,
                "unread_ms" to nowMillis - lastReadAtMillis,
                "resumable" to isResumable,
                "all_held_bytes" to heldBytes
            )
            metrics.counter(DROPPED, "reason", REASON, "priority", "$priority").increment()
            isDropped = true
            behind -= this
            heldBytes -= unsentBytes
            cut()
        }
    }

    private fun endExcess() {
        val nowMillis = clock.nowMillis()
        output.excess(behind.map { it.view() }, nowMillis).forEach { it.stream.drop(nowMillis) }
        if (!isOver) wakeAll()
    }

    private fun wakeAll(): Unit = behind.forEach { it.wake() }

    public companion object {
        /** Reason of streams that end, in logs and metrics. */
        public const val REASON: String = "slow-caller"

        private const val DROPPED = "cactusfold.streams.dropped"

        /** The marks of Netty's write queue, between which an upstream is paused. */
        private const val PAUSE_BYTES = 64L * 1024
        private const val RESUME_BYTES = 32L * 1024

        /**
         * An estimate of the objects of one write: a buffer, two promises, and three entries of
         * Netty's queue for the chunk and its framing. Small events take more than their bytes.
         */
        private const val WRITE_OVERHEAD_BYTES = 512L
    }
}
