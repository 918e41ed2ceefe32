package cactusfold.entry.fleet

import cactusfold.entry.residency.FleetDemand
import cactusfold.entry.residency.RunnerTotals
import cactusfold.entry.upstream.UpstreamDirectory
import cactusfold.protocol.entry.FleetNotice
import cactusfold.protocol.entry.RunnerLoad
import kotlin.math.abs

/**
 * The load of each runner as last announced to the members. The messages are built once for all
 * members, and only for figures that changed by more than choices depend on.
 */
internal class RunnerLoadNews(
    private val demand: FleetDemand,
    private val directory: UpstreamDirectory
) {
    private val announced = HashMap<String, RunnerTotals>()
    private var summedAtMillis = Long.MIN_VALUE / 2
    private var reportAgeMillis = 0L

    /** The announced loads of all runners in use. */
    val current: List<RunnerLoad> get() = announced.map { (runner, use) -> load(runner, use) }

    /**
     * Adds changed loads to the next notices of [sessions], which go out for other reasons, and
     * applies them to this process. Does nothing before the next sum is due.
     */
    fun spread(sessions: Collection<MemberSession>, fence: Long, nowMillis: Long) {
        if (nowMillis - summedAtMillis < INTERVAL_MILLIS) return
        summedAtMillis = nowMillis
        val changed = takeChanged(nowMillis)
        directory.applyLoads(
            FleetNotice.newBuilder().setFence(fence).addAllRunnerLoads(changed).build()
        )
        sessions.forEach { session -> changed.associateByTo(session.runnerLoads) { it.runner } }
    }

    /** Forgets all loads, which a new coordinator sums anew. */
    fun clear() {
        announced.clear()
        summedAtMillis = Long.MIN_VALUE / 2
    }

    private fun takeChanged(nowMillis: Long): List<RunnerLoad> {
        reportAgeMillis = demand.reportAgeMillis(nowMillis)
        val used = demand.runnerUse(nowMillis)
        val changed = mutableListOf<RunnerLoad>()
        for (runner in announced.keys + used.keys) {
            val use = used[runner] ?: UNUSED
            if (!isNews(use, announced[runner] ?: UNUSED)) continue
            changed += load(runner, use)
            if (use == UNUSED) announced.remove(runner) else announced[runner] = use
        }
        return changed
    }

    private fun isNews(use: RunnerTotals, before: RunnerTotals): Boolean =
        (use == UNUSED) != (before == UNUSED) ||
            abs(use.inFlight - before.inFlight) * NEWS_DIVISOR > before.inFlight ||
            abs(use.tokens - before.tokens) * NEWS_DIVISOR > before.tokens

    private fun load(runner: String, use: RunnerTotals): RunnerLoad =
        RunnerLoad.newBuilder().setRunner(runner).setInFlight(use.inFlight)
            .setTokens(use.tokens).setAgeMillis(reportAgeMillis).build()

    private companion object {
        val UNUSED = RunnerTotals(0, 0)

        /** The interval at which members report; sums do not change more often. */
        const val INTERVAL_MILLIS = 400L

        /** A change by more than an eighth is announced. */
        const val NEWS_DIVISOR = 8
    }
}
