package cactusfold.entry.fleet

import cactusfold.decisions.fleet.RowsRead
import cactusfold.entry.callers.SharedPromptBlocks
import cactusfold.entry.callers.SharedSuspects
import cactusfold.entry.places.ZoneEvacuations
import cactusfold.entry.process.StoredRows
import cactusfold.entry.residency.ModelWaitQueue
import cactusfold.entry.streams.OwnStreams
import cactusfold.entry.streams.RecordedVersions
import cactusfold.entry.upstream.RowNews
import cactusfold.entry.upstream.UpstreamDirectory
import cactusfold.entry.upstream.UpstreamLimits
import cactusfold.entry.upstream.UpstreamsRevision
import cactusfold.node.time.MonotonicClock
import cactusfold.ports.table.RowChange
import cactusfold.protocol.entry.FleetNotice
import cactusfold.protocol.entry.Holdings
import cactusfold.protocol.entry.MemberReport
import cactusfold.protocol.entry.RunnerUse
import cactusfold.protocol.entry.StoredMember
import com.google.protobuf.InvalidProtocolBufferException
import kotlinx.collections.immutable.toImmutableMap
import kotlinx.collections.immutable.toImmutableSet

/** Builds the reports of the member [self], and applies the notices of its coordinator. */
public class MemberMessages(
    private val self: StoredMember,
    private val directory: UpstreamDirectory,
    private val waits: ModelWaitQueue,
    private val suspects: SharedSuspects,
    private val promptBlocks: SharedPromptBlocks,
    private val limits: UpstreamLimits,
    private val recordedVersions: RecordedVersions,
    private val ownStreams: OwnStreams,
    private val evacuations: ZoneEvacuations,
    private val storedRows: StoredRows,
    private val clock: MonotonicClock
) {
    private var newsFence = 0L
    private var newsPosition = 0L
    private var lacksNews = false

    /** Returns the next report, with all that was not reported yet. */
    public fun report(): MemberReport.Builder {
        val uses = directory.usable.flatMap { upstream ->
            upstream.uses.map { (use, count) ->
                RunnerUse.newBuilder().setRunner(upstream.entry.id).setModel(use.model)
                    .setAdapter(use.adapter.orEmpty()).setInFlight(count)
                    .setTokens(upstream.tokensOf(use)).build()
            }
        }
        directory.usable.forEach { it.load.recordReported() }
        evacuations.expire()
        val report = MemberReport.newBuilder()
            .setVm(self.vm)
            .setBoot(self.boot)
            .addAllDemands(waits.takeDemands())
            .addAllUses(uses)
            .addAllClearedSuspects(suspects.takeUnsentCleared())
            .addAllSuspects(suspects.takeUnsent())
            .addAllPromptCrashes(promptBlocks.takeUnsentCrashes())
            .addAllCompletedBlocks(promptBlocks.takeUnsentCompletions())
            .addAllUnreachable(directory.down())
            .addAllDepartures(directory.takeDepartures())
            .addAllLimits(limits.takeUnsent())
            .addAllBrittle(limits.brittle.takeUnsent())
            .addAllStreams(ownStreams.takeUnsent())
            .addAllAbilities(Abilities.OWN)
            .setReadsSharedNews(true)
            .setNewsFence(newsFence)
            .setNewsPosition(newsPosition)
        evacuations.report()?.let(report::setEvacuations)
        return report
    }

    /**
     * Applies all that [notice] says of upstreams, their versions and requests.
     *
     * @param reportedAtMillis when the report that the notice names was sent; null if not known.
     */
    public fun apply(notice: FleetNotice, reportedAtMillis: Long? = null) {
        if (notice.config.hasEvacuations()) {
            evacuations.heard(notice.config.evacuations, "coordinator")
        }
        val shared = sharedNews(notice)
        // What an upstream has loaded can only be applied once it is known.
        if (notice.hasNewsPosition() && !lacksNews) applyRows(notice, shared, reportedAtMillis)
        val holdings = notice.holdingsList + shared.holdingsList
        if (holdings.isNotEmpty()) {
            holdings.forEach(::apply)
            directory.changed()
        }
        // Rows that were passed on say, in their order, which registrations have ended.
        notice.departuresList.filterNot { it.isUnregistered && notice.hasNewsPosition() }
            .forEach(directory::recordDeparture)
        if (notice.upstreamsRevision > 0 && !notice.hasNewsPosition()) {
            directory.announced(UpstreamsRevision(notice.fence, notice.upstreamsRevision))
        }
        notice.forecastsList.forEach(waits::forecast)
        notice.clearedSuspectsList.forEach(suspects::cleared)
        notice.suspectsList.forEach(suspects::reported)
        notice.promptCrashesList.forEach(promptBlocks::reported)
        notice.completedBlocksList.forEach(promptBlocks::reported)
        notice.limitsList.forEach { limits.heard(it, "coordinator", isCoordinator = true) }
        notice.brittleList.forEach { limits.brittle.heard(it, "coordinator") }
        notice.versionsList.forEach(recordedVersions::heard)
        directory.applyLoads(notice)
    }

    /**
     * Returns the news that are the same for all members. After some that cannot be read, no rows
     * are applied until the complete set is: the process then reads the rows itself.
     */
    private fun sharedNews(notice: FleetNotice): FleetNotice {
        if (notice.isFullNews) lacksNews = false
        return try {
            FleetNotice.parseFrom(notice.sharedNews)
        } catch (e: InvalidProtocolBufferException) {
            lacksNews = true
            storedRows.unreadable("news", "fence ${notice.fence}", notice.newsPosition, e.message)
            FleetNotice.getDefaultInstance()
        }
    }

    /**
     * The coordinator made the notice after the report that it names was sent. So its last read of
     * the rows began no earlier than that, less the age of the read.
     */
    private fun applyRows(notice: FleetNotice, shared: FleetNotice, reportedAtMillis: Long?) {
        val read = notice.rowsRead
        val news = RowNews(
            rows = shared.upstreamRowsList.map {
                val value = if (it.hasValue()) it.value.toByteArray() else null
                RowChange(it.upstream, it.version, value)
            },
            isFull = notice.isFullNews,
            read = RowsRead(read.era, read.position),
            beganAtMillis = reportedAtMillis?.minus(read.ageMillis),
            isComplete = !read.isIncomplete
        )
        if (!directory.relayed(news)) return
        newsFence = notice.fence
        newsPosition = notice.newsPosition
    }

    private fun apply(holdings: Holdings) {
        val models = holdings.modelsList.associate { it.model to it.adaptersList.toImmutableSet() }
        directory.find(holdings.runner)?.holds(models.toImmutableMap(), clock.nowMillis())
    }
}
