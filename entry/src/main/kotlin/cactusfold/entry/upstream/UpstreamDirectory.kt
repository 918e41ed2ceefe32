package cactusfold.entry.upstream

import cactusfold.decisions.fleet.RowsHold
import cactusfold.decisions.fleet.RowsRead
import cactusfold.decisions.places.HomeRegions
import cactusfold.decisions.rate.UpstreamStart
import cactusfold.entry.process.EventLog
import cactusfold.node.time.MonotonicClock
import cactusfold.platform.UpstreamDecoder
import cactusfold.ports.serving.Decoded
import cactusfold.ports.serving.RequestMetadata
import cactusfold.ports.serving.UpstreamEntry
import cactusfold.ports.table.ChangeFeed
import cactusfold.ports.table.RowChange
import cactusfold.protocol.entry.Departure
import cactusfold.protocol.entry.FleetNotice
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull

/** Mirrors the upstreams registered in the platform's store and selects among them. */
public class UpstreamDirectory(
    feed: ChangeFeed,
    private val clock: MonotonicClock,
    private val events: EventLog,
    zone: String,
    private val eligibility: UpstreamEligibility = UpstreamEligibility(),
    polling: () -> UpstreamPolling
) {
    private val pendingWake = Channel<Unit>(Channel.CONFLATED)
    private var announcedRevision: UpstreamsRevision? = null
    private val rows = LinkedHashMap<String, RegisteredRow>()
    private val follower = UpstreamFollower(feed, clock, events, polling, FollowedTable())

    private val upstreams = LinkedHashMap<String, Upstream>()
    private val listeners = mutableListOf<() -> Unit>()
    private val missing = MissingUpstreams(clock, events)
    private val departed = mutableSetOf<Departure>()

    /** The last starts that ended without notice, by the ids under which others may return. */
    private val droppedStarts = LinkedHashMap<String, UpstreamStart>()
    private val leavingStarts = LeavingStarts()

    /** Until when starts without a registration have asked to be sent nothing. */
    private val pausedUntilMillis = HashMap<UpstreamStart, Long>()
    private val unreported = mutableSetOf<UpstreamStart>()
    private var hold = RowsHold()
    private val isHeldNow = MutableStateFlow(false)

    private val readings = RowReadings()
    private val confirmations = RowConfirmations(clock, events)

    /** Is told of each check of silent upstreams; null as time if this process was suspended. */
    public var onSilenceChecked: (List<Upstream>, nowMillis: Long?) -> Unit = { _, _ -> }

    /** Follows what reads of the rows show, by this process or the coordinator. */
    public var readListener: RowReadListener? = null

    /** Is told of starts that ended without notice: another one is registered in their place. */
    public var onStartReplaced: (UpstreamStart) -> Unit = {}

    /** Is told of the rows that this process reads itself. */
    public var rowListener: UpstreamRowListener? = null

    /** The rows of all registered upstreams. */
    public val registeredRows: Collection<RegisteredRow> get() = rows.values

    /** The last read of the rows by this process; null before the first one. */
    public val lastRead: CompletedRead? get() = follower.lastRead

    /** Whether no row is missing that may return after an outage of the store. */
    public val isComplete: Boolean get() = missing.ids.isEmpty()

    /**
     * Whether requests have to wait for a read of the rows: the store answers again, and upstreams
     * may have left while it did not.
     */
    public val isHeld: Boolean get() = isHeldNow.value

    /** Until when the rows that the coordinator passed on replace reads by this process. */
    public val relayedUntilMillis: Long get() = follower.relayedUntilMillis

    /** Requests of other VMs at each runner. */
    private val fleetLoads: FleetLoads = FleetLoads()

    /** Chooses among upstreams that can serve a request. */
    public val chooser: UpstreamChooser = UpstreamChooser(zone, fleetLoads)

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

    /** Records that the store answers this process again. */
    public fun storeRegained() {
        hold(hold.contactRegained(clock.nowMillis()))
        if (isHeld) follower.readNow()
    }

    /** Records that the store does not answer this process. */
    public fun storeLost(): Unit = hold(hold.contactLost())

    /** Waits until [isHeld] is false. Returns whether it is before [untilMillis]. */
    public suspend fun awaitRows(untilMillis: Long): Boolean =
        withTimeoutOrNull(untilMillis - clock.nowMillis()) { isHeldNow.first { !it } } != null

    private fun hold(next: RowsHold) {
        if (next.isHeld && !hold.isHeld) {
            events.write("rows-awaited", "age_ms" to confirmations.ageMillis)
        }
        hold = next
        isHeldNow.value = next.isHeld
    }

    /** Has the rows read soon, since what is known of an upstream has turned out to be wrong. */
    public fun markOutdated(): Unit = follower.markOutdated()

    /** Has the role of this process, which decides how often it reads the rows, looked at again. */
    public fun roleChanged(): Unit = follower.wake()

    /**
     * Applies rows that the coordinator has passed on. Returns false if this process knows a later
     * era of the store, whose rows they cannot be compared with.
     */
    public fun relayed(news: RowNews): Boolean {
        if (!follower.accepts(news.read)) return false
        val revisionBefore = revision
        val changes = news.rows.filter { follower.isNews(it, news.read) }
        for (row in changes) {
            val value = row.value
            if (value == null) {
                drop(row.sort, RowSource.COORDINATOR)
            } else {
                apply(row, value, news.read, news.beganAtMillis)
            }
        }
        if (news.isFull && follower.provesAbsence(news.read)) {
            (upstreams.keys - news.rows.mapTo(mutableSetOf()) { it.sort })
                .forEach { drop(it, RowSource.COORDINATOR) }
        }
        val wereUnregistered = upstreams.values.count { it.unregisteredAtMillis != null }
        if (news.isComplete && news.beganAtMillis != null) {
            confirmRegistered(news.beganAtMillis)
            allRead(news.read, news.beganAtMillis, RowSource.COORDINATOR)
        }
        follower.applied(news)
        news.beganAtMillis?.let { hold(hold.shown(it)) }
        val isFirst = !isKnown
        isKnown = true
        if (isFirst || changes.isNotEmpty() || revision != revisionBefore || wereUnregistered > 0) {
            changed()
        }
        return true
    }

    /** Returns the reachable upstreams of [service] that have [model] and [adapter] loaded. */
    public fun serving(service: String, model: String?, adapter: String?): List<Upstream> {
        val nowMillis = clock.nowMillis()
        return upstreams.values.filter {
            it.entry.service == service &&
                it.isUsable &&
                it.serves(model, adapter, nowMillis) &&
                !it.isDown(nowMillis)
        }
    }

    /**
     * Returns the best of [candidates], or null when all are full or backed off. Silent upstreams
     * are considered only if all candidates are silent.
     */
    public fun choose(
        candidates: List<Upstream>,
        request: RequestMetadata,
        hasPlace: (Upstream) -> Boolean = { true }
    ): Upstream? {
        val nowMillis = clock.nowMillis()
        val responsive = candidates.filterNot { it.isSilent(nowMillis) }.ifEmpty { candidates }
        return chooser.choose(responsive.filter(hasPlace), request, nowMillis)
    }

    /** Whether another upstream of the service of [upstream] has sent data after [atMillis]. */
    public fun hasHeardOther(upstream: Upstream, atMillis: Long): Boolean = upstreams.values.any {
        it.entry.service == upstream.entry.service &&
            it.entry.id != upstream.entry.id &&
            it.silence.receivedAtMillis > atMillis
    }

    /** Applies the loads of runners that the coordinator announced in [notice]. */
    public fun applyLoads(notice: FleetNotice): Unit =
        fleetLoads.apply(notice, clock.nowMillis()) { upstreams[it]?.load }

    /** Returns what is expected of [request], which is about to be sent to [upstream]. */
    public fun expect(upstream: Upstream, request: RequestMetadata): ExpectedSend? = chooser.expect(
        upstream,
        serving(upstream.entry.service, request.model, request.adapter),
        request,
        clock.nowMillis()
    )

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
        upstream.unregisteredAtMillis = clock.nowMillis()
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

    /** Notifies requests at silent upstreams while any are outstanding, until cancelled. */
    public suspend fun watchSilence() {
        var checkedAtMillis = clock.nowMillis()
        while (true) {
            if (upstreams.values.none { it.silence.isPending }) {
                pendingWake.receive()
                checkedAtMillis = clock.nowMillis()
            }
            delay(SILENCE_CHECK_MILLIS)
            val nowMillis = clock.nowMillis()
            // After a suspension of this process, data that arrived meanwhile is still unread.
            val wasSuspended = nowMillis - checkedAtMillis > MIN_SUSPENSION_MILLIS
            checkedAtMillis = nowMillis
            val all = upstreams.values.toList()
            if (wasSuspended) all.forEach { it.silence.dataReceived(nowMillis) }
            onSilenceChecked(all, nowMillis.takeUnless { wasSuspended })
            all.filter { it.isSilent(nowMillis) }.forEach { it.silence.notifyPending() }
        }
    }

    /** Keeps the registered upstreams up to date until cancelled. */
    public suspend fun run(): Unit = follower.run()

    private inner class FollowedTable : FollowedRows {
        override val nextExpiryMillis: Long?
            get() = missing.nextExpiryMillis

        override fun read(rows: List<RowChange>, isSnapshot: Boolean, beganAtMillis: Long) {
            val read = checkNotNull(follower.lastRead).read
            applyRead(rows, isSnapshot, read, beganAtMillis)
            confirmRegistered(beganAtMillis)
            allRead(read, beganAtMillis, RowSource.STORE)
            isKnown = true
            hold(hold.shown(beganAtMillis))
            changed()
            rowListener?.readCompleted()
        }

        override fun storeFailed(beganAtMillis: Long) {
            missing.storeFailed()
            confirmations.readFailed()
            hold(hold.readFailed(beganAtMillis))
        }

        override fun writesLost(): Unit = missing.writesLost()

        override fun dropExpired() {
            readListener?.active()
            this@UpstreamDirectory.dropExpired()
        }
    }

    /** Records that [source] has shown all rows as of [read], which began at [begunAtMillis]. */
    private fun allRead(read: RowsRead, begunAtMillis: Long, source: RowSource) {
        readings.completed(read, begunAtMillis)
        confirmations.confirmed(begunAtMillis, source)
        readListener?.allRead(begunAtMillis)
    }

    private fun applyRead(
        rows: List<RowChange>,
        isSnapshot: Boolean,
        read: RowsRead,
        begunAtMillis: Long
    ) {
        val gone = mutableSetOf<String>()
        if (isSnapshot) gone += upstreams.keys - rows.mapTo(mutableSetOf()) { it.sort }
        for (row in rows) {
            val value = row.value
            if (value == null) {
                gone += row.sort
            } else {
                gone -= row.sort
                apply(row, value, read, begunAtMillis)
            }
        }
        missing.add(gone.mapNotNull(upstreams::get), upstreams.values)
            .forEach { drop(it.entry.id, RowSource.STORE) }
    }

    private fun apply(row: RowChange, value: ByteArray, read: RowsRead, begunAtMillis: Long?) {
        when (val decoded = UpstreamDecoder.entry(row.sort, value)) {
            is Decoded.Valid -> {
                applyAnnouncement(decoded.value)
                val registered = RegisteredRow(decoded.value, row)
                rows[row.sort] = registered
                rowListener?.registered(registered)
                readListener?.rowRead(decoded.value, readings.of(row, read, begunAtMillis))
            }
            is Decoded.Invalid -> {
                events.write(
                    "upstream-unreadable",
                    "upstream" to row.sort,
                    "reason" to decoded.reason
                )
                // The row is there, so its upstream does not write the same one again.
                drop(row.sort, RowSource.STORE)
            }
        }
    }

    /** Ends what was heard, before a read began at [beganAtMillis], of rows that are there. */
    private fun confirmRegistered(beganAtMillis: Long) {
        for ((id, upstream) in upstreams) {
            val heardAtMillis = upstream.unregisteredAtMillis ?: continue
            if (heardAtMillis < beganAtMillis && id !in missing.ids) {
                upstream.unregisteredAtMillis = null
            }
        }
    }

    private fun applyAnnouncement(entry: UpstreamEntry) {
        missing.returned(entry.id)
        val known = upstreams[entry.id]
        val start = UpstreamStart(entry.id, entry.startedAtEpochMillis)
        if (entry.isDraining) leavingStarts.add(start, clock.nowMillis())
        if (known == null || known.start != start) {
            known?.unregisteredAtMillis = clock.nowMillis()
            val before = known?.let { if (it.isGoing) null else it.start }
                ?: droppedStarts.remove(entry.id)
            if (before != null && before != start) onStartReplaced(before)
            upstreams[entry.id] = Upstream(entry, eligibility).also {
                it.isLeaving = start in leavingStarts
                if (known != null || before != null && before != start) {
                    it.replacedAnotherAtMillis = clock.nowMillis()
                }
                it.silence.onFirstPending = { pendingWake.trySend(Unit) }
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

    private fun dropExpired(): Unit = missing.expired().forEach { drop(it, RowSource.EXPIRY) }

    private fun drop(id: String, source: RowSource) {
        missing.forget(id)
        rows.remove(id)
        val upstream = upstreams.remove(id) ?: return
        upstream.unregisteredAtMillis = clock.nowMillis()
        if (!upstream.isGoing) droppedStarts[id] = upstream.start
        if (droppedStarts.size >
            MAX_DROPPED_STARTS
        ) {
            droppedStarts.remove(droppedStarts.keys.first())
        }
        pausedUntilMillis.values.removeIf { it <= clock.nowMillis() }
        if (upstream.isPaused(clock.nowMillis())) {
            pausedUntilMillis[upstream.start] = upstream.pausedUntilMillis
        }
        departed += upstream.departure.toBuilder().setIsUnregistered(true).build()
        revision++
        events.write("upstream-gone", "upstream" to id, "source" to source.label)
        rowListener?.ended(id)
    }

    /** Has the pause go on that the start of [upstream] asked for before its row lapsed. */
    private fun resumePause(upstream: Upstream) {
        val nowMillis = clock.nowMillis()
        pausedUntilMillis.remove(upstream.start)?.let {
            upstream.recordPause(it - nowMillis, nowMillis)
        }
    }

    private companion object {
        const val SILENCE_CHECK_MILLIS = 100L

        /** A gap of this length between two checks is longer than scheduling delays explain. */
        const val MIN_SUSPENSION_MILLIS = 400L
        const val MAX_DROPPED_STARTS = 1_000
    }
}
