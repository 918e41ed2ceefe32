package cactusfold.entry.fleet

import cactusfold.decisions.rate.UpstreamStart
import cactusfold.protocol.SuspectReport
import cactusfold.protocol.entry.Ability
import cactusfold.protocol.entry.BrittleUpstream
import cactusfold.protocol.entry.CompletedBlock
import cactusfold.protocol.entry.Departure
import cactusfold.protocol.entry.FleetNotice
import cactusfold.protocol.entry.Forecast
import cactusfold.protocol.entry.MemberReport
import cactusfold.protocol.entry.PromptCrash
import cactusfold.protocol.entry.RunnerLoad
import cactusfold.protocol.entry.ServiceVersions
import cactusfold.protocol.entry.UpstreamLimit
import kotlin.math.abs
import kotlinx.coroutines.channels.Channel

/** A [forecast] that was made at [madeAtMillis] and may be sent later. */
internal class PendingForecast(val forecast: Forecast, val madeAtMillis: Long) {
    private val readyAtMillis = madeAtMillis + forecast.readyInMillis

    /** Returns the forecast as of [nowMillis]. */
    fun message(nowMillis: Long): Forecast = if (nowMillis == madeAtMillis) {
        forecast
    } else {
        forecast.toBuilder().setReadyInMillis((readyAtMillis - nowMillis).coerceAtLeast(0)).build()
    }

    /** Whether the expected times differ so little that requests are decided on alike. */
    fun isLike(other: PendingForecast): Boolean =
        abs(readyAtMillis - other.readyAtMillis) < MIN_CHANGE_MILLIS

    private companion object {
        /** As for the forecasts that the planner makes anew. */
        const val MIN_CHANGE_MILLIS = 250L
    }
}

/**
 * The connection of the member [vm], with the news that it has not been sent yet.
 *
 * @property boot the process of that VM.
 * @property abilities what its build can read and do.
 * @param newsPosition position in the shared news that the member has reached already.
 */
internal class MemberSession(
    val vm: String,
    val boot: String,
    val abilities: Set<Ability>,
    newsPosition: Long
) {
    /** Forecasts for models that the member's requests wait for, by model and version. */
    val forecasts = LinkedHashMap<String, PendingForecast>()
    val suspects = linkedSetOf<SuspectReport>()
    val clearedSuspects = linkedSetOf<String>()
    val departures = linkedSetOf<Departure>()
    val crashes = LinkedHashMap<String, PromptCrash>()
    val completedBlocks = LinkedHashMap<String, CompletedBlock>()
    val limits = LinkedHashMap<UpstreamStart, UpstreamLimit>()
    val versions = LinkedHashMap<String, ServiceVersions>()
    val runnerLoads = LinkedHashMap<String, RunnerLoad>()
    val brittle = LinkedHashMap<UpstreamStart, BrittleUpstream>()

    /** Holds an element if the member has to be sent news without waiting for the heartbeat. */
    val wake = Channel<Unit>(Channel.CONFLATED)
    var reportSequence = 0L
        private set

    /** Models that the member's requests waited for at its last report. */
    var waits: Set<String> = emptySet()
        private set

    /** Position in the shared news that the notices so far reach. */
    var newsPosition: Long = newsPosition
        private set

    /** Records [report]; returns the models that requests wait for since. */
    fun reported(report: MemberReport): Set<String> {
        reportSequence = report.sequence
        val before = waits
        waits = report.demandsList.filter { it.waiting > 0 }.mapTo(mutableSetOf()) { it.model }
        return waits - before
    }

    /** Has the news sent at once. */
    fun wake() {
        wake.trySend(Unit)
    }

    /**
     * Returns a notice at [nowMillis] with all news, those of [shared] included, which are sent
     * once.
     */
    fun takeNews(shared: SharedNews, nowMillis: Long): FleetNotice.Builder {
        wake.tryReceive()
        val notice = FleetNotice.newBuilder()
        val batch = shared.after(newsPosition)
        newsPosition = batch.position
        if (Ability.SHARED_NEWS !in abilities) {
            notice.mergeFrom(batch.content).clearUpstreamRows()
        } else {
            if (!batch.content.isEmpty) notice.setSharedNews(batch.content)
            if (shared.isComplete) {
                notice.setNewsPosition(batch.position).setIsFullNews(batch.isFull)
            }
        }
        notice.addAllForecasts(forecasts.values.map { it.message(nowMillis) })
            .addAllSuspects(suspects.bounded())
            .addAllClearedSuspects(clearedSuspects.bounded())
            .addAllDepartures(departures.bounded())
            .addAllPromptCrashes(crashes.values)
            .addAllCompletedBlocks(completedBlocks.values)
            .addAllLimits(limits.values)
            .addAllVersions(versions.values)
            .addAllRunnerLoads(runnerLoads.values)
            .addAllBrittle(brittle.values)
        forecasts.clear()
        suspects.clear()
        clearedSuspects.clear()
        departures.clear()
        crashes.clear()
        completedBlocks.clear()
        limits.clear()
        versions.clear()
        runnerLoads.clear()
        brittle.clear()
        return notice
    }

    private fun <A> Set<A>.bounded(): List<A> = toList().takeLast(MAX_PENDING)

    private companion object {
        /** Several times the upstreams of the largest deployment. */
        const val MAX_PENDING = 1_000
    }
}
