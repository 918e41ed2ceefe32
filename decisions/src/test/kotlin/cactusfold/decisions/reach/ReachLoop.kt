package cactusfold.decisions.reach

import cactusfold.decisions.rate.UpstreamStart

/**
 * Drives a [ReachMachine] against upstreams of a test's choice, in steps of virtual time.
 *
 * @param answerOf what a probe of an upstream finds at a time: null for an answer.
 * @param silentMillis how long a request has been waiting for data, by time.
 */
class ReachLoop(
    var usable: List<UpstreamStart>,
    private val answerOf: (UpstreamStart, Long) -> ReachFailureKind?,
    private val silentMillis: (Long) -> Long = { 0 }
) {
    private class Due(val atMillis: Long, val event: ReachEvent)

    private val machine = ReachMachine()
    private val due = mutableListOf<Due>()
    var state = ReachState()
        private set
    var nowMillis = 0L
        private set
    val effects = mutableListOf<ReachEffect>()

    val isCut: Boolean get() = state.phase == ReachPhase.CUT
    val probes: Int get() = effects.count { it is ReachEffect.Probe }

    fun happens(event: ReachEvent) {
        val step = machine.step(state, event, nowMillis)
        state = step.state
        for (effect in step.effects) {
            effects += effect
            if (effect is ReachEffect.Probe) probe(effect.upstream)
        }
    }

    private fun probe(upstream: UpstreamStart) {
        val failure = answerOf(upstream, nowMillis)
        val tookMillis = if (failure == ReachFailureKind.PROBE_SILENT) TIMEOUT_MILLIS else 2
        due += Due(nowMillis + tookMillis, ReachEvent.Probed(upstream, failure))
    }

    private fun check(): Unit = happens(ReachEvent.Check(usable, silentMillis(nowMillis)))

    /** Lets time pass until [condition], and returns how long that took; null if too long. */
    fun until(limitMillis: Long, condition: () -> Boolean): Long? {
        val startedAtMillis = nowMillis
        while (nowMillis - startedAtMillis < limitMillis) {
            if (condition()) return nowMillis - startedAtMillis
            nowMillis++
            val ended = due.filter { it.atMillis <= nowMillis }
            due -= ended.toSet()
            ended.forEach { happens(it.event) }
            if (ended.isNotEmpty() || nowMillis % CHECK_MILLIS == 0L) check()
        }
        return null
    }

    fun pass(millis: Long) {
        until(millis) { false }
    }

    companion object {
        const val TIMEOUT_MILLIS = 300L
        private const val CHECK_MILLIS = 100L

        fun upstreams(count: Int): List<UpstreamStart> = (1..count).map { UpstreamStart("u$it", 1) }
    }
}
