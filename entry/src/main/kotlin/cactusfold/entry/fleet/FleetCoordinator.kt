package cactusfold.entry.fleet

import cactusfold.decisions.rate.UpstreamStart
import cactusfold.entry.callers.SharedPromptBlocks
import cactusfold.entry.callers.SharedSuspects
import cactusfold.entry.config.ConfigWatcher
import cactusfold.entry.places.EvacuationStatus
import cactusfold.entry.process.EventLog
import cactusfold.entry.process.StoredRows
import cactusfold.entry.rate.FleetTokenBuckets
import cactusfold.entry.rate.SendGrants
import cactusfold.entry.rate.TokenWaitingLists
import cactusfold.entry.residency.FleetDemand
import cactusfold.entry.residency.LoadCoordinator
import cactusfold.entry.streams.FleetStreams
import cactusfold.entry.upstream.BrittleUpstreams.Companion.start
import cactusfold.entry.upstream.Upstream
import cactusfold.entry.upstream.UpstreamDirectory
import cactusfold.entry.upstream.UpstreamLimits
import cactusfold.entry.upstream.UpstreamLimits.Companion.start
import cactusfold.node.time.MonotonicClock
import cactusfold.ports.table.ChangeFeed
import cactusfold.ports.table.FeedResult
import cactusfold.protocol.TokenGrant
import cactusfold.protocol.TokenRequest
import cactusfold.protocol.entry.Ability
import cactusfold.protocol.entry.CoordinatorGrpcKt.CoordinatorCoroutineImplBase
import cactusfold.protocol.entry.Departure
import cactusfold.protocol.entry.FleetNotice
import cactusfold.protocol.entry.Forecast
import cactusfold.protocol.entry.MemberReport
import cactusfold.protocol.entry.PromptCrash
import cactusfold.protocol.entry.SendGrant
import cactusfold.protocol.entry.SendRequest
import cactusfold.protocol.entry.ServiceVersions
import cactusfold.protocol.entry.StreamAnswer
import cactusfold.protocol.entry.StreamRequest
import java.util.concurrent.TimeUnit
import kotlin.coroutines.CoroutineContext
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.channelFlow
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull

/** Collaborators of [FleetCoordinator]. */
public class CoordinatorDependencies(
    public val vm: String,
    public val lease: CoordinatorLeaseManager,
    public val directory: UpstreamDirectory,
    public val loads: LoadCoordinator,
    public val demand: FleetDemand,
    public val rates: FleetTokenBuckets,
    public val limits: UpstreamLimits,
    public val config: ConfigWatcher,
    public val evacuations: EvacuationStatus,
    public val suspects: SharedSuspects,
    public val promptBlocks: SharedPromptBlocks,
    public val streams: FleetStreams,
    public val clock: MonotonicClock,
    public val events: EventLog,
    public val storedRows: StoredRows,
    public val meters: FleetMeters
)

/**
 * gRPC service for the members of the fleet while this process is the coordinator: collects their
 * reports, sends them notices and grants tokens.
 */
public class FleetCoordinator(
    private val dependencies: CoordinatorDependencies,
    private val feed: ChangeFeed,
    context: CoroutineContext
) : CoordinatorCoroutineImplBase(context) {
    private val sends = SendGrants(dependencies.rates, dependencies.limits)
    private val sessions = MemberSessions(dependencies.clock)
    private val abilities =
        FleetAbilities(dependencies.vm, dependencies.storedRows, dependencies.events)
    private val rows =
        RowSender(dependencies.directory, sessions, dependencies.clock, dependencies.events)
    private val tokens = TokenWaitingLists(dependencies.rates, dependencies.clock) {
        dependencies.lease.isCoordinator
    }
    private val announcedDepartures = RecentDepartures()
    private val leaseAcquired = Channel<Unit>(Channel.CONFLATED)
    private val runnerLoads = RunnerLoadNews(dependencies.demand, dependencies.directory)

    /** Moving average of how much later than planned this process continues after a pause. */
    private var lagMillis = 0.0
    private val planWake = Channel<Unit>(Channel.CONFLATED)
    private var releasedFence = 0L

    /** Called with notices that also apply to this process's own requests. */
    public var onLocalNotice: (FleetNotice) -> Unit = {}

    /** Number of members registered in the store; null until they have been read. */
    public var memberCount: Int? = null
        private set

    /** Abilities that all members have; none until the members have been read. */
    public val fleetAbilities: Set<Ability> get() = abilities.all

    private var positions: Map<String, Int> = emptyMap()

    /** Returns the position of [vm] among the registered members, from zero, or null. */
    public fun positionOf(vm: String): Int? = positions[vm]

    init {
        sends.places.memberCount = { memberCount }
        dependencies.loads.onHoldingsChanged = ::announceHoldings
        dependencies.loads.onForecasts = ::announceForecasts
        dependencies.directory.rowListener = rows
        dependencies.lease.onLeaseAcquired = ::handleLeaseAcquired
        dependencies.lease.onLeaseLost = ::handleLeaseLost
    }

    /** Records a member's report; this process's own reports also come here. */
    public fun report(report: MemberReport) {
        dependencies.demand.record(report, dependencies.clock.nowMillis())
        dependencies.rates.heard(report.vm, report.boot)
        dependencies.evacuations.reported(report)
        forwardSuspects(report)
        forwardPromptBlocks(report)
        report.departuresList.forEach(::announceDeparture)
        report.limitsList.forEach { dependencies.limits.heard(it, report.vm) }
        sends.places.active()
        report.brittleList.forEach { sends.places.heard(it, report.vm, report.boot) }
        dependencies.streams.reported(report.streamsList)
        if (report.demandsList.any { it.waiting > 0 }) planWake.trySend(Unit)
    }

    /** Runs the planner periodically and follows the table of members, until cancelled. */
    public suspend fun run() {
        var position: Long? = null
        var era: Long? = null
        var lastReadAtMillis = Long.MIN_VALUE / 2
        val members = mutableSetOf<String>()
        while (true) {
            if (!dependencies.lease.isCoordinator) {
                position = null
                era = null
                abilities.clear()
                leaseAcquired.receive()
                continue
            }
            val sentAtMillis = dependencies.clock.nowMillis()
            if (sentAtMillis - lastReadAtMillis < MEMBERS_READ_INTERVAL_MILLIS) {
                plan()
                continue
            }
            lastReadAtMillis = sentAtMillis
            when (val result = readMembers(position)) {
                is FeedResult.Changes -> if (era != null && result.era != era) {
                    // Members whose rows the store has lost still use their shares.
                    era = result.era
                    position = null
                } else {
                    if (position == null && era == null) members.clear()
                    era = result.era
                    for (row in result.rows) {
                        if (row.value == null) members -= row.sort else members += row.sort
                    }
                    abilities.read(result.rows)
                    decideAbilities()
                    position = result.position
                    memberCount = members.size.coerceAtLeast(1)
                    positions = members.sorted().withIndex().associate { (i, vm) -> vm to i }
                    dependencies.rates.registered(members.toSet(), sentAtMillis)
                }
                FeedResult.HistoryGone -> position = null
                is FeedResult.Unavailable ->
                    dependencies.events.write("members-unread", "reason" to result.reason)
            }
        }
    }

    /** Plans now, and waits for new demand or the next regular plan. */
    private suspend fun plan() {
        val beganNanos = System.nanoTime()
        dependencies.loads.step()
        val tookMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - beganNanos)
        delay(CoordinatorPace.planPauseMillis(tookMillis))
        withTimeoutOrNull(PLAN_INTERVAL_MILLIS) { planWake.receive() }
    }

    private suspend fun readMembers(position: Long?): FeedResult =
        position?.let { feed.changes(MemberRegistration.TABLE, it, 0) }
            ?: feed.snapshot(MemberRegistration.TABLE)

    override fun attach(requests: Flow<MemberReport>): Flow<FleetNotice> = channelFlow {
        if (!dependencies.lease.isCoordinator) {
            send(releaseNotice())
            return@channelFlow
        }
        val joined = CompletableDeferred<MemberSession?>()
        var session: MemberSession? = null
        val reader = launch {
            requests.collect { report ->
                val current = session ?: sessionOf(report).also { session = it }
                joined.complete(current)
                sessions.reported(current, report)
                report(report)
            }
        }
        reader.invokeOnCompletion {
            joined.complete(null)
            session?.wake()
        }
        try {
            val current = joined.await() ?: return@channelFlow
            while (reader.isActive && dependencies.lease.isCoordinator) {
                val notice = nextNotice(current)
                if (reader.isActive) send(notice)
            }
            if (!dependencies.lease.isCoordinator) send(releaseNotice())
        } finally {
            reader.cancel()
            session?.let(::leave)
        }
    }

    private fun sessionOf(report: MemberReport): MemberSession {
        val isOfThisTerm = report.newsFence == dependencies.lease.fence
        val position = if (isOfThisTerm) report.newsPosition else 0
        return MemberSession(report.vm, report.boot, Abilities.of(report), position).also(::join)
    }

    override suspend fun takeTokens(request: TokenRequest): TokenGrant = tokens.take(request)

    /** Returns the grant for [request], which may wait for it for a while. */
    public suspend fun grant(request: TokenRequest): TokenGrant = tokens.take(request)

    /** Number of requests that wait for tokens here. */
    public val waitingForTokens: Int get() = tokens.count

    override suspend fun takeSend(request: SendRequest): SendGrant = grant(request)
        ?: SendGrant.newBuilder().setOutcome(SendGrant.Outcome.NOT_HOLDER).build()

    /** Returns the grant for [request], or null if this process is not the coordinator. */
    public fun grant(request: SendRequest): SendGrant? =
        if (dependencies.lease.isCoordinator) sends.ask(request) else null

    override suspend fun findStream(request: StreamRequest): StreamAnswer =
        dependencies.streams.ask(request)

    /** Returns where the stream of [request] began, as far as this process knows. */
    public fun find(request: StreamRequest): StreamAnswer = dependencies.streams.ask(request)

    /** Announces changed [versions] to the members and this process. */
    public fun announceVersions(versions: ServiceVersions) {
        onLocalNotice(FleetNotice.newBuilder().addVersions(versions).build())
        sessions.announce { it.versions[versions.service] = versions }
    }

    /** Applies the changed limit of [upstream] and announces it to the members. */
    public fun announceLimit(upstream: UpstreamStart) {
        dependencies.rates.configured()
        val message = dependencies.limits.message(upstream) ?: return
        sessions.announce { it.limits[upstream] = message }
    }

    /** Announces that [upstream] has become brittle, or is no longer, to the members. */
    public fun announceBrittle(upstream: UpstreamStart) {
        val message = dependencies.limits.brittle.statement(upstream) ?: return
        sessions.announce { it.brittle[upstream] = message }
    }

    private fun join(session: MemberSession) {
        session.departures += announcedDepartures.all(dependencies.clock.nowMillis())
        // The member may have just started.
        session.suspects += dependencies.suspects.known()
        dependencies.promptBlocks.knownCrashes().associateByTo(session.crashes) { it.id }
        dependencies.promptBlocks.knownCompletions()
            .associateByTo(session.completedBlocks) { it.block }
        dependencies.limits.messages().associateByTo(session.limits) { it.start }
        dependencies.limits.brittle.statements().associateByTo(session.brittle) { it.start }
        dependencies.streams.messages.associateByTo(session.versions) { it.service }
        runnerLoads.current.associateByTo(session.runnerLoads) { it.runner }
        sessions.join(session)
        // An ability that begins can wait for the next read of the members.
        if (abilities.mayEnd(session)) decideAbilities()
        dependencies.events.write(
            "member-attached",
            "member" to session.vm,
            "commit" to abilities.commitOf(session.vm, session.boot),
            "abilities" to session.abilities.joinToString(","),
            "news_position" to session.newsPosition
        )
    }

    private fun leave(session: MemberSession) {
        if (sessions.leave(session)) {
            dependencies.demand.remove(session.vm)
            dependencies.evacuations.left(session.vm)
        }
        dependencies.events.write("member-left", "member" to session.vm)
    }

    private fun decideAbilities() {
        if (abilities.decide(sessions.all)) wakeMembers()
    }

    private suspend fun nextNotice(session: MemberSession): FleetNotice {
        val beganAtMillis = dependencies.clock.nowMillis()
        val isUrgent =
            withTimeoutOrNull(HEARTBEAT_INTERVAL_MILLIS) { session.wake.receive() } != null
        var dueAtMillis = beganAtMillis + HEARTBEAT_INTERVAL_MILLIS
        // Changes often arrive in bursts; the delay combines them into one notice.
        val pauseMillis = if (isUrgent) {
            CoordinatorPace.noticeMillis(sessions.size, lagMillis)
        } else {
            CoordinatorPace.latePauseMillis(lagMillis)
        }
        if (pauseMillis > 0) {
            dueAtMillis = dependencies.clock.nowMillis() + pauseMillis
            delay(pauseMillis)
        }
        val nowMillis = dependencies.clock.nowMillis()
        recordLag(nowMillis - dueAtMillis)
        runnerLoads.spread(sessions.all, dependencies.lease.fence, nowMillis)
        return session.takeNews(sessions.news, nowMillis)
            .setFence(dependencies.lease.fence)
            .setMemberCount(memberCount ?: 0)
            .setReportSequence(session.reportSequence)
            .setUpstreamsRevision(dependencies.directory.revision)
            .addAllFleetAbilities(abilities.all)
            .also(::addRenewal)
            .also(::addConfirmation)
            .also(rows::addRowsRead)
            .also { notice -> positionOf(session.vm)?.let(notice::setMemberPosition) }
            .build()
            .also { dependencies.meters.noticeSent(it, isUrgent) }
    }

    private fun recordLag(lateMillis: Long) {
        lagMillis += (lateMillis - lagMillis) * LAG_WEIGHT
    }

    private fun addRenewal(notice: FleetNotice.Builder) {
        val renewal = dependencies.lease.renewal ?: return
        notice.setLeaseVersion(renewal.version)
            .setLeaseEra(renewal.era)
            .setLeaseAgeMillis(dependencies.clock.nowMillis() - renewal.confirmedAtMillis)
    }

    private fun addConfirmation(notice: FleetNotice.Builder) {
        dependencies.config.confirmation(dependencies.clock.nowMillis())?.let(notice::setConfig)
    }

    /** Notifies the members without delay, of a change that every notice contains. */
    public fun wakeMembers(): Unit = sessions.wakeAll()

    private fun announceHoldings(upstream: Upstream) {
        // The runner may take another order now.
        planWake.trySend(Unit)
        sessions.announceHoldings(upstream)
    }

    /**
     * Announces leaving upstreams to the members, which poll the upstreams less often than the
     * coordinator.
     */
    public fun announceLeaving() {
        if (!dependencies.lease.isCoordinator) return
        dependencies.directory.takeLeaving().forEach(::announceDeparture)
    }

    /** Announces a departure to all members; that an upstream leaves, only the first time. */
    private fun announceDeparture(departure: Departure) {
        if (!departure.isUnregistered) {
            if (!announcedDepartures.add(departure, dependencies.clock.nowMillis())) return
            dependencies.directory.recordDeparture(departure)
        }
        sessions.announce { it.departures += departure }
    }

    private fun announceForecasts(forecasts: List<Forecast>) {
        onLocalNotice(FleetNotice.newBuilder().addAllForecasts(forecasts).build())
        sessions.announceForecasts(forecasts)
    }

    private fun forwardSuspects(report: MemberReport) {
        if (report.suspectsCount + report.clearedSuspectsCount == 0) return
        onLocalNotice(
            FleetNotice.newBuilder().addAllSuspects(report.suspectsList)
                .addAllClearedSuspects(report.clearedSuspectsList).build()
        )
        sessions.forward(report.vm, isUrgent = true) { session ->
            // What was completed is cleared of the ends before, and not of those that follow.
            session.suspects.removeAll { it.fingerprint in report.clearedSuspectsList }
            session.suspects += report.suspectsList
            session.clearedSuspects += report.clearedSuspectsList
        }
    }

    private fun forwardPromptBlocks(report: MemberReport) {
        if (report.promptCrashesCount + report.completedBlocksCount == 0) return
        report.promptCrashesList.forEach(dependencies.promptBlocks::reported)
        report.completedBlocksList.forEach(dependencies.promptBlocks::reported)
        // What this process knows by now also contains what others reported of the same crashes.
        val ids = report.promptCrashesList.mapTo(mutableSetOf()) { it.id }
        val crashes = dependencies.promptBlocks.knownCrashes().filter { it.id in ids }
        sessions.forward(report.vm, isUrgent = crashes.isNotEmpty()) { session ->
            crashes.associateByTo(session.crashes) { it.id }
            for (completed in report.completedBlocksList) {
                session.completedBlocks.merge(completed.block, completed) { a, b ->
                    if (a.ageMillis < b.ageMillis) a else b
                }
            }
        }
    }

    private val PromptCrash.id: String get() = "$upstream $startedAtEpochMillis"

    private fun handleLeaseAcquired(fence: Long) {
        rows.start()
        runnerLoads.clear()
        announcedDepartures.clear()
        // What this process has told an earlier coordinator is news for its own members.
        dependencies.directory.markDeparturesUnsent()
        tokens.clear()
        dependencies.rates.start(fence)
        sends.places.started(fence)
        dependencies.loads.start()
        dependencies.streams.wake()
        dependencies.directory.roleChanged()
        leaseAcquired.trySend(Unit)
        dependencies.evacuations.leaseAcquired()
    }

    private fun handleLeaseLost(fence: Long) {
        releasedFence = maxOf(releasedFence, fence)
        tokens.clear()
        dependencies.loads.stop()
        dependencies.streams.wake()
        rows.stop()
        sessions.wakeAll()
        dependencies.directory.roleChanged()
    }

    private fun releaseNotice(): FleetNotice =
        FleetNotice.newBuilder().setIsReleased(true).setFence(releasedFence).build()

    private companion object {
        /** Maximum interval between two notices; a notice also serves as a heartbeat. */
        const val HEARTBEAT_INTERVAL_MILLIS = 400L

        /** Weight of a new measurement in the moving average of the lag. */
        const val LAG_WEIGHT = 0.1

        /** Interval between plans without new demand or a load that ended. */
        const val PLAN_INTERVAL_MILLIS = 200L

        /** Interval between two reads of the table of members. */
        const val MEMBERS_READ_INTERVAL_MILLIS = 2_500L
    }
}
