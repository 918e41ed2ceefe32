package cactusfold.entry.residency

import cactusfold.decisions.residency.RunnerOrder
import cactusfold.entry.process.EventLog
import cactusfold.entry.upstream.Upstream
import cactusfold.ports.serving.OrderAuthority
import cactusfold.ports.serving.OrderReply
import cactusfold.ports.serving.ReportReply
import cactusfold.ports.serving.RunnerApi
import cactusfold.ports.serving.RunnerReport
import cactusfold.ports.serving.UpstreamEntry
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toImmutableMap
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

class RunnerOrderClientTest {
    private val entry = UpstreamEntry(
        "r1", "s", "127.0.0.1", 1, "z", 4, false, 1, null,
        persistentMapOf(), persistentSetOf(), persistentSetOf(), "v1"
    )

    /** Runner that counts accepted orders; queued [replies] take precedence over its own. */
    private class FakeRunner : RunnerApi {
        val replies = ArrayDeque<OrderReply>()
        val sent = mutableListOf<Pair<RunnerOrder, Long>>()
        val models = mutableSetOf<String>()
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
            if (forced is OrderReply.Unknown && acceptsUnanswered) accept(order)
            if (forced != null) return forced
            if (isBusy || expectedOrderCount != accepted) return OrderReply.Conflict
            accept(order)
            return OrderReply.Accepted
        }

        private fun accept(order: RunnerOrder) {
            accepted++
            if (order is RunnerOrder.Load) models += order.model
        }

        override suspend fun report(runner: UpstreamEntry): ReportReply = ReportReply.Read(
            RunnerReport(
                models.associateWith { persistentSetOf<String>() }.toImmutableMap(),
                pendingAdapterLoads,
                isBusy,
                accepted,
                persistentSetOf(),
                persistentSetOf()
            )
        )
    }

    private val bounds = boundsWith("a", "b", "c")
    private val runner = FakeRunner()
    private var mayOrder = true
    private val clock = { System.nanoTime() / 1_000_000 }
    private val client = RunnerOrderClient(
        Upstream(entry),
        OrderDependencies(runner, { null }, {}, clock, EventLog("vm", clock, 1_000), {
            OrderAuthority("vm", 1)
        }) { mayOrder }
    )

    @Nested
    inner class Sending {
        @Test
        fun `each order carries the number of orders accepted before it`() = runBlocking {
            assertNotNull(client.sync())
            assertEquals(OrderResult.ACCEPTED, client.send(RunnerOrder.Load("a"), bounds))
            assertEquals(OrderResult.ACCEPTED, client.send(RunnerOrder.Load("b"), bounds))
            assertEquals(listOf(0L, 1L), runner.sent.map { it.second })
        }

        @Test
        fun `no order is sent before the client is synchronized`() = runBlocking {
            assertEquals(OrderResult.OUT_OF_SYNC, client.send(RunnerOrder.Load("a"), bounds))
            assertEquals(emptyList(), runner.sent)
        }

        @Test
        fun `a busy runner cannot be synchronized`() = runBlocking {
            runner.isBusy = true
            assertNull(client.sync())
        }

        @Test
        fun `a runner that is still loading adapters cannot be synchronized`() = runBlocking {
            runner.pendingAdapterLoads = 1
            assertNull(client.sync())
            runner.pendingAdapterLoads = 0
            assertNotNull(client.sync())
            Unit
        }

        @Test
        fun `no order is sent after the lease is lost`() = runBlocking {
            client.sync()
            mayOrder = false
            assertEquals(OrderResult.NOT_ACCEPTED, client.send(RunnerOrder.Load("a"), bounds))
            assertEquals(emptyList(), runner.sent)
        }
    }

    @Nested
    inner class Memory {
        @Test
        fun `an order that the runner has no room for is not sent`() = runBlocking {
            runner.models += listOf("a", "b")
            client.sync()
            assertEquals(OrderResult.NOT_ACCEPTED, client.send(RunnerOrder.Load("c"), bounds))
            assertEquals(emptyList(), runner.sent)
        }

        // Guards against a count that is assumed from the reply to an order that changes nothing.
        @Test
        fun `an order to unload what is not there is not sent`() = runBlocking {
            client.sync()
            val order = RunnerOrder.UnloadAdapter("a", "x")
            assertEquals(OrderResult.OUT_OF_SYNC, client.send(order, bounds))
            assertEquals(emptyList(), runner.sent)
        }

        @Test
        fun `a refused order has the runner read before the next one`() = runBlocking {
            client.sync()
            runner.replies += OrderReply.Rejected("status 503")
            assertEquals(OrderResult.NOT_ACCEPTED, client.send(RunnerOrder.Load("a"), bounds))
            assertEquals(OrderResult.OUT_OF_SYNC, client.send(RunnerOrder.Load("a"), bounds))
            assertEquals(1, runner.sent.size)
        }
    }

    @Nested
    inner class LostReplies {
        @Test
        fun `an accepted order whose reply was lost is not executed twice`() = runBlocking {
            client.sync()
            runner.replies += OrderReply.Unknown("lost")
            runner.acceptsUnanswered = true
            assertEquals(OrderResult.ACCEPTED, client.send(RunnerOrder.Load("a"), bounds))
            assertEquals(1, runner.accepted)
            assertEquals(setOf(0L), runner.sent.map { it.second }.toSet())
        }

        // Guards against a count that is taken for an answer.
        @Test
        fun `another order does not acknowledge one that was lost`() = runBlocking {
            client.sync()
            runner.replies += OrderReply.Unknown("lost")
            runner.accepted = 1
            assertEquals(OrderResult.OUT_OF_SYNC, client.send(RunnerOrder.Load("a"), bounds))
            assertEquals(1, runner.accepted)
        }

        @Test
        fun `an order that was not accepted is repeated with the same count`() = runBlocking {
            client.sync()
            runner.replies += OrderReply.Unknown("lost")
            assertEquals(OrderResult.ACCEPTED, client.send(RunnerOrder.Load("a"), bounds))
            assertEquals(1, runner.accepted)
        }

        @Test
        fun `an order from another coordinator puts the client out of sync`() = runBlocking {
            client.sync()
            runner.accepted = 3
            assertEquals(OrderResult.OUT_OF_SYNC, client.send(RunnerOrder.Load("a"), bounds))
            assertEquals(3, runner.accepted)
        }

        // Guards against orders that are sent again and again with a count that is out of date.
        @Test
        fun `a higher count ends the attempts with the first report`() = runBlocking {
            client.sync()
            runner.accepted = 1
            assertEquals(OrderResult.OUT_OF_SYNC, client.send(RunnerOrder.Load("a"), bounds))
            assertEquals(4, runner.sent.size)
        }
    }
}
