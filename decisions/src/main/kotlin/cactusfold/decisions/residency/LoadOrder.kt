package cactusfold.decisions.residency

/**
 * Order in which models that requests wait for are loaded.
 *
 * Without differing priorities, the order is by benefit per load time. With them, it is by:
 * 1. whether the load serves a caller within the target, else within the limit, else only later
 *    callers;
 * 2. whether the weights are on a disk or in host memory, since such a load takes no capacity of
 *    the weight store and is done soonest;
 * 3. the priority of the most urgent caller that it serves, where a caller who has waited a certain
 *    share of the time limit counts as most urgent, so that patient ones are not overtaken for ever;
 * 4. benefit per load time.
 */
internal class LoadOrder(
    private val view: ResidencyView,
    private val nowMillis: Long,
    private val times: LoadTimes,
    private val waitingCost: WaitingCost
) {
    private enum class Served { IN_TIME, LATE, LATER_CALLERS }

    private class Rank(val served: Served, val isFromStore: Boolean, val level: Int)

    private val byBenefit = compareByDescending<ModelDemand> {
        benefitOf(it) / times.fastestLoadMillis(it.model)
    }.thenBy { it.deadlineAtMillis }

    /** Returns [demands], one for each model, in the order in which they are to be loaded. */
    fun sorted(demands: List<ModelDemand>): List<ModelDemand> {
        if (!view.usesPriorities) return demands.sortedWith(byBenefit)
        val ranks = demands.associateWith(::rankOf)
        return demands.sortedWith(
            compareBy<ModelDemand> { ranks.getValue(it).served }
                .thenBy { ranks.getValue(it).isFromStore }
                .thenBy { ranks.getValue(it).level }
                .then(byBenefit)
        )
    }

    /** Benefit of a load: the callers served, weighted lower if it would miss their target. */
    private fun benefitOf(demand: ModelDemand): Double {
        val callers = demand.waiting + demand.refusedSinceLoad +
            waitingCost.arrivalsDuringLoad(demand.model)
        return callers * if (readyAtMillis(demand) <= demand.targetAtMillis) 1.0 else LATE_WEIGHT
    }

    private fun rankOf(demand: ModelDemand): Rank {
        val readyAtMillis = readyAtMillis(demand)
        val served = demand.byPriority.filter { readyAtMillis <= it.limitAtMillis }
        val expected = waitingCost.prioritiesDuringLoad(demand.model, MIN_LATER_CALLERS)
        val levels = served.map(::levelOf) + expected
        return Rank(
            served = when {
                expected.isNotEmpty() -> Served.IN_TIME
                served.any { readyAtMillis <= it.targetAtMillis } -> Served.IN_TIME
                served.any { it.ageShare >= AGED_SHARE } -> Served.IN_TIME
                served.isNotEmpty() -> Served.LATE
                else -> Served.LATER_CALLERS
            },
            isFromStore = !times.hasLocalCopy(demand.model),
            level = levels.minOrNull() ?: demand.byPriority.minOfOrNull { it.priority } ?: 0
        )
    }

    private fun levelOf(demand: PriorityDemand): Int =
        if (demand.ageShare >= AGED_SHARE) 0 else demand.priority

    private fun readyAtMillis(demand: ModelDemand): Long =
        nowMillis + times.fastestLoadMillis(demand.model) + view.bounds.overheadMillis

    companion object {
        /** Weight of a caller served after its target, relative to one served in time. */
        const val LATE_WEIGHT = 1.0 / 3

        /**
         * Expected arrivals during a load that justify it although no waiting caller can be served.
         */
        const val MIN_LATER_CALLERS = 2.0

        /**
         * Share of the limit after which a request has the level of the most urgent ones, and goes
         * with those that can be in time even if it will be late. A load of a third of the limit
         * can then still wait for most of another one.
         */
        const val AGED_SHARE = 0.4
    }
}
