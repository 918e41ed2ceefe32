package cactusfold.entry.upstream

import cactusfold.decisions.fleet.ReadPace
import cactusfold.decisions.fleet.RelayedRows
import cactusfold.decisions.fleet.RowsRead
import cactusfold.entry.process.EventLog
import cactusfold.node.time.MonotonicClock
import cactusfold.platform.UpstreamDecoder
import cactusfold.ports.table.ChangeFeed
import cactusfold.ports.table.FeedResult
import cactusfold.ports.table.RowChange
import kotlin.random.Random
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull

/** What [UpstreamFollower] keeps up to date. */
internal interface FollowedRows {
    /** When a missing row will be given up next; null if none is missing. */
    val nextExpiryMillis: Long?

    /** Applies the result of a read that was sent at [beganAtMillis]. */
    fun read(rows: List<RowChange>, isSnapshot: Boolean, beganAtMillis: Long)

    /** Records that the store did not answer a read sent at [beganAtMillis]. */
    fun storeFailed(beganAtMillis: Long)

    /** Records that the store has lost writes. */
    fun writesLost()

    /** Drops upstreams whose rows have been missing for too long. */
    fun dropExpired()
}

/**
 * Reads the rows of upstreams, as often as the role of this process requires. While the coordinator
 * passes rows on, nothing is read.
 */
internal class UpstreamFollower(
    private val feed: ChangeFeed,
    private val clock: MonotonicClock,
    private val events: EventLog,
    private val polling: () -> UpstreamPolling,
    private val rows: FollowedRows
) {
    private val wake = Channel<Unit>(Channel.CONFLATED)
    private var isOutdated = true
    private var wasCoordinator = false

    /** From where the next read continues; null if it is a snapshot. */
    private var next: RowsRead? = null

    /** The last read by this process that succeeded. */
    private var own: RowsRead? = null

    /** The coordinator's read that was passed on last. */
    private var relayed: RowsRead? = null
    private var readAtMillis = clock.nowMillis()
    private var retryAtMillis: Long? = readAtMillis
    private var failures = 0
    private var readNowAtMillis = Long.MIN_VALUE / 2

    /** The last read by this process; null before the first one. */
    var lastRead: CompletedRead? = null
        private set

    /** Until when the rows that were passed on replace reads by this process. */
    var relayedUntilMillis: Long = Long.MIN_VALUE / 2
        private set

    /** Has the rows read soon, unless the coordinator passes them on. */
    fun markOutdated() {
        isOutdated = true
        wake.trySend(Unit)
    }

    /** Has the rows read without waiting for the pause after a failed read. */
    fun readNow() {
        readNowAtMillis = clock.nowMillis()
        val spreadMillis = ReadPace.firstReadsMillis(polling().members)
        retryAtMillis = readNowAtMillis + Random.nextLong(spreadMillis + 1)
        wake.trySend(Unit)
    }

    /** Has the role of this process looked at again. */
    fun wake() {
        wake.trySend(Unit)
    }

    /** Whether rows of the coordinator's [read] may be applied. */
    fun accepts(read: RowsRead): Boolean = RelayedRows.isUsable(own, read)

    /** Whether [row], which came with the coordinator's [read], is news. */
    fun isNews(row: RowChange, read: RowsRead): Boolean =
        RelayedRows.applies(own, read, row.version)

    /** Whether an upstream is not registered if the coordinator's [read] does not contain it. */
    fun provesAbsence(read: RowsRead): Boolean = RelayedRows.provesAbsence(own, read)

    /** Records that [news] was applied. */
    fun applied(news: RowNews) {
        relayed = news.read
        next = RelayedRows.continuation(own, news.read, news.isComplete)
        failures = 0
        val beganAtMillis = news.beganAtMillis ?: return
        relayedUntilMillis = maxOf(relayedUntilMillis, beganAtMillis + RELAY_VALID_MILLIS)
    }

    /** Keeps the rows up to date until cancelled. */
    suspend fun run() {
        while (true) {
            awaitDue()
            step()
            rows.dropExpired()
        }
    }

    private suspend fun step() {
        val role = polling()
        val isCoordinator = role is UpstreamPolling.Coordinator
        // Rows that were passed on lack changes that only the coordinator needs.
        if (isCoordinator && !wasCoordinator) next = null
        wasCoordinator = isCoordinator
        isOutdated = false
        retryAtMillis = null
        val from = next
        val beganAtMillis = clock.nowMillis()
        val result = from?.let {
            feed.changes(UpstreamDecoder.TABLE, it.position, waitMillis(role, beganAtMillis))
        } ?: feed.snapshot(UpstreamDecoder.TABLE)
        readAtMillis = clock.nowMillis()
        when (result) {
            is FeedResult.Changes -> handle(result, from, beganAtMillis)
            FeedResult.HistoryGone -> readAgain()
            is FeedResult.Unavailable -> {
                rows.storeFailed(beganAtMillis)
                failures++
                val pauseMillis = ReadPace.retryMillis(failures, role.members)
                val wasSentBefore = beganAtMillis < readNowAtMillis
                retryAtMillis = readAtMillis + if (wasSentBefore) 0 else pauseMillis
            }
        }
    }

    /** A read that waits for changes is given up later, and puts off what is due meanwhile. */
    private fun waitMillis(role: UpstreamPolling, nowMillis: Long): Long {
        if (failures > 0) return 0
        val untilExpiryMillis = rows.nextExpiryMillis?.minus(nowMillis) ?: return role.waitMillis
        return role.waitMillis.coerceAtMost(untilExpiryMillis.coerceAtLeast(0))
    }

    private fun handle(result: FeedResult.Changes, from: RowsRead?, beganAtMillis: Long) {
        val read = RowsRead(result.era, result.position)
        failures = 0
        val knownEra = from?.era ?: own?.era
        if (knownEra != null && result.era != knownEra) {
            // Rows that the store has lost are written again by their upstreams.
            rows.writesLost()
            events.write("store-era", "for" to "upstreams", "era" to result.era)
            own = null
            return readAgain()
        }
        // The coordinator has passed on newer rows during the read.
        if (next !== from && relayed?.covers(read) == true) return
        own = read
        next = read
        lastRead = CompletedRead(read, beganAtMillis)
        rows.read(result.rows, from == null, beganAtMillis)
    }

    private fun readAgain() {
        next = null
        retryAtMillis = readAtMillis
    }

    private suspend fun awaitDue() {
        while (true) {
            val role = polling()
            val dueAtMillis = if (role is UpstreamPolling.Following) {
                role.untilMillis
            } else {
                retryAtMillis ?: role.nextReadMillis(readAtMillis, isOutdated)
            }
            val nowMillis = clock.nowMillis()
            if (dueAtMillis <= nowMillis) return
            val wakeAtMillis = minOf(
                dueAtMillis,
                rows.nextExpiryMillis ?: dueAtMillis,
                role.validUntilMillis
            )
            withTimeoutOrNull(wakeAtMillis - nowMillis) { wake.receive() }
            rows.dropExpired()
        }
    }

    private companion object {
        /**
         * Age of the coordinator's read at which a process reads the rows itself. Below the least
         * bound after which a leaving upstream gets nothing more, 2,000 ms, by the time of a read.
         */
        const val RELAY_VALID_MILLIS = 1_500L
    }
}
