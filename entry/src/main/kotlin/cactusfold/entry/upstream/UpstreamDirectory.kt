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

/** The upstreams that are registered in the platform's store, and the choice among them. */
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
    private val left = mutableSetOf<String>()
    private var troubleAtMillis = Long.MIN_VALUE / 2

    /** Whether the upstreams were read at least once. */
    public var isKnown: Boolean = false
        private set

    /** When an upstream was last heard of for the first time, or anew after its restart. */
    public var lastJoinedMillis: Long = Long.MIN_VALUE / 2
        private set

    /** All upstreams that may get requests. */
    public val usable: List<Upstream> get() = upstreams.values.filter { it.isUsable }

    /** Returns the upstream with [id], or null. */
    public fun find(id: String): Upstream? = upstreams[id]

    /** Upstreams that this process could not reach a moment ago. */
    public fun down(): List<String> {
        val nowMillis = clock.nowMillis()
        return upstreams.values.filter { it.isDown(nowMillis) }.map { it.entry.id }
    }

    /** Upstreams that leave, and those that have left since the last call. */
    public fun takeLeaving(): Set<String> {
        val leaving = upstreams.values.filter {
            it.entry.isDraining
        }.mapTo(mutableSetOf()) { it.entry.id }
        leaving += left
        left.clear()
        return leaving
    }

    /** Calls [listener] after each change of what upstreams there are or what they hold. */
    public fun listen(listener: () -> Unit) {
        listeners += listener
    }

    /** Tells the listeners that something changed. */
    public fun changed() {
        listeners.forEach { it() }
    }

    /** Returns the upstreams of [service] that can run a request for [model] and [adapter]. */
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
     * Returns the best of [candidates] now, or null when all are full or put aside.
     *
     * @param affinity what prefers the same upstream each time while loads are alike.
     */
    public fun choose(candidates: List<Upstream>, affinity: String?): Upstream? {
        val nowMillis = clock.nowMillis()
        val audible = candidates.filterNot { it.isSilent(nowMillis) }.ifEmpty { candidates }
        val views = audible.map { it.view(nowMillis) }
        val preferred = affinity?.let {
            Rendezvous.preferred(it, audible.map { c -> c.entry.id })
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

    /** Tells requests at upstreams that have gone silent, until cancelled. */
    public suspend fun watchSilence() {
        var lookedAtMillis = clock.nowMillis()
        while (true) {
            delay(LOOK_MILLIS)
            val nowMillis = clock.nowMillis()
            // A process that was suspended has heard nobody; what came meanwhile is read next.
            val wasSuspended = nowMillis - lookedAtMillis > SUSPENDED_MILLIS
            lookedAtMillis = nowMillis
            val all = upstreams.values.toList()
            if (wasSuspended) all.forEach { it.silence.heard(nowMillis) }
            all.filter { it.isSilent(nowMillis) }.forEach { it.silence.tell() }
        }
    }

    /** Follows the registered upstreams until cancelled. */
    public suspend fun run() {
        var position: Long? = null
        while (true) {
            when (val result = read(position)) {
                is FeedResult.Changes -> {
                    if (position == null) replaceAll(result.rows) else result.rows.forEach(::apply)
                    position = result.position
                    isKnown = true
                    changed()
                    pause()
                }
                FeedResult.HistoryGone -> position = null
                is FeedResult.Unavailable -> {
                    troubleAtMillis = clock.nowMillis()
                    delay(RETRY_MILLIS)
                }
            }
            dropMissing()
        }
    }

    private suspend fun pause() {
        val readAtMillis = clock.nowMillis()
        while (clock.nowMillis() - readAtMillis < pollMillis()) delay(PAUSE_STEP_MILLIS)
    }

    private suspend fun read(position: Long?): FeedResult =
        position?.let { feed.changes(UpstreamDecoder.TABLE, it, WAIT_MILLIS) }
            ?: feed.snapshot(UpstreamDecoder.TABLE)

    private fun replaceAll(rows: List<RowChange>) {
        rows.forEach(::apply)
        val present = rows.mapTo(mutableSetOf()) { it.sort }
        (upstreams.keys - present).forEach(::missing)
    }

    private fun apply(row: RowChange) {
        val value = row.value ?: return missing(row.sort)
        when (val decoded = UpstreamDecoder.entry(row.sort, value)) {
            is Decoded.Valid -> announced(decoded.value)
            is Decoded.Invalid -> {
                events.write(
                    "upstream-unreadable",
                    "upstream" to row.sort,
                    "reason" to decoded.reason
                )
                missing(row.sort)
            }
        }
    }

    private fun announced(entry: UpstreamEntry) {
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
        known.announced(entry, clock.nowMillis())
    }

    /** Rows that lapsed while the store was away come back; till then the upstream may live. */
    private fun missing(id: String) {
        if (id !in upstreams) return
        val nowMillis = clock.nowMillis()
        if (nowMillis - troubleAtMillis < RETURN_MILLIS) {
            missingSinceMillis.putIfAbsent(id, nowMillis)
        } else {
            drop(id)
        }
    }

    private fun dropMissing() {
        if (missingSinceMillis.isEmpty()) return
        val nowMillis = clock.nowMillis()
        missingSinceMillis.filterValues { nowMillis - it >= RETURN_MILLIS }.keys.forEach(::drop)
    }

    private fun drop(id: String) {
        missingSinceMillis.remove(id)
        left += id
        if (upstreams.remove(id) != null) events.write("upstream-gone", "upstream" to id)
    }

    private companion object {
        const val ZONE_CROSSING_MILLIS = 1.0

        /** Share of its slots that the upstream with the prompt's start may be fuller. */
        const val AFFINITY_LOAD_GAP = 0.1

        const val PAUSE_STEP_MILLIS = 50L
        const val LOOK_MILLIS = 100L

        /** A pause of this length between two looks is no matter of scheduling. */
        const val SUSPENDED_MILLIS = 400L
        const val WAIT_MILLIS = 1_000L
        const val RETRY_MILLIS = 250L

        /** Within this time of the store's return, lapsed rows of living upstreams are back. */
        const val RETURN_MILLIS = 2_000L
    }
}
