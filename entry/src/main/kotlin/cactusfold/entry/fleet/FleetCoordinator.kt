package cactusfold.entry.fleet

import cactusfold.entry.process.EventLog
import cactusfold.entry.rate.FleetTokenBuckets
import cactusfold.entry.residency.FleetDemand
import cactusfold.entry.residency.LoadCoordinator
import cactusfold.entry.upstream.Upstream
import cactusfold.entry.upstream.UpstreamDirectory
import cactusfold.node.time.MonotonicClock
import cactusfold.ports.table.ChangeFeed
import cactusfold.ports.table.FeedResult
import cactusfold.protocol.SuspectReport
import cactusfold.protocol.TokenGrant
import cactusfold.protocol.TokenRequest
import cactusfold.protocol.entry.CoordinatorGrpcKt.CoordinatorCoroutineImplBase
import cactusfold.protocol.entry.FleetNotice
import cactusfold.protocol.entry.Forecast
import cactusfold.protocol.entry.HeldModel
import cactusfold.protocol.entry.Holdings
import cactusfold.protocol.entry.MemberReport
import kotlin.coroutines.CoroutineContext
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.channelFlow
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull

/** The parts that a coordinator works with. */
public class CoordinatorParts(
    public val hold: HoldKeeper,
    public val directory: UpstreamDirectory,
    public val loads: LoadCoordinator,
    public val demand: FleetDemand,
    public val rates: FleetTokenBuckets,
    public val clock: MonotonicClock,
    public val events: EventLog
)

/** Serves the members of the fleet while this process is the coordinator. */
public class FleetCoordinator(
    private val parts: CoordinatorParts,
    private val feed: ChangeFeed,
    context: CoroutineContext
) : CoordinatorCoroutineImplBase(context) {
    private class Session(val vm: String) {
        val pending = LinkedHashMap<String, Holdings>()
        val forecasts = mutableListOf<Forecast>()
        val leaving = mutableSetOf<String>()
        val suspects = mutableListOf<SuspectReport>()
        val wake = Channel<Unit>(Channel.CONFLATED)
    }

    private val sessions = mutableSetOf<Session>()
    private val heldByRunner = LinkedHashMap<String, Holdings>()
    private val toldLeaving = mutableSetOf<String>()
    private var releasedFence = 0L

    /** Called with what concerns this process's own requests too. */
    public var onOwnNotice: (FleetNotice) -> Unit = {}

    /** Members registered in the store; null before they were read. */
    public var memberCount: Int? = null
        private set

    init {
        parts.loads.onHoldings = ::holdingsChanged
        parts.loads.onForecasts = ::forecast
        parts.hold.onTaken = ::taken
        parts.hold.onLost = ::lost
    }

    /** Takes over a member's report, this process's own too. */
    public fun report(report: MemberReport) {
        parts.demand.reported(report, parts.clock.nowMillis())
        parts.rates.heard(report.vm, report.boot)
        shareSuspects(report)
        if (report.demandsList.any { it.waiting > 0 }) parts.loads.step()
    }

    /** Plans periodically and follows the members' table, until cancelled. */
    public suspend fun run() {
        var position: Long? = null
        var readAtMillis = Long.MIN_VALUE / 2
        val members = mutableSetOf<String>()
        while (true) {
            if (!parts.hold.isCoordinator) {
                position = null
                delay(IDLE_MILLIS)
                continue
            }
            val sentAtMillis = parts.clock.nowMillis()
            if (sentAtMillis - readAtMillis < MEMBERS_MILLIS) {
                parts.loads.step()
                delay(STEP_MILLIS)
                continue
            }
            readAtMillis = sentAtMillis
            when (val result = read(position)) {
                is FeedResult.Changes -> {
                    if (position == null) members.clear()
                    for (row in result.rows) {
                        if (row.value == null) members -= row.sort else members += row.sort
                    }
                    position = result.position
                    memberCount = members.size.coerceAtLeast(1)
                    parts.rates.registered(members.toSet(), sentAtMillis)
                }
                FeedResult.HistoryGone -> position = null
                is FeedResult.Unavailable ->
                    parts.events.write("members-unread", "reason" to result.reason)
            }
        }
    }

    private suspend fun read(position: Long?): FeedResult =
        position?.let { feed.changes(MemberRow.TABLE, it, 0) } ?: feed.snapshot(MemberRow.TABLE)

    override fun attach(requests: Flow<MemberReport>): Flow<FleetNotice> = channelFlow {
        if (!parts.hold.isCoordinator) {
            send(releaseNotice())
            return@channelFlow
        }
        var session: Session? = null
        val reader = launch {
            requests.collect { report ->
                val own = session ?: Session(report.vm).also { join(it) }
                session = own
                report(report)
            }
        }
        try {
            while (reader.isActive && parts.hold.isCoordinator) {
                val own = session
                if (own == null) delay(STEP_MILLIS) else send(next(own))
            }
            if (!parts.hold.isCoordinator) send(releaseNotice())
        } finally {
            reader.cancel()
            session?.let(::leave)
        }
    }

    override suspend fun takeTokens(request: TokenRequest): TokenGrant = grant(request)
        ?: TokenGrant.newBuilder().setOutcome(TokenGrant.Outcome.NOT_HOLDER).build()

    /** Answers [request], or returns null when this process is not the coordinator. */
    public fun grant(request: TokenRequest): TokenGrant? =
        if (parts.hold.isCoordinator) parts.rates.ask(request) else null

    private fun join(session: Session) {
        session.pending.putAll(heldByRunner)
        session.leaving += toldLeaving
        sessions += session
        parts.events.write("member-attached", "member" to session.vm)
    }

    private fun leave(session: Session) {
        sessions -= session
        if (sessions.none { it.vm == session.vm }) parts.demand.left(session.vm)
        parts.events.write("member-left", "member" to session.vm)
    }

    private suspend fun next(session: Session): FleetNotice {
        withTimeoutOrNull(BEAT_MILLIS) { session.wake.receive() }
        // Changes often come together; one notice carries them all.
        delay(COALESCE_MILLIS)
        val notice = FleetNotice.newBuilder()
            .addAllHoldings(session.pending.values)
            .addAllForecasts(session.forecasts)
            .addAllSuspects(session.suspects)
            .addAllLeaving(session.leaving)
            .setFence(parts.hold.fence)
            .setMemberCount(memberCount ?: 0)
            .also(::addRenewal)
            .build()
        session.pending.clear()
        session.forecasts.clear()
        session.suspects.clear()
        session.leaving.clear()
        return notice
    }

    private fun addRenewal(notice: FleetNotice.Builder) {
        val renewal = parts.hold.renewal ?: return
        notice.setLeaseVersion(renewal.version)
            .setLeaseAgeMillis(parts.clock.nowMillis() - renewal.confirmedAtMillis)
    }

    private fun holdingsChanged(upstream: Upstream) {
        val holdings = Holdings.newBuilder().setRunner(upstream.entry.id)
        upstream.adaptersByModel.forEach { (model, adapters) ->
            holdings.addModels(HeldModel.newBuilder().setModel(model).addAllAdapters(adapters))
        }
        val built = holdings.build()
        heldByRunner[upstream.entry.id] = built
        sessions.forEach {
            it.pending[upstream.entry.id] = built
            it.wake.trySend(Unit)
        }
    }

    /** Tells the members of upstreams that leave, which they read of themselves only later. */
    public fun upstreamsChanged() {
        if (!parts.hold.isCoordinator) return
        val leaving = parts.directory.takeLeaving() - toldLeaving
        if (leaving.isEmpty()) return
        toldLeaving += leaving
        sessions.forEach {
            it.leaving += leaving
            it.wake.trySend(Unit)
        }
    }

    private fun forecast(forecasts: List<Forecast>) {
        onOwnNotice(FleetNotice.newBuilder().addAllForecasts(forecasts).build())
        sessions.forEach {
            it.forecasts += forecasts
            it.wake.trySend(Unit)
        }
    }

    private fun shareSuspects(report: MemberReport) {
        if (report.suspectsCount == 0) return
        onOwnNotice(FleetNotice.newBuilder().addAllSuspects(report.suspectsList).build())
        sessions.filter { it.vm != report.vm }.forEach {
            it.suspects += report.suspectsList
            it.wake.trySend(Unit)
        }
    }

    private fun taken(fence: Long) {
        heldByRunner.clear()
        toldLeaving.clear()
        parts.rates.start(fence)
        parts.loads.start()
    }

    private fun lost(fence: Long) {
        releasedFence = maxOf(releasedFence, fence)
        parts.loads.stop()
        sessions.forEach { it.wake.trySend(Unit) }
    }

    private fun releaseNotice(): FleetNotice =
        FleetNotice.newBuilder().setIsReleased(true).setFence(releasedFence).build()

    private companion object {
        /** Longest pause between two notices. */
        const val BEAT_MILLIS = 400L
        const val COALESCE_MILLIS = 5L
        const val STEP_MILLIS = 50L
        const val IDLE_MILLIS = 100L

        /** Pause between two readings of the members' table. */
        const val MEMBERS_MILLIS = 2_500L
    }
}
