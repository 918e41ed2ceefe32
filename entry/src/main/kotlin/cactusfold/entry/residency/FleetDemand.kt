package cactusfold.entry.residency

import cactusfold.decisions.residency.ModelArrivals
import cactusfold.decisions.residency.ModelDemand
import cactusfold.protocol.entry.Demand
import cactusfold.protocol.entry.MemberReport

/** Requests in flight at a runner, and the tokens that they may hold in its memory. */
public data class RunnerTotals(public val inFlight: Int, public val tokens: Long) {
    /** Returns the sum of both. */
    public operator fun plus(other: RunnerTotals): RunnerTotals =
        RunnerTotals(inFlight + other.inFlight, tokens + other.tokens)
}

/** Demand and use of models over the fleet, merged from the members' latest reports. */
public class FleetDemand {
    private class ReceivedReport(val report: MemberReport, val atMillis: Long)

    private val reports = HashMap<String, ReceivedReport>()
    private val arrivals = ModelArrivals()

    /** Records [report] and replaces the previous one from the same VM. */
    public fun record(report: MemberReport, nowMillis: Long) {
        reports[report.vm] = ReceivedReport(report, nowMillis)
        for (demand in report.demandsList) {
            if (demand.arrivals > 0) arrivals.arrived(demand.model, demand.arrivals, nowMillis)
        }
    }

    /** Removes the report of the member on [vm]. */
    public fun remove(vm: String) {
        reports.remove(vm)
    }

    /** Returns the recent arrival rate of each model, in requests per second. */
    public fun arrivalsPerSecond(nowMillis: Long): Map<String, Double> =
        arrivals.recentPerSecond(nowMillis)

    /** Returns the long-term arrival rate of each model, in requests per second. */
    public fun longTermArrivalsPerSecond(nowMillis: Long): Map<String, Double> =
        arrivals.longTermPerSecond(nowMillis)

    /** Returns the waiting requests of all members by model, adapter and software version. */
    public fun demands(nowMillis: Long): List<ModelDemand> = current(nowMillis)
        .flatMap { member ->
            member.report.demandsList.filter { it.waiting > 0 }.map { member to it }
        }
        .groupBy { (_, demand) -> demand.key }
        .map { (key, group) -> merge(key, group) }

    /** Returns the ids of upstreams that at least one member could not reach. */
    public fun unreachable(nowMillis: Long): Set<String> =
        current(nowMillis).flatMapTo(mutableSetOf()) { it.report.unreachableList }

    /** Returns the number of in-flight requests per runner and model. */
    public fun inFlight(nowMillis: Long): Map<String, Map<String, Int>> = current(nowMillis)
        .flatMap { it.report.usesList }
        .groupBy { it.runner }
        .mapValues { (_, uses) ->
            uses.groupBy { it.model }.mapValues { (_, same) -> same.sumOf { it.inFlight } }
        }

    /** Returns the in-flight requests and their tokens, per runner that is in use. */
    public fun runnerUse(nowMillis: Long): Map<String, RunnerTotals> {
        val totals = HashMap<String, RunnerTotals>()
        for (member in current(nowMillis)) {
            for (use in member.report.usesList) {
                totals.merge(use.runner, RunnerTotals(use.inFlight, use.tokens), RunnerTotals::plus)
            }
        }
        return totals
    }

    /** Returns the mean age of the members' reports, which the sums above consist of. */
    public fun reportAgeMillis(nowMillis: Long): Long {
        val reports = current(nowMillis)
        return if (reports.isEmpty()) {
            0
        } else {
            reports.sumOf { nowMillis - it.atMillis } /
                reports.size
        }
    }

    /** Returns, per runner, the (model, adapter) pairs that in-flight requests use. */
    public fun adaptersInFlight(nowMillis: Long): Map<String, Set<Pair<String, String>>> =
        current(nowMillis).flatMap { it.report.usesList }.filter { it.adapter.isNotEmpty() }
            .groupBy { it.runner }
            .mapValues { (_, uses) -> uses.mapTo(mutableSetOf()) { it.model to it.adapter } }

    private fun merge(key: DemandKey, group: List<Pair<ReceivedReport, Demand>>): ModelDemand =
        ModelDemand(
            model = key.model,
            adapter = key.adapter,
            waiting = group.sumOf { it.second.waiting },
            targetAtMillis = group.minOf { (member, demand) ->
                member.atMillis + demand.targetInMillis
            },
            deadlineAtMillis = group.maxOf { (member, demand) ->
                member.atMillis + demand.limitInMillis
            },
            softwareVersion = key.softwareVersion
        )

    private fun current(nowMillis: Long): List<ReceivedReport> =
        reports.values.filter { nowMillis - it.atMillis < REPORT_VALID_MILLIS }

    private companion object {
        /** More than three times the longest interval between two reports of a member, 400 ms. */
        const val REPORT_VALID_MILLIS = 1_500L
    }
}
