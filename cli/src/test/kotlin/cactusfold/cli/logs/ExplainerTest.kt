package cactusfold.cli.logs

import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertIs
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

class ExplainerTest {
    private fun explain(vararg lines: LogLine): Explanation.Found =
        assertIs(Explainer(MergedLog.of(lines.toList())).explain("r1"))

    private fun ended(atMillis: Long, outcome: String, tookMillis: Long): LogLine = logLine(
        "vm-1",
        atMillis,
        atMillis,
        "request-ended",
        "request" to "r1",
        "outcome" to outcome,
        "took_ms" to tookMillis,
        "config" to 4
    )

    @Test
    fun `a request without log lines is unknown`() {
        val log = MergedLog.of(listOf(ended(10, "streamed", 5)))
        assertIs<Explanation.Unknown>(Explainer(log).explain("r2"))
    }

    @Nested
    inner class Refused {
        @Test
        fun `over the rate - the explanation contains the rate`() {
            val found = explain(
                logLine(
                    "vm-1", 100, 100, "over-rate", "request" to "r1", "workspace" to "club-7",
                    "tokens" to 1_460, "rate_per_s" to 2_600, "burst" to 5_200,
                    "retry_after_ms" to 300
                ),
                ended(101, "over-rate", 1)
            )
            assertContains(
                found.steps.first().text,
                "club-7 is over its rate of 2600 tokens per second"
            )
            assertEquals("refused: the workspace exceeded its token rate", found.cause)
        }

        @Test
        fun `over the limit of upstreams - the cause names them with their limits`() {
            val limited = listOf("i-1" to 1.0, "i-2" to 0.5).map { (upstream, perSecond) ->
                logLine(
                    "vm-1", 100, 100, "send-limited", "request" to "r1", "upstream" to upstream,
                    "per_s" to perSecond, "end" to "refused", "retry_after_ms" to 700
                )
            }
            val found = explain(*limited.toTypedArray(), ended(101, "upstreams-limited", 1))
            assertContains(found.steps.first().text, "i-1 accepts 1.0 requests per second")
            assertEquals(
                "refused: each upstream that could serve it had used up the limit that it " +
                    "states for all VMs: i-1 (1.0/s), i-2 (0.5/s)",
                found.cause
            )
        }

        @Test
        fun `without a coordinator - the cause contains the reason of the loss`() {
            val found = explain(
                logLine(
                    "vm-1",
                    50,
                    50,
                    "coordinator-lost",
                    "coordinator" to "vm-9",
                    "reason" to "UNAVAILABLE"
                ),
                logLine("vm-2", 60, 60, "coordinator-lost", "coordinator" to "vm-9"),
                ended(600, "rate-unsure", 500)
            )
            assertContains(found.cause, "coordinator=vm-9 reason=UNAVAILABLE")
            assertEquals(2, found.steps.size, "events of other VMs are not related to the request")
        }
    }

    @Nested
    inner class ColdStart {
        @Test
        fun `a late response - the cause contains the load from the coordinator's log`() {
            val found = explain(
                logLine(
                    "vm-9",
                    10,
                    10,
                    "order",
                    "upstream" to "u1",
                    "order" to "Load(model=m1)",
                    "reply" to "Accepted"
                ),
                logLine(
                    "vm-9",
                    11,
                    11,
                    "order",
                    "upstream" to "u2",
                    "order" to "Load(model=m10)",
                    "reply" to "Accepted"
                ),
                logLine(
                    "vm-9", 9_100, 9_100, "model-loaded", "upstream" to "u1", "model" to "m1",
                    "source" to "STORE", "took_ms" to 9_090, "expected_ms" to 9_000
                ),
                logLine(
                    "vm-1",
                    9_110,
                    9_110,
                    "model-waited",
                    "request" to "r1",
                    "model" to "m1",
                    "end" to "Ready",
                    "waited_ms" to 9_100
                ),
                logLine(
                    "vm-1", 9_111, 9_111, "sent", "request" to "r1", "upstream" to "u1",
                    "send" to 1, "in_flight" to 0, "left_ms" to 25_000
                ),
                ended(9_800, "streamed", 9_790)
            )
            assertContains(found.cause, "answered after 9100 ms of waiting for its model")
            assertContains(found.cause, "from STORE in 9090 ms, expected 9000 ms")
            assertEquals(5, found.steps.size, "orders for another model are left out")
        }

        @Test
        fun `a refusal - the cause contains the obstacle to the load`() {
            val found = explain(
                logLine(
                    "vm-9",
                    20,
                    20,
                    "model-not-placed",
                    "model" to "m1",
                    "adapter" to "a4",
                    "obstacle" to "RUNNERS_BUSY"
                ),
                logLine(
                    "vm-1", 110, 110, "model-waited",
                    "request" to "r1", "model" to "m1", "adapter" to "a4",
                    "end" to "Refused", "waited_ms" to 100
                ),
                ended(111, "model-not-in-time", 101)
            )
            assertContains(found.cause, "the eligible runners were executing other orders")
        }
    }

    @Nested
    inner class CutStream {
        @Test
        fun `the explanation contains the failed upstream and its departure`() {
            val found = explain(
                logLine(
                    "vm-1", 10, 10, "sent", "request" to "r1", "upstream" to "u1", "send" to 1,
                    "in_flight" to 0, "left_ms" to 9_000
                ),
                logLine("vm-2", 300, 300, "upstream-gone", "upstream" to "u1"),
                logLine(
                    "vm-1",
                    400,
                    400,
                    "send-failed",
                    "request" to "r1",
                    "upstream" to "u1",
                    "send" to 1,
                    "end" to "Broken(reason=closed)"
                ),
                ended(401, "cut: retry-budget", 395)
            )
            assertContains(found.cause, "the fleet's retry budget was exhausted")
            assertContains(
                found.cause,
                "upstream u1 did not complete send 1: Broken(reason=closed)"
            )
            assertContains(found.steps.map { it.text }, "upstream-gone upstream=u1")
        }
    }
}
