package cactusfold.entry.upstream

import cactusfold.decisions.Rendezvous
import cactusfold.decisions.places.HomeRegions
import cactusfold.decisions.rate.RowReading
import cactusfold.decisions.rate.RowVersion
import cactusfold.decisions.rate.UpstreamStart
import cactusfold.decisions.routing.ReplicaChoice
import cactusfold.entry.process.EventLog
import cactusfold.node.time.MonotonicClock
import cactusfold.platform.UpstreamDecoder
import cactusfold.ports.serving.Decoded
import cactusfold.ports.serving.UpstreamEntry
import cactusfold.ports.table.ChangeFeed
import cactusfold.ports.table.FeedResult
import cactusfold.ports.table.RowChange
import cactusfold.protocol.entry.Departure
import kotlin.random.Random
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull

/** Mirrors the upstreams registered in the platform's store and selects among them. */
public class UpstreamDirectory(
    private val feed: ChangeFeed,
    private val clock: MonotonicClock,
    private val events: EventLog,
    private val zone: String,
    private val eligibility: UpstreamEligibility = UpstreamEligibility(),
    private val polling: () -> UpstreamPolling
) {
    private val wake = Channel<Unit>(Channel.CONFLATED)
    private var announcedRevision: UpstreamsRevision? = null
    private var isOutdated = true

    private val upstreams = LinkedHashMap<String, Upstream>()
    private val choice = ReplicaChoice(ZONE_CROSSING_MILLIS, AFFINITY_LOAD_GAP)
    private val listeners = mutableListOf<() -> Unit>()
    private val missingSinceMillis = HashMap<String, Long>()
    private val departed = mutableSetOf<Departure>()
    private val leavingStarts = LeavingStarts()

    /** Until when starts without a registration have asked to be sent nothing. */
    private val pausedUntilMillis = HashMap<UpstreamStart, Long>()
    private val unreported = mutableSetOf<UpstreamStart>()
    private var storeFailedAtMillis = Long.MIN_VALUE / 2
    private var readsBegun = 0L
    private var readBegunAtMillis = Long.MIN_VALUE / 2

    /** When the last read began that showed all rows of the present era. */
    private var shownAtMillis = Long.MIN_VALUE / 2

    /** Follows the reads of the rows. */
    public var rowListener: UpstreamRowListener? = null

    /** Number of times that an upstream joined, left or restarted, as seen by this process. */
    public var revision: Long = 0
        private set

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

    /**
     * Returns the software versions of all registered upstreams of [service], also leaving ones.
     */
    public fun versionsOf(service: String): Set<String> = upstreams.values
        .filter { it.entry.service == service }
        .mapTo(mutableSetOf()) { it.entry.softwareVersion }

    /**
     * Whether an upstream of [service] and [softwareVersion] may receive requests, now or after the
     * rows were read again.
     */
    public fun isServing(service: String, softwareVersion: String): Boolean = upstreams.values.any {
        it.entry.service == service &&
            it.entry.softwareVersion == softwareVersion &&
            !it.isGoing &&
            !it.isEvacuated
    }

    /** Returns the registered upstreams in [zone]. */
    public fun inZone(zone: String): List<Upstream> =
        upstreams.values.filter { it.entry.zone == zone }

    /** Returns the registered upstreams of [service] in [homes], also those that are not usable. */
    public fun inHomes(service: String, homes: HomeRegions): List<Upstream> =
        upstreams.values.filter { it.entry.service == service && homes.accepts(it.region) }

    /** Returns the ids of upstreams to which connections failed recently. */
    public fun down(): List<String> {
        val nowMillis = clock.nowMillis()
        return upstreams.values.filter { it.isDown(nowMillis) }.map { it.entry.id }
    }

    /** Returns the upstreams that are leaving, and those removed since the last call. */
    public fun takeLeaving(): Set<Departure> {
        val leaving = upstreams.values.filter { it.isGoing }
            .mapTo(mutableSetOf()) { it.departure }
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

    /** Records the coordinator's [announced] revision; a new one means that rows have changed. */
    public fun announced(announced: UpstreamsRevision) {
        if (announced == announcedRevision) return
        announcedRevision = announced
        markOutdated()
    }

    /** Has the rows read soon, since what is known of an upstream has turned out to be wrong. */
    public fun markOutdated() {
        isOutdated = true
        wake.trySend(Unit)
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

    /**
     * Returns the time until the first of [candidates] may be sent requests again, if all of them
     * have asked for a pause; otherwise null.
     */
    public fun pauseMillis(candidates: List<Upstream>): Long? {
        val untilMillis = candidates.minOfOrNull { it.pausedUntilMillis } ?: return null
        return (untilMillis - clock.nowMillis()).takeIf { it > 0 }
    }

    /** Records that [start] has said that it is leaving, whether it is registered now or not. */
    public fun recordLeaving(start: UpstreamStart) {
        if (start !in leavingStarts) unreported += start
        markLeaving(start)
    }

    private fun markLeaving(start: UpstreamStart) {
        leavingStarts.add(start, clock.nowMillis())
        val upstream = upstreams[start.id]?.takeIf { it.start == start && !it.isLeaving } ?: return
        upstream.isLeaving = true
        events.write("upstream-leaving", "upstream" to start.id)
        changed()
    }

    /** Records a [departure] that another process was told of. */
    public fun recordDeparture(departure: Departure) {
        val start =
            UpstreamStart(departure.upstream, departure.startedAtEpochMillis.takeIf { it > 0 })
        if (!departure.isUnregistered) return markLeaving(start)
        val upstream = upstreams[start.id]?.takeIf { it.start == start } ?: return
        upstream.unregisteredInRead = readsBegun
        changed()
        markOutdated()
    }

    /** Has all that is known of leaving upstreams returned by the next [takeDepartures]. */
    public fun markDeparturesUnsent() {
        unreported += leavingStarts.all
    }

    /**
     * Returns the upstreams that have said that they are leaving: those that are registered, and
     * the others since the last call.
     */
    public fun takeDepartures(): Set<Departure> {
        val leaving = upstreams.values.filter { it.isLeaving }.mapTo(mutableSetOf()) { it.start }
        leaving += unreported
        unreported.clear()
        return leaving.mapTo(mutableSetOf(), Upstream::departureOf)
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
        var era: Long? = null
        while (true) {
            isOutdated = false
            readsBegun++
            readBegunAtMillis = clock.nowMillis()
            rowListener?.readBegun()
            when (val result = read(position)) {
                is FeedResult.Changes -> if (era != null && result.era != era) {
                    // Rows that the store has lost are written again by their upstreams.
                    storeFailedAtMillis = clock.nowMillis()
                    shownAtMillis = Long.MIN_VALUE / 2
                    events.write("store-era", "for" to "upstreams", "era" to result.era)
                    era = result.era
                    position = null
                } else {
                    era = result.era
                    if (position == null) {
                        replaceAll(result.rows, result.era)
                    } else {
                        result.rows.forEach { apply(it, result.era) }
                    }
                    confirmRegistered()
                    shownAtMillis = readBegunAtMillis
                    rowListener?.allRead(readBegunAtMillis)
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
        while (true) {
            val intervalMillis = polling().intervalMillis(isOutdated)
            val leftMillis = readAtMillis + intervalMillis - clock.nowMillis()
            if (leftMillis <= 0) return
            // The role of this process may change during the wait, without a notice.
            withTimeoutOrNull(leftMillis.coerceAtMost(POLL_CHECK_MILLIS)) { wake.receive() }
        }
    }

    private suspend fun read(position: Long?): FeedResult =
        position?.let { feed.changes(UpstreamDecoder.TABLE, it, FEED_WAIT_MILLIS) }
            ?: feed.snapshot(UpstreamDecoder.TABLE)

    private fun replaceAll(rows: List<RowChange>, era: Long) {
        rows.forEach { apply(it, era) }
        val present = rows.mapTo(mutableSetOf()) { it.sort }
        (upstreams.keys - present).forEach(::markMissing)
    }

    private fun apply(row: RowChange, era: Long) {
        val value = row.value ?: return markMissing(row.sort)
        when (val decoded = UpstreamDecoder.entry(row.sort, value)) {
            is Decoded.Valid -> {
                applyAnnouncement(decoded.value)
                val reading =
                    RowReading(RowVersion(era, row.version), readBegunAtMillis, shownAtMillis)
                rowListener?.rowRead(decoded.value, reading)
            }
            is Decoded.Invalid -> {
                events.write(
                    "upstream-unreadable",
                    "upstream" to row.sort,
                    "reason" to decoded.reason
                )
                // The row is there, so its upstream does not write the same one again.
                drop(row.sort)
            }
        }
    }

    /** Ends what was heard, before this read began, of missing rows that are there. */
    private fun confirmRegistered() {
        for ((id, upstream) in upstreams) {
            val heardInRead = upstream.unregisteredInRead ?: continue
            if (heardInRead < readsBegun && id !in missingSinceMillis) {
                upstream.unregisteredInRead = null
            }
        }
    }

    private fun applyAnnouncement(entry: UpstreamEntry) {
        missingSinceMillis.remove(entry.id)
        val known = upstreams[entry.id]
        val start = UpstreamStart(entry.id, entry.startedAtEpochMillis)
        if (entry.isDraining) leavingStarts.add(start, clock.nowMillis())
        if (known == null || known.start != start) {
            known?.unregisteredInRead = readsBegun
            upstreams[entry.id] = Upstream(entry, eligibility).also {
                it.isLeaving = start in leavingStarts
                resumePause(it)
            }
            revision++
            lastJoinedMillis = clock.nowMillis()
            events.write("upstream-new", "upstream" to entry.id, "service" to entry.service)
            return
        }
        if (entry.isDraining && !known.entry.isDraining) {
            revision++
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
        val upstream = upstreams.remove(id) ?: return
        upstream.unregisteredInRead = readsBegun
        pausedUntilMillis.values.removeIf { it <= clock.nowMillis() }
        if (upstream.isPaused(clock.nowMillis())) {
            pausedUntilMillis[upstream.start] = upstream.pausedUntilMillis
        }
        departed += upstream.departure.toBuilder().setIsUnregistered(true).build()
        revision++
        events.write("upstream-gone", "upstream" to id)
    }

    /** Has the pause go on that the start of [upstream] asked for before its row lapsed. */
    private fun resumePause(upstream: Upstream) {
        val nowMillis = clock.nowMillis()
        pausedUntilMillis.remove(upstream.start)?.let {
            upstream.recordPause(it - nowMillis, nowMillis)
        }
    }

    private companion object {
        /** Added to the cost of an upstream in another availability zone. */
        const val ZONE_CROSSING_MILLIS = 1.0

        /** Additional load, as a share of slots, accepted at the upstream with affinity. */
        const val AFFINITY_LOAD_GAP = 0.1

        const val POLL_CHECK_MILLIS = 200L
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
