package cactusfold.decisions.queue

import kotlin.test.Test
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/** Who is served, and who is refused when, if more is asked for than there are tokens. */
class WaitingLoadTest {
    private val list = WaitingList(maxTotal = 1_000, order = QueueOrder.ByRank)

    private class Kind(
        val name: String,
        val priority: Int,
        val targetMillis: Long,
        val limitMillis: Long,
        val tokens: Long,
        val perSecond: Double
    )

    private class Outcome(var arrived: Int = 0, var inTime: Int = 0, var served: Int = 0) {
        var refusedAtOnce = 0
        var refusedLater = 0

        override fun toString() =
            "$arrived: $inTime in time, $served served, $refusedAtOnce + $refusedLater refused"
    }

    /** Usual load of one workspace, which uses up all of its [TOKENS_PER_SECOND]. */
    private fun usual(times: Double = 1.0, reportTimes: Double = times) = listOf(
        Kind("tip", 0, 802, 8_000, 50, 24 * times),
        Kind("note", 1, 1_003, 15_000, 200, 12 * times),
        Kind("report", 2, 8_003, 35_000, 4_000, 1.6 * reportTimes)
    )

    private fun request(kind: Kind, number: Int, nowMillis: Long) = WaitingRequest(
        id = "${kind.name}-$number",
        workspace = "w",
        share = 1.0,
        deadlineMillis = nowMillis + kind.limitMillis,
        costTokens = kind.tokens,
        priority = kind.priority,
        arrivedAtMillis = nowMillis,
        targetAtMillis = nowMillis + kind.targetMillis
    )

    /** Returns what became of the requests of [kinds] that arrive in [seconds], by kind. */
    private fun serve(kinds: List<Kind>, seconds: Int): Map<String, Outcome> {
        val outcomes = kinds.associate { it.name to Outcome() }
        fun outcomeOf(request: WaitingRequest) = outcomes.getValue(request.id.substringBefore('-'))
        var state = QueueState()
        var level = 0.0
        var offered = OfferedWork()
        for (now in 0L..seconds * 1_000L + 40_000 step STEP_MILLIS) {
            level = minOf(level + TOKENS_PER_SECOND * STEP_MILLIS / 1_000, TOKENS_PER_SECOND)
            for (kind in kinds.takeIf { now < seconds * 1_000L }.orEmpty()) {
                val outcome = outcomes.getValue(kind.name)
                while (outcome.arrived < kind.perSecond * now / 1_000) {
                    val request = request(kind, outcome.arrived++, now)
                    offered = offered.arrived(request.priority, request.costTokens, now)
                    val capacity = ServingCapacity(TOKENS_PER_SECOND, level, offered = offered)
                    when (WaitForecast.of(state.requests, request, capacity, now)) {
                        is WaitOutlook.Servable -> state = list.add(state, request, now).state
                        is WaitOutlook.Hopeless -> outcome.refusedAtOnce++
                    }
                }
            }
            val expired = list.expire(state, now)
            expired.effects
                .forEach { outcomeOf((it as QueueEffect.Refuse).request).refusedLater++ }
            state = list.dispatch(expired.state, now) { request ->
                if (request.costTokens > level) {
                    Room.KEPT
                } else {
                    level -= request.costTokens
                    outcomeOf(request).served++
                    if (now <= request.targetAtMillis) outcomeOf(request).inTime++
                    Room.FREE
                }
            }.state
        }
        return outcomes
    }

    @Nested
    inner class Overload {
        // Guards against reports that delay what is urgent and cheap.
        @Test
        fun `a burst of three times the reports delays tips and notes little`() {
            val outcomes = serve(usual(reportTimes = 3.0), seconds = 60)
            listOf("tip", "note").map(outcomes::getValue)
                .forEach { assertTrue(it.inTime > it.arrived * 0.9, "$outcomes") }
            val reports = outcomes.getValue("report")
            assertTrue(reports.served > reports.arrived * 0.3, "$outcomes")
        }

        // Guards against a backlog in which everybody waits and is refused at the end of it.
        @Test
        fun `at six times the usual load all kinds are served and most refusals are at once`() {
            val outcomes = serve(usual(times = 6.0), seconds = 60)
            outcomes.values.forEach { assertTrue(it.served > 0, "$outcomes") }
            val tips = outcomes.getValue("tip")
            assertTrue(tips.inTime > tips.arrived * 0.6, "$outcomes")
            assertTrue(
                outcomes.values.sumOf { it.refusedAtOnce } >
                    outcomes.values.sumOf { it.refusedLater },
                "$outcomes"
            )
        }
    }

    private companion object {
        const val TOKENS_PER_SECOND = 10_000.0
        const val STEP_MILLIS = 10L
    }
}
