package cactusfold.decisions.queue

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
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

    @Nested
    inner class LargeRequests {
        private val large = Kind("large", 2, 8_003, 35_000, 8_000, 0.0)

        // Guards against large requests that never fit beside a constant stream of small ones.
        @Test
        fun `a large request is served before its limit under a constant stream of tips`() {
            val tips = Kind("tip", 0, 802, 8_000, 50, 400.0)
            val outcomes = serve(listOf(tips, Kind("large", 2, 8_003, 35_000, 8_000, 0.02)), 60)
            val served = outcomes.getValue("large")
            assertEquals(served.arrived, served.served, "$outcomes")
            val inTime = outcomes.getValue("tip").inTime
            assertTrue(inTime > TOKENS_PER_SECOND * 60 / 50 * 0.75, "$outcomes")
        }

        // Guards against a list that fills with what is least urgent.
        @Test
        fun `who ranks last is dropped from a full list`() {
            val short = WaitingList(maxTotal = 1, order = QueueOrder.ByRank)
            val state = short.add(QueueState(), request(large, 1, 0), 0).state
            val tip = request(Kind("tip", 0, 802, 8_000, 50, 0.0), 1, 0)
            val step = short.add(state, tip, 0)
            val dropped = assertIs<QueueEffect.Refuse>(step.effects.single())
            assertEquals("large-1" to listOf(tip), dropped.request.id to step.state.requests)
        }
    }

    @Nested
    inner class Forecasts {
        // Guards against callers who are all told to come back at the same time.
        @Test
        fun `those who are refused are told to come back one after the other`() {
            val kind = Kind("report", 2, 8_003, 35_000, 10_000, 0.0)
            val waiting = List(9) { request(kind, it, 0) }
            val offered = OfferedWork().arrived(2, 80_000, 0)
            var promised = 0.0
            val retryAfterMillis = List(2) {
                val capacity = ServingCapacity(10_000.0, 0.0, promised, offered)
                val outlook = WaitForecast.of(waiting, request(kind, 90 + it, 0), capacity, 0)
                promised = assertIs<WaitOutlook.Hopeless>(outlook).promisedWork
                outlook.retryAfterMillis
            }
            assertEquals(listOf(10_000L, 11_000L), retryAfterMillis)
        }

        // Guards against a runner at which a late report precedes a tip that is in time, and against
        // requests of one priority that preempt each other.
        @Test
        fun `urgencies of one priority are equal and lie between those of its neighbours`() {
            val report = request(large(2), 1, 0)
            val urgencies = listOf(0L, 7_900, 9_000, 20_000, 30_000).map {
                RequestRank.of(report, it).urgency(listOf(0, 1, 2))
            }
            assertEquals(listOf(6, 6, 6, 3, 0), urgencies)
        }

        private fun large(priority: Int) = Kind("report", priority, 8_003, 35_000, 4_000, 0.0)
    }

    private companion object {
        const val TOKENS_PER_SECOND = 10_000.0
        const val STEP_MILLIS = 10L
    }
}
