package cactusfold.entry.upstream

import cactusfold.decisions.Rendezvous
import cactusfold.decisions.routing.ReplicaChoice
import cactusfold.entry.process.EventLog
import cactusfold.node.time.MonotonicClock
import cactusfold.platform.UpstreamDecoder
import cactusfold.ports.serving.Decoded
import cactusfold.ports.serving.UpstreamEntry
import cactusfold.ports.table.ChangeFeed
import cactusfold.ports.table.FeedResult
import cactusfold.ports.table.RowChange
import kotlin.random.Random
import kotlinx.coroutines.delay

/** Mirrors the upstreams registered in the platform's store and selects among them. */
public class UpstreamDirectory(
    private val feed: ChangeFeed,
    private val clock: MonotonicClock,
    private val events: EventLog,
    private val zone: String,
    private val pollMillis: () -> Long
) {
    private val upstreams = LinkedHashMap<String, Upstream>()
    private val choice = ReplicaChoice(ZONE_CROSSING_MILLIS, AFFINITY_LOAD_GAP)
    private val listeners = mutableListOf<() -> Unit>()
    private val missingSinceMillis = HashMap<String, Long>()
    private val departed = mutableSetOf<String>()
    private var storeFailedAtMillis = Long.MIN_VALUE / 2

    /** Whether the upstreams have been read at least once. */
    public var isKnown: Boolean = false
        private set

    /** When an upstream last appeared, either new or restarted. */
    public var lastJoinedMillis: Long = Long.MIN_VALUE / 2
        private set

    /** The upstreams that may receive requests. */
    public val usable: List<Upstream> get() = upstreams.values.filter { it.isUsable }

    /** Returns the upstream with [id], or null. */
    public fun find(id: String): Upstream? = upstreams[id]

    /** Returns the ids of upstreams to which connections failed recently. */
    public fun down(): List<String> {
        val nowMillis = clock.nowMillis()
        return upstreams.values.filter { it.isDown(nowMillis) }.map { it.entry.id }
    }

    /** Returns the ids of draining upstreams and of those removed since the last call. */
    public fun takeLeaving(): Set<String> {
        val leaving = upstreams.values.filter {
            it.entry.isDraining
        }.mapTo(mutableSetOf()) { it.entry.id }
        leaving += departed
        departed.clear()
        return leaving
    }

    /** Registers [listener], called after changes of the upstreams or their loaded models. */
    public fun listen(listener: () -> Unit) {
        listeners += listener
    }

    /** Notifies the listeners of a change. */
    public fun changed() {
        listeners.forEach { it() }
    }

    /** Returns the reachable upstreams of [service] that have [model] and [adapter] loaded. */
    public fun serving(service: String, model: String?, adapter: String?): List<Upstream> {
        val nowMillis = clock.nowMillis()
        return upstreams.values.filter {
            it.entry.service == service &&
                it.isUsable &&
                it.serves(model, adapter) &&
                !it.isDown(nowMillis)
        }
    }

    /**
     * Returns the best of [candidates], or null when all are full or backed off. Silent upstreams
     * are considered only if all candidates are silent.
     *
     * @param affinity key that selects the same upstream each time as long as loads are similar.
     */
    public fun choose(candidates: List<Upstream>, affinity: String?): Upstream? {
        val nowMillis = clock.nowMillis()
        val responsive = candidates.filterNot { it.isSilent(nowMillis) }.ifEmpty { candidates }
        val views = responsive.map { it.view(nowMillis) }
        val preferred = affinity?.let {
            Rendezvous.preferred(it, responsive.map { c -> c.entry.id })
        }
        val chosen = choice.choose(
            views,
            zone,
            preferred,
            Random.nextInt(Int.MAX_VALUE),
            Random.nextInt(Int.MAX_VALUE),
            nowMillis
        ) ?: return null
        return upstreams[chosen.upstream]
    }

    /** Periodically notifies requests at silent upstreams, until cancelled. */
    public suspend fun watchSilence() {
        var checkedAtMillis = clock.nowMillis()
        while (true) {
            delay(SILENCE_CHECK_MILLIS)
            val nowMillis = clock.nowMillis()
            // After a suspension of this process, data that arrived meanwhile is still unread.
            val wasSuspended = nowMillis - checkedAtMillis > MIN_SUSPENSION_MILLIS
            checkedAtMillis = nowMillis
            val all = upstreams.values.toList()
            if (wasSuspended) all.forEach { it.silence.dataReceived(nowMillis) }
            all.filter { it.isSilent(nowMillis) }.forEach { it.silence.notifyPending() }
        }
    }

    /** Keeps the registered upstreams up to date until cancelled. */
    public suspend fun run() {
        var position: Long? = null
        while (true) {
            when (val result = read(position)) {
                is FeedResult.Changes -> {
                    if (position == null) replaceAll(result.rows) else result.rows.forEach(::apply)
                    position = result.position
                    isKnown = true
                    changed()
                    awaitNextPoll()
                }
                FeedResult.HistoryGone -> position = null
                is FeedResult.Unavailable -> {
                    storeFailedAtMillis = clock.nowMillis()
                    delay(RETRY_MILLIS)
                }
            }
            dropExpired()
        }
    }

    private suspend fun awaitNextPoll() {
        val readAtMillis = clock.nowMillis()
        while (clock.nowMillis() - readAtMillis < pollMillis()) delay(POLL_CHECK_MILLIS)
    }

    private suspend fun read(position: Long?): FeedResult =
        position?.let { feed.changes(UpstreamDecoder.TABLE, it, FEED_WAIT_MILLIS) }
            ?: feed.snapshot(UpstreamDecoder.TABLE)

    private fun replaceAll(rows: List<RowChange>) {
        rows.forEach(::apply)
        val present = rows.mapTo(mutableSetOf()) { it.sort }
        (upstreams.keys - present).forEach(::markMissing)
    }

    private fun apply(row: RowChange) {
        val value = row.value ?: return markMissing(row.sort)
        when (val decoded = UpstreamDecoder.entry(row.sort, value)) {
            is Decoded.Valid -> applyAnnouncement(decoded.value)
            is Decoded.Invalid -> {
                events.write(
                    "upstream-unreadable",
                    "upstream" to row.sort,
                    "reason" to decoded.reason
                )
                markMissing(row.sort)
            }
        }
    }

    private fun applyAnnouncement(entry: UpstreamEntry) {
        missingSinceMillis.remove(entry.id)
        val known = upstreams[entry.id]
        if (known == null || known.entry.startedAtEpochMillis != entry.startedAtEpochMillis) {
            upstreams[entry.id] = Upstream(entry)
            lastJoinedMillis = clock.nowMillis()
            events.write("upstream-new", "upstream" to entry.id, "service" to entry.service)
            return
        }
        if (entry.isDraining && !known.entry.isDraining) {
            events.write(
                "upstream-draining",
                "upstream" to entry.id,
                "leaves_in_ms" to entry.timeToShutdownMillis
            )
        }
        known.updateAnnouncement(entry, clock.nowMillis())
    }

    /**
     * Handles an upstream without a row. Rows that expired during a store outage are written again,
     * so shortly after an outage the upstream may be alive and is kept for a grace period.
     */
    private fun markMissing(id: String) {
        if (id !in upstreams) return
        val nowMillis = clock.nowMillis()
        if (nowMillis - storeFailedAtMillis < ROW_RETURN_MILLIS) {
            missingSinceMillis.putIfAbsent(id, nowMillis)
        } else {
            drop(id)
        }
    }

    private fun dropExpired() {
        if (missingSinceMillis.isEmpty()) return
        val nowMillis = clock.nowMillis()
        missingSinceMillis.filterValues { nowMillis - it >= ROW_RETURN_MILLIS }.keys.forEach(::drop)
    }

    private fun drop(id: String) {
        missingSinceMillis.remove(id)
        departed += id
        if (upstreams.remove(id) != null) events.write("upstream-gone", "upstream" to id)
    }

    private companion object {
        /** Added to the cost of an upstream in another availability zone. */
        const val ZONE_CROSSING_MILLIS = 1.0

        /** Additional load, as a share of slots, accepted at the upstream with affinity. */
        const val AFFINITY_LOAD_GAP = 0.1

        const val POLL_CHECK_MILLIS = 50L
        const val SILENCE_CHECK_MILLIS = 100L

        /** A gap of this length between two checks is longer than scheduling delays explain. */
        const val MIN_SUSPENSION_MILLIS = 400L

        /** How long the store waits for a change before it answers a poll. */
        const val FEED_WAIT_MILLIS = 1_000L

        /** Pause after the store could not be read. */
        const val RETRY_MILLIS = 250L

        /** Rows of live upstreams are back within this time after the store recovers. */
        const val ROW_RETURN_MILLIS = 2_000L
    }
}
