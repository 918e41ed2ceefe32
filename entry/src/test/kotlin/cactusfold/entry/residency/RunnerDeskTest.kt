package cactusfold.entry.residency

import cactusfold.entry.process.EventLog
import cactusfold.entry.upstream.Upstream
import cactusfold.ports.serving.OrderAuthority
import cactusfold.ports.serving.OrderReply
import cactusfold.ports.serving.RunnerOrder
import cactusfold.ports.serving.RunnerApi
import cactusfold.ports.serving.RunnerReport
import cactusfold.ports.serving.UpstreamEntry
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

class RunnerDeskTest {
    private val entry = UpstreamEntry(
        "r1", "s", "127.0.0.1", 1, "z", 4, false, 1, null,
        persistentMapOf(), persistentSetOf(), persistentSetOf()
    )

    /** A runner that counts the orders it accepts; [replies] overrule what it would answer. */
    private class FakeRunner : RunnerApi {
        val replies = ArrayDeque<OrderReply>()
        val sent = mutableListOf<Pair<RunnerOrder, Long>>()
        var accepted = 0L
        var isBusy = false
        var pendingAdapterLoads = 0
        var acceptsUnanswered = false

        override suspend fun order(
            runner: UpstreamEntry,
            order: RunnerOrder,
            authority: OrderAuthority,
            expectedOrderCount: Long,
            isLeaseHeld: () -> Boolean
        ): OrderReply {
            delay(1)
            sent += order to expectedOrderCount
            val forced = replies.removeFirstOrNull()
            if (forced is OrderReply.Unknown && acceptsUnanswered) accepted++
            if (forced != null) return forced
            if (isBusy || expectedOrderCount != accepted) return OrderReply.Conflict
            accepted++
            return OrderReply.Accepted
        }

        override suspend fun report(runner: UpstreamEntry): RunnerReport = RunnerReport(
            persistentMapOf(),
            pendingAdapterLoads,
            isBusy,
            accepted,
            persistentSetOf(),
            persistentSetOf()
        )
    }

    private val runner = FakeRunner()
    private var mayOrder = true
    private val clock = { System.nanoTime() / 1_000_000 }
    private val desk = RunnerDesk(
        Upstream(entry),
        DeskContext(runner, clock, EventLog("vm", clock, 1_000), {
            OrderAuthority("vm", 1)
        }) { mayOrder }
    )

    @Nested
    inner class Sending {
        @Test
        fun `each order names how many went before`() = runBlocking {
            assertNotNull(desk.learn())
            assertEquals(OrderEnd.TAKEN, desk.send(RunnerOrder.Load("a")))
            assertEquals(OrderEnd.TAKEN, desk.send(RunnerOrder.Load("b")))
            assertEquals(listOf(0L, 1L), runner.sent.map { it.second })
        }

        @Test
        fun `a desk that has not learnt the runner orders nothing`() = runBlocking {
            assertEquals(OrderEnd.MOVED, desk.send(RunnerOrder.Load("a")))
            assertEquals(emptyList(), runner.sent)
        }

        @Test
        fun `a busy runner is not learnt`() = runBlocking {
            runner.isBusy = true
            assertNull(desk.learn())
        }

        @Test
        fun `a runner with adapters of a predecessor on their way is not learnt`() = runBlocking {
            runner.pendingAdapterLoads = 1
            assertNull(desk.learn())
            runner.pendingAdapterLoads = 0
            assertNotNull(desk.learn())
            Unit
        }

        @Test
        fun `a holder that lost its lease orders nothing`() = runBlocking {
            desk.learn()
            mayOrder = false
            assertEquals(OrderEnd.NOT_TAKEN, desk.send(RunnerOrder.Load("a")))
            assertEquals(emptyList(), runner.sent)
        }
    }

    @Nested
    inner class LostAnswers {
        @Test
        fun `an order that was taken without an answer is not sent as a second one`() =
            runBlocking {
                desk.learn()
                runner.replies += OrderReply.Unknown("lost")
                runner.acceptsUnanswered = true
                assertEquals(OrderEnd.TAKEN, desk.send(RunnerOrder.Load("a")))
                assertEquals(1, runner.accepted)
                assertEquals(setOf(0L), runner.sent.map { it.second }.toSet())
            }

        @Test
        fun `an order that was not taken is repeated under the same count`() = runBlocking {
            desk.learn()
            runner.replies += OrderReply.Unknown("lost")
            assertEquals(OrderEnd.TAKEN, desk.send(RunnerOrder.Load("a")))
            assertEquals(1, runner.accepted)
        }

        @Test
        fun `a late order of a predecessor makes the runner unknown`() = runBlocking {
            desk.learn()
            runner.accepted = 3
            assertEquals(OrderEnd.MOVED, desk.send(RunnerOrder.Load("a")))
            assertEquals(3, runner.accepted)
        }
    }
}
