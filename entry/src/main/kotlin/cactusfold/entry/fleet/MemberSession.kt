package cactusfold.entry.fleet

import cactusfold.decisions.rate.UpstreamStart
import cactusfold.protocol.SuspectReport
import cactusfold.protocol.entry.CompletedBlock
import cactusfold.protocol.entry.Departure
import cactusfold.protocol.entry.FleetNotice
import cactusfold.protocol.entry.Forecast
import cactusfold.protocol.entry.Holdings
import cactusfold.protocol.entry.PromptCrash
import cactusfold.protocol.entry.RunnerLoad
import cactusfold.protocol.entry.ServiceVersions
import cactusfold.protocol.entry.UpstreamLimit
import kotlinx.coroutines.channels.Channel

/** The connection of the member [vm], with the news that it has not been sent yet. */
internal class MemberSession(val vm: String) {
    val pending = LinkedHashMap<String, Holdings>()
    val forecasts = mutableListOf<Forecast>()
    val suspects = mutableListOf<SuspectReport>()
    val departures = linkedSetOf<Departure>()
    val crashes = LinkedHashMap<String, PromptCrash>()
    val completedBlocks = LinkedHashMap<String, CompletedBlock>()
    val limits = LinkedHashMap<UpstreamStart, UpstreamLimit>()
    val versions = LinkedHashMap<String, ServiceVersions>()
    val runnerLoads = LinkedHashMap<String, RunnerLoad>()
    val wake = Channel<Unit>(Channel.CONFLATED)
    var reportSequence = 0L

    /** Returns a notice with all news, which are sent once. */
    fun takeNews(): FleetNotice.Builder {
        val notice = FleetNotice.newBuilder()
            .addAllHoldings(pending.values)
            .addAllForecasts(forecasts)
            .addAllSuspects(suspects)
            .addAllDepartures(departures)
            .addAllPromptCrashes(crashes.values)
            .addAllCompletedBlocks(completedBlocks.values)
            .addAllLimits(limits.values)
            .addAllVersions(versions.values)
            .addAllRunnerLoads(runnerLoads.values)
        pending.clear()
        forecasts.clear()
        suspects.clear()
        departures.clear()
        crashes.clear()
        completedBlocks.clear()
        limits.clear()
        versions.clear()
        runnerLoads.clear()
        return notice
    }
}
