package cactusfold.entry.fleet

import cactusfold.entry.callers.SharedPromptBlocks
import cactusfold.entry.callers.SharedSuspects
import cactusfold.entry.places.ZoneEvacuations
import cactusfold.entry.residency.ModelWaitQueue
import cactusfold.entry.streams.OwnStreams
import cactusfold.entry.streams.RecordedVersions
import cactusfold.entry.upstream.UpstreamDirectory
import cactusfold.entry.upstream.UpstreamLimits
import cactusfold.entry.upstream.UpstreamsRevision
import cactusfold.node.time.MonotonicClock
import cactusfold.protocol.entry.FleetNotice
import cactusfold.protocol.entry.Holdings
import cactusfold.protocol.entry.MemberReport
import cactusfold.protocol.entry.RunnerUse
import cactusfold.protocol.entry.StoredMember
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
    private val clock: MonotonicClock
) {
    /** Returns the next report, with all that was not reported yet. */
    public fun report(): MemberReport.Builder {
        val uses = directory.usable.flatMap { upstream ->
            upstream.uses.map { (use, count) ->
                RunnerUse.newBuilder().setRunner(upstream.entry.id).setModel(use.model)
                    .setAdapter(use.adapter.orEmpty()).setInFlight(count).build()
            }
        }
        evacuations.expire()
        val report = MemberReport.newBuilder()
            .setVm(self.vm)
            .setBoot(self.boot)
            .addAllDemands(waits.takeDemands())
            .addAllUses(uses)
            .addAllSuspects(suspects.takeUnsent())
            .addAllPromptCrashes(promptBlocks.takeUnsentCrashes())
            .addAllCompletedBlocks(promptBlocks.takeUnsentCompletions())
            .addAllUnreachable(directory.down())
            .addAllDepartures(directory.takeDepartures())
            .addAllLimits(limits.takeUnsent())
            .addAllStreams(ownStreams.takeUnsent())
        evacuations.report()?.let(report::setEvacuations)
        return report
    }

    /** Applies all that [notice] says of upstreams, their versions and requests. */
    public fun apply(notice: FleetNotice) {
        if (notice.config.hasEvacuations()) {
            evacuations.heard(notice.config.evacuations, "coordinator")
        }
        if (notice.holdingsCount > 0) {
            notice.holdingsList.forEach(::apply)
            directory.changed()
        }
        notice.departuresList.forEach(directory::recordDeparture)
        if (notice.upstreamsRevision > 0) {
            directory.announced(UpstreamsRevision(notice.fence, notice.upstreamsRevision))
        }
        notice.forecastsList.forEach(waits::forecast)
        notice.suspectsList.forEach(suspects::reported)
        notice.promptCrashesList.forEach(promptBlocks::reported)
        notice.completedBlocksList.forEach(promptBlocks::reported)
        notice.limitsList.forEach { limits.heard(it, "coordinator", isCoordinator = true) }
        notice.versionsList.forEach(recordedVersions::heard)
    }

    private fun apply(holdings: Holdings) {
        val models = holdings.modelsList.associate { it.model to it.adaptersList.toImmutableSet() }
        directory.find(holdings.runner)?.holds(models.toImmutableMap(), clock.nowMillis())
    }
}
