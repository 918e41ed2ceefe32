package cactusfold.entry.path

import cactusfold.decisions.rate.UpstreamStart
import cactusfold.decisions.residency.RunnerOrder
import cactusfold.platform.HttpRunnerApi
import cactusfold.platform.UpstreamDecoder
import cactusfold.platform.standin.RunnerBehavior
import cactusfold.platform.standin.RunnerStandin
import cactusfold.ports.http.ByteBudget
import cactusfold.ports.serving.Decoded
import cactusfold.ports.serving.OrderAuthority
import cactusfold.ports.serving.OrderReply
import cactusfold.ports.serving.UpstreamEntry
import io.vertx.core.Vertx
import io.vertx.core.VertxOptions
import io.vertx.kotlin.coroutines.dispatcher
import java.util.concurrent.TimeUnit
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

class RepeatedRefusalTest {
    @Nested
    inner class Requests {
        // Guards against an earlier refusal, written once more on a kept connection, that is taken
        // for the answer to a request that the upstream executes.
        @Test
        fun `a request that may run once is not executed twice or reported as not executed`() {
            EntryFixture().use { fixture ->
                val desk = fixture.runner("i-1", "desk")
                fixture.start()
                desk.behavior = RunnerBehavior.REPEATS_REFUSALS
                val statuses = List(CALLS) { fixture.caller.call("/book/x").statusCode() }
                assertEquals(setOf(503), statuses.toSet())
                assertEquals(emptyList(), desk.ran.map { it.id })
                desk.behavior = RunnerBehavior.NORMAL
                assertEquals(200, fixture.caller.call("/book/x").statusCode())
                assertTrue(desk.ran.size == 1)
            }
        }
    }

    @Nested
    inner class Orders {
        private val vertx = Vertx.vertx(VertxOptions().setEventLoopPoolSize(1))
        private val eventLoop = vertx.orCreateContext.dispatcher()
        private val runner = RunnerStandin(vertx, "i-1", emptySet()).apply { start() }
        private val entry = assertIs<Decoded.Valid<UpstreamEntry>>(
            UpstreamDecoder.entry("i-1", runner.row("draft").toBuffer().bytes)
        ).value
        private val leaving = mutableListOf<UpstreamStart>()
        private val api = HttpRunnerApi(vertx, TIMEOUT_MILLIS, ByteBudget(1_000_000), leaving::add)

        @AfterEach
        fun close() {
            vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS)
        }

        // Guards against the same for an order: its load would be ordered at a second runner.
        @Test
        fun `an order is not taken for refused while the runner executes it`() {
            runner.behavior = RunnerBehavior.REPEATS_REFUSALS
            val replies = List(ORDERS) { order() }
            assertEquals(0, runner.orders.size)
            val others = replies.filterNot { it is OrderReply.Rejected }
            assertEquals(emptyList(), others)
            runner.behavior = RunnerBehavior.NORMAL
            assertEquals(OrderReply.Accepted, order())
        }

        // Guards against a departure that only reports and orders would have told of.
        @Test
        fun `answers to orders and reports also say that their runner leaves`() {
            runner.behavior = RunnerBehavior.LEAVES
            runBlocking(eventLoop) { api.report(entry) }
            order()
            assertEquals(2, leaving.size)
            assertEquals(setOf(UpstreamStart("i-1", entry.startedAtEpochMillis)), leaving.toSet())
        }

        // As in the process: a response that is awaited on another thread can be lost.
        private fun order(): OrderReply = runBlocking(eventLoop) {
            api.order(entry, RunnerOrder.Load("m"), OrderAuthority("vm1", 1), 0) { true }
        }
    }

    private companion object {
        const val CALLS = 4

        /** Enough for orders to meet a connection that is about to be closed. */
        const val ORDERS = 300
        const val TIMEOUT_MILLIS = 10_000L
    }
}
